"""Which attempts are called back before their first byte: news that came while they waited for a connection.

A decision to send is made on what was known then. Setting a connection up may take longer than a destination
needs to tell another call to wait, or the list to tell that an endpoint drains. An attempt of which nothing
was written cannot have run, so it can still be called back, as moot; what becomes of its message is decided
anew. Pure.
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
    """Attempts that a told wait calls back: those to the same destination, or where the kind's routes have
    limits of their own (``apart``), to the same endpoint."""
    if outcome.wait <= 0.0:
        return []
    own = ended.endpoint.kind in apart
    return [
        one
        for one in waiting
        if one.endpoint.destination == ended.endpoint.destination
        and (not own or one.endpoint.name == ended.endpoint.name)
    ]


def cancelled_by_list(entries: Iterable[EndpointInfo], waiting: Iterable[Attempt]) -> list[Attempt]:
    """Attempts that news of the list calls back: to endpoints not ready, or of another destination now."""
    told = {info.name: info for info in entries}
    return [
        one
        for one in waiting
        if (info := told.get(one.endpoint.name)) is not None
        and (info.state is not EntryState.READY or info.destination != one.submission.destination)
    ]
