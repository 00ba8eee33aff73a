"""The log's verdict on sites, of what copies say by their own endings. Pure: for the replicated machine."""

from __future__ import annotations

from collections.abc import Mapping

from brassweir.sites.facts import Copy, State

MOST = 0.5  # share of a site's copies that speak, over which the site says so


def next_agreed_state(state: State, about: str, said: Mapping[str, State], copies: tuple[Copy, ...]) -> State:
    """The next agreed word on ``about``. Each site has one voice, that of most of its copies that speak (a
    copy without own calls there is not in ``said``); copies of one site share its fate and its cuts.

    Lost: all voices but at most one say so, and at least two do, or the only one there is. Returning: no
    voice says lost and one has seen it return. Well: all say well.
    """
    voices: dict[str, list[State]] = {}
    for copy in copies:
        if copy.name in said:
            voices.setdefault(copy.site, []).append(said[copy.name])
    if not voices:
        return state
    lost = sum(_most(states, State.LOST) for states in voices.values())
    if state in (State.WELL, State.SUSPECTED, State.RETURNING):
        others = len([site for site in voices if site != about])
        if lost and (lost >= 2 or others <= 1) and lost >= len(voices) - 1:
            return State.LOST
    if state is State.LOST:
        return State.RETURNING if not lost else State.LOST
    if all(_most(states, State.WELL) for states in voices.values()):
        return State.WELL
    return state


def _most(states: list[State], state: State) -> bool:
    return sum(one is state for one in states) > MOST * len(states)
