"""The saved endpoint list is read back correctly after torn, failed and refused writes."""

from __future__ import annotations

import errno
import os
import struct
import zlib
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

from brassweir.relay import list_columns
from brassweir.relay.endpoint_list import Change, EndpointList, ListError, Target
from brassweir.service.saved_list import FILE_NAME, SavedList

DIRECTORY_BYTES = 3 * 1024 * 1024
SMALL_DIRECTORY_BYTES = 128 * 1024


def target(uid: str, state: str = "active") -> Target:
    return Target(uid, "127.0.0.1:6379", 1, state, "a", "office", 50.0)


def endpoint_list(count: int = 3) -> EndpointList:
    endpoints = EndpointList()
    endpoints.apply(Change(4, True, [target(f"s{i}") for i in range(count)]))
    return endpoints


def keep(saved: SavedList, known: EndpointList, change: Change) -> None:
    known.apply(change)
    saved.append(change, known.snapshot)


def read_back(directory: Path, directory_bytes: int = DIRECTORY_BYTES) -> dict[str, str]:
    known = EndpointList()
    for change in SavedList(directory, directory_bytes).load():
        known.apply(change)
    return {uid: info.state.value for uid, info in known.known.items()}


def test_a_snapshot_and_its_deltas(tmp_path: Path) -> None:
    saved, known = SavedList(tmp_path, DIRECTORY_BYTES), endpoint_list()
    assert saved.load() == []
    saved.replace(known.snapshot())
    keep(saved, known, Change(5, False, [target("s0", "leaving")]))
    keep(saved, known, Change(6, False, [target("s1", "left"), target("s9")]))
    assert read_back(tmp_path) == {"s0": "draining", "s2": "ready", "s9": "ready"}
    assert known.snapshot().rev == 6


def test_many_changes_keep_the_file_small_and_lose_none(tmp_path: Path) -> None:
    saved, known = SavedList(tmp_path, DIRECTORY_BYTES), endpoint_list(200)
    saved.replace(known.snapshot())
    for i in range(400):
        keep(saved, known, Change(5 + i, False, [target(f"s{i % 200}", ("leaving", "active")[i // 200])]))
        assert (tmp_path / FILE_NAME).stat().st_size < 3 * 4096
    assert set(read_back(tmp_path).values()) == {"ready"}


@pytest.mark.parametrize("cut", [1, 3, 9])
def test_a_torn_end_is_not_read_and_the_next_process_writes_a_snapshot(tmp_path: Path, cut: int) -> None:
    saved, known = SavedList(tmp_path, DIRECTORY_BYTES), endpoint_list()
    saved.replace(known.snapshot())
    keep(saved, known, Change(5, False, [target("s0", "leaving")]))
    keep(saved, known, Change(6, False, [target("s1", "leaving")]))
    path = tmp_path / FILE_NAME
    os.truncate(path, path.stat().st_size - cut)
    assert read_back(tmp_path) == {"s0": "draining", "s1": "ready", "s2": "ready"}
    again = SavedList(tmp_path, DIRECTORY_BYTES)
    assert again.load() and again.snapshot_due


def test_corrupted_bytes_are_not_read(tmp_path: Path) -> None:
    SavedList(tmp_path, DIRECTORY_BYTES).replace(endpoint_list().snapshot())
    data = bytearray((tmp_path / FILE_NAME).read_bytes())
    data[-2] ^= 0x40
    (tmp_path / FILE_NAME).write_bytes(bytes(data))
    assert SavedList(tmp_path, DIRECTORY_BYTES).load() == []


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_a_failed_write_is_followed_by_a_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, code: int
) -> None:
    saved, known = SavedList(tmp_path, DIRECTORY_BYTES), endpoint_list()
    saved.replace(known.snapshot())

    def fails(*_: object, **__: object) -> object:
        raise OSError(code, os.strerror(code))

    with monkeypatch.context() as patch:
        patch.setattr(Path, "open", fails)
        patch.setattr(Path, "write_bytes", fails)
        keep(saved, known, Change(5, False, [target("s0", "leaving")]))
        assert saved.failure and saved.snapshot_due
        keep(saved, known, Change(6, False, [target("s1", "leaving")]))
    assert read_back(tmp_path) == dict.fromkeys(("s0", "s1", "s2"), "ready")
    keep(saved, known, Change(7, False, []))
    assert not saved.failure and not saved.snapshot_due
    assert read_back(tmp_path) == {"s0": "draining", "s1": "draining", "s2": "ready"}


def test_a_list_too_large_for_its_share_is_reported_and_not_written(tmp_path: Path) -> None:
    saved = SavedList(tmp_path, 4096)
    saved.replace(endpoint_list(500).snapshot())
    assert "exceeds the limit" in saved.failure and not (tmp_path / FILE_NAME).exists()


def test_the_largest_list_of_the_platform_fits(tmp_path: Path) -> None:
    saved, known = SavedList(tmp_path, DIRECTORY_BYTES), EndpointList()
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
    known.apply(Change(4, True, targets))
    saved.replace(known.snapshot())
    assert not saved.failure and len(read_back(tmp_path)) == 3200


def long_list(count: int, digits: int) -> Change:
    rng = Random(8)
    return Change(
        4,
        True,
        [
            Target(
                f"s-{rng.randrange(16**8):08x}",
                f"10.{rng.randrange(250)}.{rng.randrange(250)}.9:{rng.randrange(1024, 65536)}",
                i % 800,
                "active",
                f"zone-{i % 3}",
                f"partner-{i % 5}",
                round(rng.uniform(1.0, 100.0), digits),
            )
            for i in range(count)
        ],
    )


def test_the_largest_list_of_the_platform_with_long_hints_fits(tmp_path: Path) -> None:
    """Guards against a list that is too large to be saved, and a restart with an outdated one."""
    saved, known = SavedList(tmp_path, DIRECTORY_BYTES), EndpointList()
    known.apply(long_list(3200, 13))
    saved.replace(known.snapshot())
    assert not saved.failure
    (change,) = SavedList(tmp_path, DIRECTORY_BYTES).load()
    assert change == known.snapshot()


def test_a_list_saved_by_an_earlier_version_is_read(tmp_path: Path) -> None:
    known, data = endpoint_list(), b""
    later = Change(5, False, [target("s0", "leaving")])
    for change in (known.snapshot(), later):
        payload = zlib.compress(msgspec.json.encode(change), 1)
        data += struct.pack("<II", len(payload), zlib.crc32(payload)) + payload
    (tmp_path / FILE_NAME).write_bytes(data)
    assert SavedList(tmp_path, DIRECTORY_BYTES).load() == [known.snapshot(), later]


@pytest.mark.parametrize("column", ["uid", "capacity_hint"])
def test_columns_of_different_lengths_are_refused(column: str) -> None:
    columns = msgspec.json.decode(zlib.decompress(list_columns.encode(endpoint_list().snapshot())))
    columns[column].pop()
    with pytest.raises(ListError, match="different lengths"):
        list_columns.decode(zlib.compress(msgspec.json.encode(columns)))


@pytest.mark.parametrize("seed", range(6))
def test_the_files_of_the_list_never_outgrow_their_share(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards the part of the folder that the journal leaves to the list, also while writes fail or tear."""
    rng, real_open = Random(seed), Path.open
    failing = False

    class TornFile:
        def __init__(self, file: Any) -> None:
            self.file = file

        def __enter__(self) -> TornFile:
            return self

        def __exit__(self, *_: object) -> None:
            self.file.close()

        def write(self, data: bytes) -> int:
            if failing:
                self.file.write(data[: rng.randint(0, len(data))])
                raise OSError(errno.ENOSPC, "No space left on device")
            return int(self.file.write(data))

    monkeypatch.setattr(Path, "open", lambda path, mode="r", **more: TornFile(real_open(path, mode, **more)))
    saved, known = SavedList(tmp_path, SMALL_DIRECTORY_BYTES), endpoint_list()
    largest = 0
    for _ in range(200):
        failing = rng.random() < 0.3
        if rng.random() < 0.1:
            saved = SavedList(tmp_path, SMALL_DIRECTORY_BYTES)  # the next process
            saved.replace(known.snapshot())
        else:
            names = [f"{rng.getrandbits(64):016x}" for _ in range(rng.randint(1, 8))]
            keep(saved, known, Change(known.rev + 1, False, [target(name) for name in names]))
        largest = max(largest, sum(path.stat().st_size for path in tmp_path.iterdir()))
    assert SMALL_DIRECTORY_BYTES / 64 < largest <= SMALL_DIRECTORY_BYTES / 16
