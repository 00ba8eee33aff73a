"""The messages of a journal as a table with one row each, for export. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from brassweir.journal.message import MessageState
from brassweir.journal.recover import Hole
from brassweir.journal.state import JournalState

# Column: (type, meaning). docs/journal-format.md has the same list.
COLUMNS: dict[str, tuple[str, str]] = {
    "id": ("int64", "the ledger's number"),
    "owner": ("string", "who handed it in"),
    "identity": ("string", "under which name"),
    "class_name": ("string", "its class"),
    "destination": ("string", "where it was to go"),
    "key": ("string", "what orders it, if anything"),
    "deadline": ("timestamp", "when its time was up"),
    "content_bytes": ("int64", "size of its content; null once it is no longer held"),
    "attempts": ("int32", "intents written, or endings where their intents were not"),
    "results": ("list", "how each ended, in the order of their numbers; null while out"),
    "first_may_have_run": ("timestamp", "when an attempt that may have run was first to go out"),
    "answer": ("string", "delivered, refused, failed; null while open"),
    "reason": ("string", "why"),
    "answered": ("timestamp", "when"),
    "receipt_owed": ("bool", "a receipt may still have to be brought"),
    "behind_hole": ("bool", "damage may hide records of it"),
}


def rows(state: JournalState, holes: Iterable[Hole]) -> Iterator[dict[str, Any]]:
    """Yield one row for each message, in the order accepted."""
    last_uncertain_id = max((hole.last_id for hole in holes), default=0)
    for message in state.by_id.values():
        yield _row(message, last_uncertain_id)


def _row(message: MessageState, last_uncertain_id: int) -> dict[str, Any]:
    taken, final = message.taken, message.final
    numbers = sorted(message.intents.keys() | message.ended.keys())
    return {
        "id": message.id,
        "owner": taken.owner if taken else None,
        "identity": taken.identity if taken else None,
        "class_name": taken.class_name if taken else None,
        "destination": taken.destination if taken else None,
        "key": taken.key if taken else None,
        "deadline": taken.deadline if taken else None,
        "content_bytes": len(taken.content) if taken and taken.content_type else None,
        "attempts": len(numbers),
        "results": [message.ended[number].result if number in message.ended else None for number in numbers],
        "first_may_have_run": message.first_run_at,
        "answer": final.answer if final else None,
        "reason": final.reason if final else None,
        "answered": final.at if final else None,
        "receipt_owed": message.receipt_pending,
        "behind_hole": message.id <= last_uncertain_id and final is None,
    }
