"""Parameters of the failure detector."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times in ms. The defaults serve groups of 2 to 340 copies."""

    # Between two probes: weighs the idle cost (12.5 messages a second) against how soon a failure is found.
    probe_period_ms: float = 160.0
    # Longest time between two steps, so that a longer gap shows that the process stood still.
    max_step_gap_ms: float = 200.0
    # Bounds of the time after which an answer counts as missing.
    min_answer_timeout_ms: float = 100.0
    max_answer_timeout_ms: float = 1_000.0
    # Shortest time from the first ping to the failure of a probe: longer than a garbage collector's pause.
    min_probe_ms: float = 450.0
    # Copies asked for an indirect probe; Lifeguard's k.
    helpers: int = 3
    # Accepted chance that message loss alone fails a probe; sets the rounds of pings within these bounds.
    max_false_failure: float = 1e-4
    min_rounds: int = 5
    max_rounds: int = 8
    # Time-out of a confirmed suspicion, times log10 of the number of copies; the factor for an unconfirmed
    # one; and what both gain per ms by which answers take longer than the minimum.
    min_suspicion_ms: float = 250.0
    unconfirmed_factor: float = 2.0
    suspicion_rtt_factor: float = 6.0
    # Independent reporters, after the first, that bring the time-out to its minimum.
    confirmations: int = 3
    # Times that each claim is sent, per log10 of the number of copies, rounded up.
    retransmit_factor: int = 6
    # Between two rounds of gossip messages; their receivers; claims in each (1.2 KB with usual names), and
    # in an answer to a copy that asks for state.
    gossip_ms: float = 100.0
    gossip_fanout: int = 3
    claims_per_gossip: int = 40
    # Claims on a probe or its answer.
    claims_per_probe: int = 6
    # A step this late: the process stood still, and no time-out that passed meanwhile counts against others.
    stall_ms: float = 500.0
    # Delay of the event loop that lowers this copy's trust in itself.
    loop_delay_ms: float = 100.0
    # How long a copy that stood still, or was suspected by others, suspects itself.
    self_suspicion_ms: float = 1_000.0
    # Local health score at which a copy suspects itself, and the highest score.
    self_suspicion_score: int = 3
    max_health_score: int = 8
    # Silence of all others, or of all other sites, after which this copy may be cut off, and then is.
    maybe_isolated_ms: float = 1_500.0
    isolated_ms: float = 2_400.0
    # Time after an isolation until copies that were not heard again are shown with the group's status.
    recovery_ms: float = 3_000.0
    # Period at which all live copies together ping a dead one, and the shortest one for a single copy.
    retry_ms: float = 1_000.0
    min_retry_ms: float = 500.0
    # How long after its start a copy accepts deaths from others without verifying them.
    join_ms: float = 3_000.0
    # Shortest time between two changes of generation: two processes of one name must not race.
    min_renewal_gap_ms: float = 2_000.0
    # How long a ping is remembered for an answer that comes late.
    remember_ping_ms: float = 5_000.0


DEFAULT = Tuning()
