"""The journal's I/O on the event loop: closing runs what is queued, and nothing submitted later."""

from __future__ import annotations

import asyncio

from brassweir.service.journaling import LoopIo, ThreadIo


def test_close_runs_queued_operations_and_no_later_ones() -> None:
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


def test_a_thread_that_was_closed_takes_no_more_work() -> None:
    """Guards against an error from a compaction whose next piece comes after the journal was closed."""

    async def run() -> list[str]:
        disk, seen = ThreadIo(asyncio.get_running_loop()), list[str]()
        disk.run(lambda: seen.append("first"), lambda _: None, lambda error: None)
        disk.close()
        disk.run(
            lambda: seen.append("late"), lambda _: seen.append("done"), lambda error: seen.append("error")
        )
        await asyncio.sleep(0.01)
        return seen

    assert asyncio.run(run()) == ["first"]


def test_an_error_is_reported_and_the_next_operation_runs() -> None:
    async def run() -> list[str]:
        disk, seen = LoopIo(asyncio.get_running_loop()), list[str]()

        def bad() -> None:
            raise OSError("gone")

        disk.run(bad, lambda _: seen.append("done"), lambda error: seen.append(str(error)))
        disk.run(lambda: None, lambda _: seen.append("done"), lambda error: seen.append(str(error)))
        await asyncio.sleep(0.01)
        return seen

    assert asyncio.run(run()) == ["gone", "done"]
