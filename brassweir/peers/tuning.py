"""The tuned values of liveness, each with its unit and reason. docs/design-peers.md has the figures."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times in ms. The defaults hold from 2 to 340 copies."""

    # Idle cost (12.5 messages a second) against how soon a dead one is probed.
    period: float = 160.0
    # A copy is stepped at least this often, so that a gap in its steps shows.
    tick: float = 200.0
    # An answer is never taken for missing sooner (a busy loop answers late), nor waited for longer.
    answer_least: float = 100.0
    answer_most: float = 1_000.0
    # From the first ping to the verdict on a probe: a collector's pause is no death.
    window_least: float = 450.0
    # Others asked to probe; Lifeguard's k.
    helpers: int = 3
    # Chance that loss alone fails a probe: sets how often pings are repeated, within these rounds.
    miss_aim: float = 1e-4
    rounds_least: int = 5
    rounds_most: int = 8
    # Time-out of a confirmed suspicion, times log10 of the fleet; unconfirmed a multiple of it; plus so many
    # times what answers take above the least, since word there and back takes hops.
    suspect_least: float = 250.0
    suspect_spread: float = 2.0
    suspect_trips: float = 6.0
    # Independent finders, after the first, that bring the time-out to its least.
    confirmations: int = 3
    # Each piece of news goes out so often, times log10 of the fleet rounded up.
    retransmit: int = 6
    # Between two rounds of messages that carry news alone; their receivers; claims in each (1.2 KB with usual
    # names), and in an answer to one that asks for state.
    push: float = 100.0
    push_to: int = 3
    push_claims: int = 40
    # News on a probe or its answer.
    ride_claims: int = 6
    # A step this late: nothing that ended meanwhile counts against others.
    stall: float = 500.0
    # A loop this late doubts itself.
    late: float = 100.0
    # For how long a copy that stalled, or was suspected, calls itself suspected.
    grace: float = 1_000.0
    # Score of local health from which a copy calls itself suspected, and the highest there is.
    doubt: int = 3
    worst: int = 8
    # Silence of all others, or of all other sites, that may be a cut, and that is one.
    quiet: float = 1_500.0
    cut: float = 2_400.0
    # After a cut: those not heard again by then are shown as the fleet has them.
    heal: float = 3_000.0
    # All the living together ping a dead one so often; no copy pings dead ones more often than the least.
    retry: float = 1_000.0
    retry_least: float = 500.0
    # For how long after its start a copy takes deaths from others without looking into them.
    join: float = 3_000.0
    # A copy takes a later generation at most so often: two processes of one name must not race.
    renew_after: float = 2_000.0
    # Late answers tell the time of the way for so long.
    remember: float = 5_000.0


DEFAULT = Tuning()
