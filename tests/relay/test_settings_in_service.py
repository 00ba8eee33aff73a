"""Settings of other deployments in a running process: many classes, short deadlines, reloaded files."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import pytest

from brassweir.lab.standins.platform import Endpoint, hang
from tests.relay import world
from tests.relay.scenarios import run_alone
from tests.relay.settings_samples import classes


async def logged(seen: world.World, event: str, count: int) -> None:
    """Wait until an event was logged ``count`` times."""
    for _ in range(100):
        if seen.log().count(event) == count:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"expected {event} {count} times: {seen.log()[-2000:]}")


def test_with_short_deadlines_a_shutdown_ends_before_the_kill(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(world, "CLASSES", classes({"HardLimit": 300.0, "Objective": 200.0}))

    async def scenario(seen: world.World) -> None:
        assert await seen.kill(signal.SIGTERM) == 0
        lines = [json.loads(line) for line in seen.log().splitlines()]
        left, stopped = (
            next(line["at"] for line in lines if line["event"] == event) for event in ("leaving", "stopped")
        )
        assert stopped - left < 3.0, "the shutdown must not outlast the deadlines"

    run_alone(tmp_path, scenario, Endpoint("a", 1))


def test_sixty_classes_with_deadlines_of_300_ms(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """One message is delivered, a hanging one ends by a notice, and an unknown class is refused."""
    monkeypatch.setattr(
        world,
        "CLASSES",
        classes(*({"Name": f"heart beat {i}", "HardLimit": 300.0, "Objective": 200.0} for i in range(60))),
    )

    async def scenario(seen: world.World) -> None:
        client = await seen.client()
        assert await client.put("m1", "heart beat 59", 1, 300.0) == b"+OK\r\n"
        assert await client.put("m2", "heart beat 0", 2, 300.0) == b"+OK\r\n"
        assert (await client.put("m3", "heart_beat_0", 1, 300.0)).startswith(b"-ERR")
        await seen.settled(2)
        assert seen.seen().delivered == ["m1"] and [
            notice["ref"] for _, notice in seen.discovery.notices
        ] == ["m2"]

    run_alone(tmp_path, scenario, Endpoint("a", 1), Endpoint("b", 2, hang))


def test_an_invalid_file_changes_nothing_and_the_next_one_is_loaded(tmp_path: Path) -> None:
    async def scenario(seen: world.World) -> None:
        assert seen.process is not None
        file = seen.directory / "config.json"
        good = file.read_text()
        bad = [
            ('{"a":' * 5000, "recursion"),
            (good.replace("pure", "odd"), "Classes.0.Idempotency"),
            (good.replace('"CallSlots": 30', '"CallSlots": 0'), "slots"),
            (good.replace('"note"', '"pay"'), "classes"),
            (good.replace('"active"', '"odd"'), "'odd'"),
            ("", "truncated"),
        ]
        for count, (text, field) in enumerate(bad, 1):
            file.write_text(text)
            seen.process.send_signal(signal.SIGHUP)
            await logged(seen, "reload_refused", count)
            refused = [line for line in seen.log().splitlines() if '"reload_refused"' in line]
            assert len(refused) == count and field in refused[-1], "one line that names the field"
        file.write_text(good)
        seen.process.send_signal(signal.SIGHUP)
        await logged(seen, "reloaded", 1)
        client = await seen.client()
        assert await client.put("m1", "note", 1) == b"+OK\r\n"
        await seen.settled(1)

    run_alone(tmp_path, scenario, Endpoint("a", 1))


@pytest.mark.parametrize(("effect", "again"), [("pure", True), ("token", False), ("side_effect", False)])
def test_a_class_whose_effect_changes_with_a_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, effect: str, again: bool
) -> None:
    """Its call is in flight as the process dies, without an idempotency key: only a pure one is repeated."""

    async def scenario(seen: world.World) -> None:
        client = await seen.client()
        assert await client.put("m1", "note", 1, 6000.0) == b"+OK\r\n"
        while not seen.endpoints[0].calls:
            await asyncio.sleep(0.01)
        await seen.kill()
        monkeypatch.setattr(world, "CLASSES", classes({"Idempotency": effect, "Window": 5000.0}))
        seen.write()
        await seen.start()
        for _ in range(500):
            if len(seen.endpoints[0].calls) > 1 or seen.discovery.notices:
                break
            await asyncio.sleep(0.01)
        assert (len(seen.endpoints[0].calls), len(seen.discovery.notices)) == ((2, 0) if again else (1, 1))

    run_alone(tmp_path, scenario, Endpoint("a", 1, hang))
