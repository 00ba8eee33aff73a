"""Faults struck on real processes, seen from what a stand-in writes into its folder."""

from __future__ import annotations

import asyncio
import re
import sys
import time
from pathlib import Path

from brassweir.lab.between.copy import CopyHandle
from brassweir.lab.between.fate import Fates
from brassweir.lab.between.faults import Faults
from brassweir.lab.between.keeper import Keeper
from brassweir.lab.between.schedule import of_text
from brassweir.lab.between.seen import Folder
from brassweir.lab.rigs.handle import free_port


class StandIn(CopyHandle):
    """Starts the small program."""

    def command(self) -> list[str]:
        return [sys.executable, str(Path(__file__).with_name("standin.py")), str(self.port), str(self.agreed)]

    def beats(self) -> list[tuple[int, float]]:
        lines = (self.agreed / "beats").read_bytes().splitlines()
        return [(int(pid), float(at)) for pid, at in (line.split() for line in lines)]


def read(path: Path, at: float, copy: str, life: int) -> Folder:
    return Folder(at, copy, life, 0, "", (path / "beats").stat().st_size, 0, "", {})


def play(folder: Path, *rows: str) -> tuple[StandIn, Faults, Keeper]:
    copy = StandIn("s1", folder / "s1.yaml", free_port())
    schedule = of_text("faults:\n" + "".join(f"- {row}\n" for row in rows))

    async def run() -> tuple[Faults, Keeper]:
        await copy.start()
        keeper = Keeper(folder / "copies", [copy], read)
        faults = Faults(schedule, [copy], Fates(1, {"s1": "here"}), lambda: "s1", keeper.older)
        keeper.start = faults.start = time.time()
        watch = asyncio.create_task(keeper.watch())
        try:
            await faults.play()
            await asyncio.sleep(0.2)
        finally:
            watch.cancel()
            await copy.kill()
        await keeper.take()
        return faults, keeper

    return (copy, *asyncio.run(run()))


def test_a_stall_stops_it_and_a_kill_starts_another(tmp_path: Path) -> None:
    copy, faults, _ = play(
        tmp_path, "{at: 0.2, what: stall, who: leader, for: 0.5}", "{at: 1.0, what: kill, who: s1, for: 0.1}"
    )
    beats = copy.beats()
    gaps = [b[1] - a[1] for a, b in zip(beats, beats[1:], strict=False) if a[0] == b[0]]
    assert sum(gap > 0.45 for gap in gaps) == 1 and len({pid for pid, _ in beats}) == 2
    assert [(one.what, one.copy) for one in faults.away] == [("stall", "s1"), ("kill", "s1")]
    assert faults.done[0].who == "s1" and not faults.problems and copy.life == 0


def test_a_folder_is_lost_and_an_old_one_put_back(tmp_path: Path) -> None:
    copy, faults, keeper = play(
        tmp_path,
        "{at: 0.1, what: lose, who: s1, for: 0.1}",
        "{at: 1.6, what: restore, who: s1, age: 0.2, for: 0.1}",
    )
    assert copy.life == 2 and not faults.problems
    assert {one.life for one in keeper.folders} == {0, 1, 2}
    assert len({pid for pid, _ in copy.beats()}) == 2  # the lost one's words are gone, the older copy's stand


def test_a_full_disk_tears_a_write_and_ends_a_program_that_then_starts_anew(tmp_path: Path) -> None:
    copy, faults, _ = play(tmp_path, "{at: 0.2, what: full, who: s1, for: 0.3}")
    assert "No space left" in copy.log.read_text() and not faults.problems
    lines = (copy.agreed / "beats").read_bytes().splitlines()
    assert sum(re.fullmatch(rb"\d+ \d+\.\d{3}", line) is None for line in lines) == 1


def test_a_clock_is_stepped_and_comes_back(tmp_path: Path) -> None:
    copy, _, _ = play(tmp_path, "{at: 0.3, what: clock, who: s1, by_ms: -60000, for: 0.3}")
    off = [at for _, at in copy.beats() if time.time() - at > 50.0]
    assert 2 <= len(off) < len(copy.beats()) - 4


def test_one_that_is_replaced_is_never_started_again(tmp_path: Path) -> None:
    old, new = (StandIn(name, tmp_path / f"{name}.yaml", free_port()) for name in ("s1", "s2"))
    schedule = of_text(
        "faults:\n- {at: 0, what: replace, who: s1, for: 0.3}\n- {at: 0.1, what: kill, who: s1, for: 0}\n"
        "- {at: 0.1, what: clock, who: s1, by_ms: 9, for: 0}\n- {at: 1.5, what: lose, who: s1, for: 0}\n"
        "- {at: 1.5, what: restart_all, for: 0}"
    )
    voted = []

    async def run() -> Faults:
        await old.start()
        faults = Faults(
            schedule,
            [old],
            Fates(1, {"s1": "here"}),
            lambda: "",
            lambda name, age: None,
            spare=lambda gone: new,
            voters=lambda *names: voted.append((*names, new.running)),
        )
        try:
            await faults.play()
            assert new.running and not old.running
        finally:
            await new.kill()
        return faults

    faults = asyncio.run(run())
    assert (old.run, new.run, voted, old.life) == (1, 2, [("s1", "s2", True)], 0)
    assert not faults.problems and faults.replaced == {"s1": "s2"} and list(faults.copies) == ["s2"]
    gone, born, *_ = faults.away
    assert (gone.copy, gone.end, born.copy) == ("s1", float("inf"), "s2") and born.end < 1.5


def test_one_that_ends_at_its_start_is_a_problem_and_nothing_is_left(tmp_path: Path) -> None:
    copy = StandIn("s1", tmp_path / "s1.yaml", free_port())
    copy.agreed.write_text("no folder")
    faults = Faults(
        of_text("faults:\n- {at: 0, what: kill, who: s1, for: 0}"),
        [copy],
        Fates(1, {"s1": "here"}),
        lambda: "",
        lambda name, age: None,
    )
    asyncio.run(faults.play())
    assert len(faults.problems) == 1 and "s1 ended with 1" in faults.problems[0] and not copy.running
