"""The undelivered store and its commands: items are complete or absent, and the quota holds."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.cli.main import main
from brassweir.undelivered.item import StorageQuota, UndeliveredItem, decode, encode, file_name
from brassweir.undelivered.store import StoreFull, UndeliveredStore, read_all


def item(
    identity: str = "c1", size: int = 100, at: float = 1000.0, destination: str = "bank"
) -> UndeliveredItem:
    return UndeliveredItem(
        "edge", identity, destination, "order", "pay.x", "it said no", at, "application/x-ndjson", b"x" * size
    )


def test_an_item_is_stored_once_and_read_back(tmp_path: Path) -> None:
    store = UndeliveredStore(tmp_path / "new" / "kept", 10_000)
    store.save(item())
    store.save(item(at=2000.0))
    assert store.has("edge", "c1") and not store.has("edge", "c2") and not store.has("other", "c1")
    ((path, stored),) = read_all(store.directory)
    assert stored == item() and path.name == file_name("edge", "c1")
    assert UndeliveredStore(store.directory, 10_000).quota.total == path.stat().st_size


def test_quota_holds_and_capacity_returns_when_an_operator_removes_an_item(tmp_path: Path) -> None:
    store = UndeliveredStore(tmp_path, 700)
    store.save(item("a", 200))
    store.save(item("b", 200))
    with pytest.raises(StoreFull, match="of at most 700"):
        store.save(item("c", 200))
    assert len(list(read_all(tmp_path))) == 2 and not list(tmp_path.glob("*.new"))
    (tmp_path / file_name("edge", "a")).unlink()
    store.save(item("c", 200))
    assert {stored.identity for _, stored in read_all(tmp_path) if isinstance(stored, UndeliveredItem)} == {
        "b",
        "c",
    }


def test_a_failing_disk_raises_and_leaves_no_partial_item(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    store = UndeliveredStore(tmp_path, 10_000)

    def failing_fsync(_: int) -> None:
        raise OSError(5, "Input/output error")

    monkeypatch.setattr("os.fsync", failing_fsync)
    with pytest.raises(OSError):
        store.save(item())
    assert not list(read_all(tmp_path)) and not store.has("edge", "c1")
    monkeypatch.undo()
    store.save(item())
    assert len(list(read_all(tmp_path))) == 1


@given(st.integers(0, 10_000), st.integers(1, 255))
@settings(max_examples=200, deadline=None)
def test_a_flipped_bit_is_detected(at: int, bits: int) -> None:
    data = bytearray(encode(item()))
    data[at % len(data)] ^= bits
    with pytest.raises(ValueError):
        decode(bytes(data))


def test_quota_counts_each_file_once() -> None:
    quota = StorageQuota(100)
    quota.add("a", 60)
    assert quota.has("a") and quota.fits(40) and not quota.fits(41)
    quota.add("a", 10)
    assert quota.total == 10
    quota.drop("a")
    quota.drop("a")
    assert quota.total == 0


def test_commands(tmp_path: Path) -> None:
    store = UndeliveredStore(tmp_path, 10_000)
    store.save(item("late", at=2000.0))
    store.save(item("early", at=1000.0, destination="shop"))
    invoke = CliRunner().invoke
    listed = [
        json.loads(line)
        for line in invoke(main, ["kept", "list", str(tmp_path), "--json"]).output.splitlines()
    ]
    assert [(stored["identity"], stored["destination"], stored["bytes"]) for stored in listed] == [
        ("early", "shop", 100),
        ("late", "bank", 100),
    ]
    assert "early" not in invoke(main, ["kept", "list", str(tmp_path), "--destination", "bank"]).output
    content = invoke(main, ["kept", "show", str(tmp_path), "late", "--content"])
    assert content.output == "x" * 100
    details = json.loads(
        invoke(main, ["kept", "show", str(tmp_path), listed[0]["name"][:10], "--json"]).output
    )
    assert details["reason"] == "it said no" and details["kept_at"] == "1970-01-01T00:00:01Z"
    assert invoke(main, ["kept", "show", str(tmp_path), "none"]).exit_code == 1
    assert (
        json.loads(invoke(main, ["kept", "drop", str(tmp_path), "late", "--json"]).output)["identity"]
        == "late"
    )
    assert not store.has("edge", "late")
    path = tmp_path / file_name("edge", "early")
    path.write_bytes(path.read_bytes()[:-1] + b"?")
    damaged = invoke(main, ["kept", "list", str(tmp_path)])
    assert damaged.exit_code == 1 and "checksum" in damaged.output
    assert invoke(main, ["kept", "drop", str(tmp_path), path.stem]).exit_code == 1, (
        "a damaged item is not dropped"
    )
