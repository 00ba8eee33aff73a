"""Figures of trials before this benchmark (on the version of 7f73eb9), each beside what the benchmark's data say."""

from __future__ import annotations

import msgspec

from benchmarks.capacity.measurement import TARGET, Point

KEPT = 0.15  # relative difference up to which a trial's figure is kept


class Trial(msgspec.Struct, frozen=True):
    """What a trial gave for a figure at a point. ``note``: why it differs, where that is known."""

    text: str
    value: float
    figure: str
    point: Point = TARGET
    note: str = ""


OPEN, ONE = Point(490, 70_000, 0.0, 300_000), Point(1, 70_000)
SHAPE = "entries of these data are longer: names and hosts are drawn"
MOMENT = "it depends on how long the outage has lasted, which the trial did not say"
CLASS = "the messages' class and time of the trial are not known; here safe, 6 s"
TRIALS: tuple[Trial, ...] = (
    Trial("a YAML list of 7,000, s of CPU", 4.5, "list_yaml_cpu", Point(490, 7_000)),
    Trial("a YAML list of 7,000, MB", 95.0, "list_yaml_memory", Point(490, 7_000)),
    Trial("a YAML list of 70,000, s of CPU", 45.0, "list_yaml_cpu"),
    Trial("YAML at 1,200 changes a day, cores", 0.6, "list_yaml_share"),
    Trial("JSON lines of 70,000, s of CPU", 0.26, "list_lines_cpu"),
    Trial("JSON lines of 70,000, bytes", 7_500_000.0, "list_lines_bytes", note=SHAPE),
    Trial("JSON lines at 1,200 changes a day, bytes/s", 104_000.0, "list_lines_rate", note=SHAPE),
    Trial("70,000 entries packed, bytes", 5_000_000.0, "list_packed_bytes"),
    Trial("decision module, 206 bytes a destination, MB", 14.4, "module_memory"),
    Trial("decision module, a list less one, ms", 75.0, "module_list_less_one"),
    Trial("an open message, 3.8 KB without its 500 bytes, MB at 300,000", 1_290.0, "backlog_memory", OPEN),
    Trial("calls to a dead destination, 1.57/s, one sender, a minute", 26.0, "dead_calls_first", ONE),
    Trial("the same, 490 senders", 88.0, "dead_calls_first", note=MOMENT),
    Trial("the same, 490 senders, after an hour", 88.0, "dead_calls_later", note=MOMENT),
    Trial("calls to a dead destination, 50/s, 490 senders, a minute", 974.0, "dead_calls_busy", note=CLASS),
    Trial("peers, sent a copy, bytes/s (732 and 12.5 headers of 28)", 1_082.0, "peer_bytes"),
    Trial("peers, sent a copy, messages/s", 12.5, "peer_messages"),
    Trial("an entry at all copies, calm, ms", 40.0, "log_entry_time"),
    Trial(
        "an entry at all copies, 20% lost and 200 ms late, ms (4.1 to 5.4 s)", 4_750.0, "log_entry_bad_time"
    ),
)
