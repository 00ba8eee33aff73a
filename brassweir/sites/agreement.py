"""The agreed state of each site, from the copies' reports of their own calls. Pure: for the replicated
state machine."""

from __future__ import annotations

from collections.abc import Mapping

from brassweir.sites.facts import Copy, State

MAJORITY = 0.5  # a state is a site's report if more than this share of its reporting copies have it


def next_agreed_state(
    state: State, about: str, reports: Mapping[str, State], copies: tuple[Copy, ...]
) -> State:
    """The next agreed state of the site ``about``. ``reports``: by copy, for copies that have calls of their
    own there.

    Each site has one vote, the majority of its copies that report, since copies of one site share its
    failures and partitions. Lost: all votes but at most one say so, and at least two do, or at most one other
    site votes. Returning: no vote says lost any more. Well: all votes say well.
    """
    votes: dict[str, list[State]] = {}
    for copy in copies:
        if copy.name in reports:
            votes.setdefault(copy.site, []).append(reports[copy.name])
    if not votes:
        return state
    lost = sum(_has_majority(states, State.LOST) for states in votes.values())
    if state in (State.WELL, State.SUSPECTED, State.RETURNING):
        others = len([site for site in votes if site != about])
        if lost and (lost >= 2 or others <= 1) and lost >= len(votes) - 1:
            return State.LOST
    if state is State.LOST:
        return State.RETURNING if not lost else State.LOST
    if all(_has_majority(states, State.WELL) for states in votes.values()):
        return State.WELL
    return state


def _has_majority(states: list[State], state: State) -> bool:
    """Whether more than ``MAJORITY`` of the states are ``state``."""
    return sum(other is state for other in states) > MAJORITY * len(states)
