"""The journal's I/O on the loop: what still waits at the end is written, and nothing after it."""

from __future__ import annotations

import asyncio

from brassweir.service.journaling import LoopIo


def test_the_end_writes_what_waits_and_lets_nothing_more_go_on() -> None:
    async def run() -> list[str]:
        disk, seen = LoopIo(asyncio.get_running_loop()), list[str]()

        def done(_: object) -> None:
            seen.append("done")
            if len(seen) < 4:
                disk.run(lambda: seen.append("second"), done, lambda error: None)

        disk.run(lambda: seen.append("first"), done, lambda error: None)
        disk.close()
        disk.run(lambda: seen.append("late"), done, lambda error: None)
        await asyncio.sleep(0.01)
        return seen

    assert asyncio.run(run()) == ["first", "done", "second", "done"]


def test_an_error_is_told_and_the_next_goes_on() -> None:
    async def run() -> list[str]:
        disk, seen = LoopIo(asyncio.get_running_loop()), list[str]()

        def bad() -> None:
            raise OSError("gone")

        disk.run(bad, lambda _: seen.append("done"), lambda error: seen.append(str(error)))
        disk.run(lambda: None, lambda _: seen.append("done"), lambda error: seen.append(str(error)))
        await asyncio.sleep(0.01)
        return seen

    assert asyncio.run(run()) == ["gone", "done"]
