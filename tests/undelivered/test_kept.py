"""The undelivered store: whole or not there, bounded, never silently dropped; and its commands."""

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


def test_an_item_is_kept_once_and_read_again(tmp_path: Path) -> None:
    kept = UndeliveredStore(tmp_path / "new" / "kept", 10_000)
    kept.save(item())
    kept.save(item(at=2000.0))
    assert kept.has("edge", "c1") and not kept.has("edge", "c2") and not kept.has("other", "c1")
    ((path, one),) = read_all(kept.directory)
    assert one == item() and path.name == file_name("edge", "c1")
    assert UndeliveredStore(kept.directory, 10_000).quota.total == path.stat().st_size


def test_the_bound_holds_and_room_comes_back_when_an_operator_takes_one_out(tmp_path: Path) -> None:
    kept = UndeliveredStore(tmp_path, 700)
    kept.save(item("a", 200))
    kept.save(item("b", 200))
    with pytest.raises(StoreFull, match="of at most 700"):
        kept.save(item("c", 200))
    assert len(list(read_all(tmp_path))) == 2 and not list(tmp_path.glob("*.new"))
    (tmp_path / file_name("edge", "a")).unlink()
    kept.save(item("c", 200))
    assert {one.identity for _, one in read_all(tmp_path) if isinstance(one, UndeliveredItem)} == {"b", "c"}


def test_a_sick_disk_is_an_error_and_leaves_no_half(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    kept = UndeliveredStore(tmp_path, 10_000)

    def sick(_: int) -> None:
        raise OSError(5, "Input/output error")

    monkeypatch.setattr("os.fsync", sick)
    with pytest.raises(OSError):
        kept.save(item())
    assert not list(read_all(tmp_path)) and not kept.has("edge", "c1")
    monkeypatch.undo()
    kept.save(item())
    assert len(list(read_all(tmp_path))) == 1


@given(st.integers(0, 10_000), st.integers(1, 255))
@settings(max_examples=200, deadline=None)
def test_a_flipped_bit_is_seen(at: int, bits: int) -> None:
    data = bytearray(encode(item()))
    data[at % len(data)] ^= bits
    with pytest.raises(ValueError):
        decode(bytes(data))


def test_a_room_counts_what_it_holds() -> None:
    room = StorageQuota(100)
    room.add("a", 60)
    assert room.has("a") and room.fits(40) and not room.fits(41)
    room.add("a", 10)
    assert room.total == 10
    room.drop("a")
    room.drop("a")
    assert room.total == 0


def test_the_commands(tmp_path: Path) -> None:
    kept = UndeliveredStore(tmp_path, 10_000)
    kept.save(item("late", at=2000.0))
    kept.save(item("early", at=1000.0, destination="shop"))
    invoke = CliRunner().invoke
    listed = [
        json.loads(line)
        for line in invoke(main, ["kept", "list", str(tmp_path), "--json"]).output.splitlines()
    ]
    assert [(one["identity"], one["destination"], one["bytes"]) for one in listed] == [
        ("early", "shop", 100),
        ("late", "bank", 100),
    ]
    assert "early" not in invoke(main, ["kept", "list", str(tmp_path), "--destination", "bank"]).output
    shown = invoke(main, ["kept", "show", str(tmp_path), "late", "--content"])
    assert shown.output == "x" * 100
    told = json.loads(invoke(main, ["kept", "show", str(tmp_path), listed[0]["name"][:10], "--json"]).output)
    assert told["reason"] == "it said no" and told["kept_at"] == "1970-01-01T00:00:01Z"
    assert invoke(main, ["kept", "show", str(tmp_path), "none"]).exit_code == 1
    assert (
        json.loads(invoke(main, ["kept", "drop", str(tmp_path), "late", "--json"]).output)["identity"]
        == "late"
    )
    assert not kept.has("edge", "late")
    path = tmp_path / file_name("edge", "early")
    path.write_bytes(path.read_bytes()[:-1] + b"?")
    damaged = invoke(main, ["kept", "list", str(tmp_path)])
    assert damaged.exit_code == 1 and "checksum" in damaged.output
    assert invoke(main, ["kept", "drop", str(tmp_path), path.stem]).exit_code == 1, (
        "what is damaged is not dropped unread"
    )
