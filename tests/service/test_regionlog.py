"""Ownership from the agreed log or a file, never both: a full disk, and epochs out of order."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from brassweir.regions import planning
from brassweir.service import log_ownership
from brassweir.service.file_ownership import FileOwnership
from brassweir.service.log_ownership import LogOwnership
from tests.service.group import ASSUMED, CLASSES, first_epoch


def test_an_epoch_that_cannot_be_saved_does_not_take_effect_and_is_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    notes: list[str] = []
    region = LogOwnership(
        "east", tmp_path / "s.epoch", ASSUMED, CLASSES, lambda event, _: notes.append(event)
    )

    def failing_fsync(_: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", failing_fsync)
    region.applied(first_epoch())
    region.poll()
    assert region.ownership.epoch is None and notes == ["epoch_refused"]
    monkeypatch.undo()
    region.poll()
    assert region.ownership.epoch is not None and notes[-1] == "epoch"
    restarted = log_ownership.LogOwnership(
        "east", tmp_path / "s.epoch", ASSUMED, CLASSES, lambda event, _: notes.append(event)
    )
    assert restarted.ownership.epoch == region.ownership.epoch
    restarted.applied(first_epoch(turn=0))
    assert notes[-1] == "epoch" and restarted.ownership.epoch == region.ownership.epoch, (
        "an older epoch of the log is skipped"
    )
    restarted.applied(
        msgspec.structs.replace(
            first_epoch(),
            grants=tuple(msgspec.structs.replace(each, region="west") for each in first_epoch().grants),
        )
    )
    assert notes[-1] == "epoch_refused" and restarted.ownership.epoch == region.ownership.epoch, (
        "an epoch that contradicts the known one is refused"
    )


def test_from_the_file_to_the_log_and_never_both(tmp_path: Path) -> None:
    notes: list[str] = []
    path, state = tmp_path / "epochs.json", tmp_path / "s.epoch"

    def note(event: str, more: dict[str, object]) -> None:
        notes.append(f"{event} {more.get('error', '')}")

    by_file = FileOwnership("east", path, state, ASSUMED, CLASSES, note)
    first_of_file = first_epoch(turn=0)
    for epoch in (
        first_of_file,
        planning.handed_over(first_of_file, first_of_file.issued + 1.0),
        planning.renewed(first_of_file, first_of_file.issued + 9.0, 9_000.0, ASSUMED),
    ):
        path.write_bytes(msgspec.json.encode(epoch))
        by_file.poll()
    assert [line.split()[0] for line in notes] == [
        "epoch",
        "epoch",
        "epoch_refused",
    ] and "handed over" in notes[2]
    by_log = LogOwnership("east", state, ASSUMED, CLASSES, note)
    assert by_log.ownership.epoch is not None and by_log.ownership.epoch.turn == 1, "across a restart"
    by_log.applied(planning.renewed(by_log.ownership.epoch, first_of_file.issued + 10.0, 9_000.0, ASSUMED))
    assert notes[3:] == ["epoch "]
