"""Selects the attempts to cancel before their first byte is written.

While an attempt waits for a connection, its destination may ask another call to wait, or an update of the
endpoint list may make its endpoint unusable. An attempt of which no byte was written cannot have taken
effect, so it can be cancelled; the module then decides again about its message. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable

from brassweir.core.ports import Attempt, Outcome
from brassweir.interface import EndpointInfo, EntryState

MUST_WAIT = "its destination told another call to wait before anything was written"
NOT_READY = "its endpoint was told off before anything was written"


def cancelled_by_wait(
    ended: Attempt, outcome: Outcome, waiting: Iterable[Attempt], apart: frozenset[str]
) -> list[Attempt]:
    """Return the attempts that the wait requested in ``outcome`` cancels.

    These are the attempts to the same destination. If each endpoint of its kind has its own limits
    (``apart``), they are only those to the same endpoint.
    """
    if outcome.wait <= 0.0:
        return []
    per_endpoint = ended.endpoint.kind in apart
    return [
        attempt
        for attempt in waiting
        if attempt.endpoint.destination == ended.endpoint.destination
        and (not per_endpoint or attempt.endpoint.name == ended.endpoint.name)
    ]


def cancelled_by_list(entries: Iterable[EndpointInfo], waiting: Iterable[Attempt]) -> list[Attempt]:
    """Return the attempts that a list update cancels.

    Their endpoint is no longer ready, or belongs to another destination now.
    """
    updated = {info.name: info for info in entries}
    return [
        attempt
        for attempt in waiting
        if (info := updated.get(attempt.endpoint.name)) is not None
        and (info.state is not EntryState.READY or info.destination != attempt.submission.destination)
    ]
