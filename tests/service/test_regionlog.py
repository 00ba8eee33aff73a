"""Where a region's epochs come from: the agreed log or a file, never both; a full disk, and states out of turn."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from brassweir.regions import planning
from brassweir.service import log_ownership
from brassweir.service.file_ownership import FileOwnership
from brassweir.service.log_ownership import LogOwnership
from tests.service.group import ASSUMED, CLASSES, first


def test_an_epoch_that_cannot_be_kept_does_not_count_and_is_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    notes: list[str] = []
    one = LogOwnership("east", tmp_path / "s.epoch", ASSUMED, CLASSES, lambda event, _: notes.append(event))

    def sick(_: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", sick)
    one.applied(first())
    one.look()
    assert one.ownership.epoch is None and notes == ["epoch_refused"]
    monkeypatch.undo()
    one.look()
    assert one.ownership.epoch is not None and notes[-1] == "epoch"
    again = log_ownership.LogOwnership(
        "east", tmp_path / "s.epoch", ASSUMED, CLASSES, lambda event, _: notes.append(event)
    )
    assert again.ownership.epoch == one.ownership.epoch
    again.applied(first(turn=0))
    assert notes[-1] == "epoch" and again.ownership.epoch == one.ownership.epoch, (
        "an older state of the log is passed over, and not gone back to"
    )
    again.applied(
        msgspec.structs.replace(
            first(), grants=tuple(msgspec.structs.replace(each, region="west") for each in first().grants)
        )
    )
    assert notes[-1] == "epoch_refused" and again.ownership.epoch == one.ownership.epoch, (
        "nor to one that contradicts"
    )


def test_from_the_file_to_the_log_and_never_both(tmp_path: Path) -> None:
    notes: list[str] = []
    path, state = tmp_path / "epochs.json", tmp_path / "s.epoch"

    def note(event: str, more: dict[str, object]) -> None:
        notes.append(f"{event} {more.get('error', '')}")

    by_file = FileOwnership("east", path, state, ASSUMED, CLASSES, note)
    told = first(turn=0)
    for epoch in (
        told,
        planning.handed_over(told, told.issued + 1.0),
        planning.renewed(told, told.issued + 9.0, 9_000.0, ASSUMED),
    ):
        path.write_bytes(msgspec.json.encode(epoch))
        by_file.look()
    assert [one.split()[0] for one in notes] == [
        "epoch",
        "epoch",
        "epoch_refused",
    ] and "handed over" in notes[2]
    by_log = LogOwnership("east", state, ASSUMED, CLASSES, note)
    assert by_log.ownership.epoch is not None and by_log.ownership.epoch.turn == 1, "across a restart"
    by_log.applied(planning.renewed(by_log.ownership.epoch, told.issued + 10.0, 9_000.0, ASSUMED))
    assert notes[3:] == ["epoch "]
