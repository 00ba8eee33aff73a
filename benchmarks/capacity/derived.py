"""Figures that are computed from others; those of one probe alone stand with the probe."""

from __future__ import annotations

from benchmarks.capacity.measurement import Figure, Kind, Role
from benchmarks.capacity.target import BYTES, CPU, MEMORY


def _derived(
    name: str,
    unit: str,
    role: Role,
    what: str,
    formula: str,
    budget: float | None = None,
    mechanism: str = "",
) -> Figure:
    return Figure(
        name, unit, role, what, kind=Kind.DERIVED, budget=budget, formula=formula, mechanism=mechanism
    )


FIGURES: tuple[Figure, ...] = (
    _derived(
        "control_bytes",
        "bytes/s",
        Role.SENDER,
        "liveness and log, idle, both ways",
        "2 * peer_bytes + log_learner_bytes",
        BYTES,
        "peers and agreed log",
    ),
    _derived(
        "control_messages",
        "messages/s",
        Role.SENDER,
        "the same, sent and received",
        "2 * peer_messages + log_learner_messages",
    ),
    _derived(
        "relay_bytes",
        "bytes/s",
        Role.RELAY,
        "liveness and log of a copy that feeds 12 others",
        "2 * peer_bytes + log_learner_bytes + learners_fed * log_child_bytes",
        BYTES,
        "feed tree of the agreed log",
    ),
    _derived(
        "relay_messages",
        "messages/s",
        Role.RELAY,
        "the same, sent and received",
        "2 * peer_messages + log_learner_messages + learners_fed * log_child_messages",
    ),
    _derived(
        "relay_cpu",
        "cores",
        Role.RELAY,
        "liveness and log with system calls, and the feeding",
        "hollow_cpu + learners_fed * log_child_cpu",
        CPU,
        "feed tree of the agreed log",
    ),
    _derived(
        "leader_bytes",
        "bytes/s",
        Role.CONTROL,
        "liveness and log at the leader",
        "2 * peer_bytes + log_leader_bytes",
        mechanism="feed tree: a leader keeps the 12 learners that it fed before, the rest down the tree",
    ),
    _derived(
        "leader_messages",
        "messages/s",
        Role.CONTROL,
        "the same, sent and received",
        "2 * peer_messages + log_leader_messages",
    ),
    _derived(
        "leader_cpu",
        "cores",
        Role.CONTROL,
        "liveness and log with system calls, and the leading",
        "hollow_cpu + log_leader_cpu",
    ),
    _derived(
        "log_memory_of_changes",
        "MB",
        Role.SENDER,
        "a full log if each entry is a piece of a configuration of the longest kind",
        "log_entries_kept * most_command / 1000000",
        MEMORY,
        "snapshots by count of entries; by bytes: missing",
    ),
    _derived(
        "log_sessions",
        "sessions",
        Role.CONTROL,
        "three for each copy, beside what the machine remembers (a bound of ours)",
        "3 * senders",
        1_024.0,
        "least recently used go: their proposals end unknown",
    ),
    _derived("pairs", "pairs", Role.DESTINATION, "of a sender and a destination", "senders * destinations"),
    _derived(
        "sender_event_rate", "events/s", Role.CLIENT, "taken by one sender", "events_per_second / senders"
    ),
    _derived(
        "pair_interval",
        "s",
        Role.DESTINATION,
        "between two calls of one sender to one destination, if events are spread evenly",
        "destinations * senders / events_per_second",
    ),
    _derived(
        "idle_connections",
        "connections",
        Role.DESTINATION,
        "kept open by one sender at the default idle time, at most one a call",
        "events_per_second / senders * idle_close",
        20_000.0,
        "idle connections close; descriptors are budgeted",
    ),
    _derived(
        "pair_connections",
        "connections",
        Role.DESTINATION,
        "of one sender if none were closed",
        "destinations",
        20_000.0,
        "not wanted: idle connections close",
    ),
    _derived(
        "calls_to_know",
        "s",
        Role.DESTINATION,
        "until one sender has called a destination three times, alone",
        "3 * call_interval",
        mechanism="missing: no sender's word reaches another",
    ),
    _derived(
        "calls_to_know_together",
        "s",
        Role.DESTINATION,
        "until the fleet has called it three times",
        "3 * call_interval / senders",
        mechanism="missing: no sender's word reaches another",
    ),
    _derived(
        "down_destinations", "destinations", Role.DESTINATION, "down at any time", "destinations * down"
    ),
    _derived(
        "sender_backlog",
        "events",
        Role.DISK,
        "undelivered events of one sender, spread evenly",
        "backlog_events / senders",
    ),
    _derived(
        "return_whole_time",
        "s",
        Role.SENDER,
        "a sender without its folder fetches a packed list, within the budget of bytes",
        "list_packed_bytes / control_budget",
        mechanism="missing",
    ),
    _derived(
        "zone_return_bytes",
        "bytes",
        Role.CONTROL,
        "packed lists for a zone without folders",
        "zone_senders * list_packed_bytes",
        mechanism="missing",
    ),
    _derived(
        "return_folder_bytes",
        "bytes",
        Role.SENDER,
        "what changed while a sender with its folder was away for five minutes, an entry a change",
        "list_delta_bytes * changes_per_day / day * 300",
        mechanism="missing",
    ),
    _derived(
        "delta_rate",
        "bytes/s",
        Role.SENDER,
        "changes of one packed entry each, in place of whole lists",
        "list_delta_bytes * changes_per_day / day",
        BYTES,
        "to be built: versioned changes on the agreed log",
    ),
    _derived(
        "delta_relay_rate",
        "bytes/s",
        Role.RELAY,
        "the same at a copy that passes them on to 12",
        "13 * list_delta_bytes * changes_per_day / day",
        BYTES,
        "to be built: versioned changes on the agreed log",
    ),
    _derived(
        "whole_list_relay_rate",
        "bytes/s",
        Role.RELAY,
        "whole lists in JSON lines if a copy passed them on to 12",
        "13 * list_lines_bytes * changes_per_day / day",
        BYTES,
        "not wanted",
    ),
)
