"""The journal's clock across restarts: steps of the wall clock, a reboot, an unwritable directory."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from brassweir.journal import real_time


def step_wall_clock(patch: pytest.MonkeyPatch, seconds: float) -> None:
    real = time.time
    patch.setattr(time, "time", lambda: real() + seconds)


@pytest.mark.parametrize("seconds", [3600.0, -3600.0, 7.0])
def test_a_step_of_the_wall_clock_does_not_move_the_clock(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seconds: float
) -> None:
    before = real_time.open_clock(tmp_path, 0.0).now()
    step_wall_clock(monkeypatch, seconds)
    assert 0.0 <= real_time.open_clock(tmp_path, before).now() - before < 1000.0


def test_after_a_reboot_the_wall_clock_is_used(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    before = real_time.open_clock(tmp_path, 0.0).now()
    step_wall_clock(monkeypatch, 60.0)
    monkeypatch.setattr(real_time, "_boot_id", lambda: "another")
    assert 60_000.0 <= real_time.open_clock(tmp_path, before).now() - before < 61_000.0


def test_a_monotonic_clock_behind_the_journal_is_not_used(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    before = real_time.open_clock(tmp_path, 0.0).now()
    step_wall_clock(monkeypatch, 2.0)
    monkeypatch.setattr(real_time, "monotonic", lambda: 5.0)
    assert 2000.0 <= real_time.open_clock(tmp_path, before).now() - before < 3000.0


@pytest.mark.parametrize("content", [b"", b"{", b'{"boot": 1}', b"\xff"])
def test_an_unreadable_offset_is_replaced(tmp_path: Path, content: bytes) -> None:
    (tmp_path / real_time.CLOCK_FILE).write_bytes(content)
    first = real_time.open_clock(tmp_path, 0.0)
    assert abs(first.now() - time.time() * 1000.0) < 1000.0
    assert real_time.open_clock(tmp_path, first.now()).ahead == first.ahead


def test_without_a_writable_directory_the_wall_clock_is_used(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fails(*_: object) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(Path, "write_bytes", fails)
    assert abs(real_time.open_clock(tmp_path, 0.0).now() - time.time() * 1000.0) < 1000.0
    assert not (tmp_path / real_time.CLOCK_FILE).exists()
