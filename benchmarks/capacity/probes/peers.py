"""What copies say to each other about who is alive: the real cores over the simulated network, idle."""

from __future__ import annotations

import gc
import statistics
import tracemalloc

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from benchmarks.capacity.probes.processor import scaled
from brassweir.lab.models.peernet import HEADERS, Net, fleet

AXES = (Axis.SENDERS,)
SETTLE = 10_000.0  # ms until all have met
MEMORY_SETTLE = 2_000.0  # ms; tables are made at the start
PARTS = 5
MOST_SECONDS = 30.0  # of simulated time
MECHANISM = "peers: each asks a few others in turn"

MESSAGES = Figure(
    "peer_messages",
    "messages/s",
    Role.SENDER,
    "liveness, sent by a copy",
    AXES,
    ("1", "log N"),
    Kind.SIMULATED,
    mechanism=MECHANISM,
)
BYTES = Figure(
    "peer_bytes",
    "bytes/s",
    Role.SENDER,
    "liveness, sent by a copy, with UDP headers",
    AXES,
    ("1", "log N"),
    Kind.SIMULATED,
    mechanism=MECHANISM,
)
CPU = Figure(
    "peer_cpu",
    "cores",
    Role.SENDER,
    "liveness, a copy, without system calls",
    AXES,
    ("1", "N"),
    Kind.SIMULATED,
    mechanism=MECHANISM,
)
MEMORY = Figure(
    "peer_memory",
    "MB",
    Role.SENDER,
    "liveness, the table of a copy",
    AXES,
    ("1", "N"),
    Kind.MEASURED,
    mechanism=MECHANISM,
)
FIGURES: tuple[Figure, ...] = (MESSAGES, BYTES, CPU, MEMORY)


def measure(point: Point, seconds: float) -> list[Measurement]:
    """An idle fleet for so many simulated seconds after it has settled."""
    span = min(seconds, MOST_SECONDS)
    net = Net(fleet(point.senders), seed=1)
    net.start_all()
    net.run(SETTLE)
    messages, sent = net.messages, net.bytes
    cpu = span * statistics.median(_cpu(net, span / PARTS * 1_000.0) for _ in range(PARTS))
    messages, sent = net.messages - messages, net.bytes - sent
    copies = point.senders * span
    method = f"{point.senders} cores on the simulated network, {span:g} simulated seconds, seed 1"
    return [
        Measurement(MESSAGES.name, point, messages / copies, method),
        Measurement(BYTES.name, point, (sent + messages * HEADERS) / copies, method),
        Measurement(CPU.name, point, cpu / copies, f"{method}, scaled process time, median of {PARTS} parts"),
        Measurement(
            MEMORY.name, point, _memory(point.senders), "tracemalloc, one settled copy of that fleet"
        ),
    ]


def _cpu(net: Net, span: float) -> float:
    """Seconds of processor time for each simulated one. No collector: a process of one copy has little for it."""
    gc.collect()
    gc.disable()
    took = scaled(lambda: net.run(span))
    gc.enable()
    return took / (span / 1_000.0)


def _memory(copies: int) -> float:
    """MB that one copy holds, with a list of the fleet of its own: a settled fleet, divided by its size."""
    gc.collect()
    tracemalloc.start()
    net = Net(fleet(copies), seed=1)
    for copy in net.copies:
        net.start(copy.name, copies=fleet(copies))
    net.run(MEMORY_SETTLE)
    net.tape.clear()
    gc.collect()
    return tracemalloc.get_traced_memory()[0] / copies / 1e6
