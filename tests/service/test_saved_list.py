"""The saved endpoint list is read back correctly after torn, failed and refused writes."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from brassweir.relay.endpoint_list import Change, Listing, Target
from brassweir.service.saved_list import NAME, SavedList

FOLDER = 3 * 1024 * 1024


def target(uid: str, state: str = "active") -> Target:
    return Target(uid, "127.0.0.1:6379", 1, state, "a", "office", 50.0)


def listing(count: int = 3) -> Listing:
    made = Listing()
    made.take(Change(4, True, [target(f"s{i}") for i in range(count)]))
    return made


def keep(saved: SavedList, known: Listing, change: Change) -> None:
    known.take(change)
    saved.append(change, known.whole)


def read_back(folder: Path, room: int = FOLDER) -> dict[str, str]:
    known = Listing()
    for change in SavedList(folder, room).load():
        known.take(change)
    return {uid: info.state.value for uid, info in known.known.items()}


def test_a_whole_list_and_what_changed_after_it(tmp_path: Path) -> None:
    saved, known = SavedList(tmp_path, FOLDER), listing()
    assert saved.load() == []
    saved.replace(known.whole())
    keep(saved, known, Change(5, False, [target("s0", "leaving")]))
    keep(saved, known, Change(6, False, [target("s1", "left"), target("s9")]))
    assert read_back(tmp_path) == {"s0": "draining", "s2": "ready", "s9": "ready"}
    assert known.whole().rev == 6


def test_many_changes_keep_the_file_small_and_lose_none(tmp_path: Path) -> None:
    saved, known = SavedList(tmp_path, FOLDER), listing(200)
    saved.replace(known.whole())
    for i in range(400):
        keep(saved, known, Change(5 + i, False, [target(f"s{i % 200}", ("leaving", "active")[i // 200])]))
        assert (tmp_path / NAME).stat().st_size < 3 * 4096
    assert set(read_back(tmp_path).values()) == {"ready"}


@pytest.mark.parametrize("cut", [1, 3, 9])
def test_a_torn_end_is_not_read_and_the_next_process_writes_a_whole_list(tmp_path: Path, cut: int) -> None:
    saved, known = SavedList(tmp_path, FOLDER), listing()
    saved.replace(known.whole())
    keep(saved, known, Change(5, False, [target("s0", "leaving")]))
    keep(saved, known, Change(6, False, [target("s1", "leaving")]))
    path = tmp_path / NAME
    os.truncate(path, path.stat().st_size - cut)
    assert read_back(tmp_path) == {"s0": "draining", "s1": "ready", "s2": "ready"}
    again = SavedList(tmp_path, FOLDER)
    assert again.load() and again.due


def test_bytes_that_were_turned_are_not_read(tmp_path: Path) -> None:
    SavedList(tmp_path, FOLDER).replace(listing().whole())
    data = bytearray((tmp_path / NAME).read_bytes())
    data[-2] ^= 0x40
    (tmp_path / NAME).write_bytes(bytes(data))
    assert SavedList(tmp_path, FOLDER).load() == []


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_a_write_that_fails_is_made_up_for_by_a_whole_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, code: int
) -> None:
    saved, known = SavedList(tmp_path, FOLDER), listing()
    saved.replace(known.whole())

    def fails(*_: object, **__: object) -> object:
        raise OSError(code, os.strerror(code))

    with monkeypatch.context() as patch:
        patch.setattr(Path, "open", fails)
        patch.setattr(Path, "write_bytes", fails)
        keep(saved, known, Change(5, False, [target("s0", "leaving")]))
        assert saved.failed and saved.due
        keep(saved, known, Change(6, False, [target("s1", "leaving")]))
    assert read_back(tmp_path) == dict.fromkeys(("s0", "s1", "s2"), "ready")
    keep(saved, known, Change(7, False, []))
    assert not saved.failed and not saved.due
    assert read_back(tmp_path) == {"s0": "draining", "s1": "draining", "s2": "ready"}


def test_a_list_too_large_for_its_share_is_said_and_not_written(tmp_path: Path) -> None:
    saved = SavedList(tmp_path, 4096)
    saved.replace(listing(500).whole())
    assert "exceeds the limit" in saved.failed and not (tmp_path / NAME).exists()


def test_the_largest_list_of_the_platform_has_room(tmp_path: Path) -> None:
    saved, known = SavedList(tmp_path, FOLDER), Listing()
    targets = [
        Target(
            os.urandom(4).hex(),
            f"10.{i % 7}.{i % 251}.{i % 249}:{6000 + i}",
            i % 40,
            "active",
            "a",
            "m",
            50.0,
        )
        for i in range(3200)
    ]
    known.take(Change(4, True, targets))
    saved.replace(known.whole())
    assert not saved.failed and len(read_back(tmp_path)) == 3200
