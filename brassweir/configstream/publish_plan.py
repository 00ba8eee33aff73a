"""What an operator's copy proposes so that its list becomes the next version. Pure.

Costs some tenths of a second at 70,000 endpoints: for a thread. What it is made from never changes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from brassweir.configstream import commands, delta
from brassweir.configstream.catalog import Catalog
from brassweir.configstream.chunking import split_delta
from brassweir.configstream.commands import MAX_CHUNK_BYTES, MAX_CHUNKS, Change, Commit, Stage
from brassweir.configstream.entries import Entry
from brassweir.configstream.validation import UNCONFIRMED, Confirmation, InvalidChange, apply_delta


class PublishPlan(msgspec.Struct, frozen=True):
    """The commands that make one version of another."""

    base_version: int  # the version that it was made from
    digest: str  # of the catalog that it leads to
    stage_commands: tuple[
        bytes, ...
    ]  # staged first, in any order; none if the last command is a change by itself
    final_command: bytes  # puts the version in force
    transfer: str  # the name of the pieces; empty without any
    changed: int  # entries
    removed: int


def make_plan(
    version: int,
    catalog: Catalog,
    entries: Iterable[Entry],
    by: str,
    confirmation: Confirmation = UNCONFIRMED,
) -> PublishPlan | None:
    """From the version that is there to a whole list; None if it says what that does. Raises CheckError."""
    try:
        difference = delta.diff_entries(catalog, entries)
    except delta.DeltaError as error:
        raise InvalidChange(error.field, str(error), error.endpoint) from None
    if not difference:
        return None
    digest = apply_delta(catalog, difference, confirmation).digest()
    body = delta.pack(difference)
    counts = len(difference.changed), len(difference.removed)
    if len(body) <= MAX_CHUNK_BYTES:
        change = commands.encode(Change(version, body, digest, by, confirmation))
        return PublishPlan(version, digest, (), change, "", *counts)
    bodies = split_delta(difference, MAX_CHUNK_BYTES)
    if len(bodies) > MAX_CHUNKS:
        raise InvalidChange("size", f"{len(bodies)} pieces when packed; {MAX_CHUNKS} are the most")
    transfer = _transfer(version, b"".join(bodies))
    pieces = tuple(commands.encode(Stage(transfer, part, piece)) for part, piece in enumerate(bodies))
    commit = commands.encode(Commit(transfer, version, len(bodies), digest, by, confirmation))
    return PublishPlan(version, digest, pieces, commit, transfer, *counts)


def _transfer(version: int, body: bytes) -> str:
    """A name by the content: proposed again, also by a copy that restarted, the pieces are the same."""
    return hashlib.sha256(b"%d\0%b" % (version, body)).hexdigest()[:32]
