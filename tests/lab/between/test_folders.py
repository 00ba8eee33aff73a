"""The judges' own reader and the program's: the same folder, read by both, says the same."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from brassweir.agreed.messages import COMMAND, Entry, Membership
from brassweir.agreed.records import Ballot, Commit, LogAppend, Snapshot, Truncate
from brassweir.agreed.store import Store, recover
from brassweir.journal.storage import DirectoryStorage
from brassweir.lab.between.folders import read_folder


def entry(index: int, data: bytes = b"x", term: int = 1) -> Entry:
    return Entry(index, term, COMMAND, data, "s", index)


def test_both_readers_agree_also_on_a_torn_end(tmp_path: Path) -> None:
    store = Store(DirectoryStorage(tmp_path), Random(1))
    store.write((Ballot(3, "b"), LogAppend((entry(1), entry(2), entry(3)))))
    store.write((Truncate(3), LogAppend((entry(3, b"y", 3),)), Commit(2)))
    state = Snapshot(2, 1, Membership((("a", "1"),)), 0, b"state")
    store.write((state, LogAppend((entry(4),))))
    last = max(tmp_path.glob("log-*"))
    for cut in (0, 1, 30):
        last.write_bytes(last.read_bytes()[: -cut or None])
        mine, theirs = read_folder(tmp_path, 1.0, "a", 0), recover(DirectoryStorage(tmp_path, write=False))[0]
        assert mine is not None
        assert (mine.member, mine.term, mine.vote, mine.agreed, mine.last) == (
            theirs.identity.member,
            theirs.ballot.term,
            theirs.ballot.vote,
            theirs.commit_index,
            theirs.last_index,
        )
        assert {i: term for i, (term, _) in mine.entries.items()} == {
            one.index: one.term for one in theirs.entries
        }
        assert mine.snap == (theirs.snapshot.index if theirs.snapshot else 0)
        assert mine.entries[1][1] != mine.entries[3][1]
    assert mine is not None and mine.snap == 0 and mine.last == 3


def test_nothing_and_a_gap(tmp_path: Path) -> None:
    assert read_folder(tmp_path, 1.0, "a", 0) is None
    store = Store(DirectoryStorage(tmp_path), Random(1))
    store.write((LogAppend((entry(2),)),))
    with pytest.raises(ValueError, match="entry 2 stands behind 0"):
        read_folder(tmp_path, 1.0, "a", 0)
