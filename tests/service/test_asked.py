"""The destinations shown by a running sender, and a sender that runs out of file descriptors."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from brassweir.cli.main import main
from brassweir.config.load import load
from brassweir.config.model import Config
from brassweir.core.ports import Answer, FinalAnswer, Payload, Submission
from brassweir.destinations.budget import ConnectionBudget
from brassweir.destinations.setup_queue import SetupQueue
from brassweir.lab.rigs.idle_setup import KEY, Plan, Quiet, write
from brassweir.lab.rigs.load import Mix
from brassweir.lab.standins import hooks
from brassweir.net import client
from brassweir.net.client import CallFailed, Reply, Stage
from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from brassweir.net.pool import ResourceShortage
from brassweir.net.pool_manager import PoolManager
from brassweir.service.process import SenderProcess
from tests.conftest import run


async def running(folder: Path, count: int = 30) -> tuple[SenderProcess, hooks.Receivers]:
    """Start a sender and its receivers in this process."""
    receivers = hooks.Receivers(count, KEY, 0.01, [], 1)
    port = await receivers.server.listen("127.0.0.1", 0)
    path = write(folder, Plan(Mix(1.0, 1.0, 0, count)), port)
    path.write_text(
        path.read_text().replace("listen: 127.0.0.1:0", "listen: 127.0.0.1:0\n  metrics: 127.0.0.1:0")
    )
    sender = SenderProcess(load(path, Config), folder, Quiet())
    await sender.start()
    return sender, receivers


async def deliver(sender: SenderProcess, name: str, identity: str) -> FinalAnswer:
    got: asyncio.Future[FinalAnswer] = asyncio.get_running_loop().create_future()
    number = sender.endpoints.numbers.number(name)
    assert number is not None
    sender.engine.submit(
        Submission("o", identity, "order", number, 5000.0, payload=Payload("a/b", b"x")), got.set_result
    )
    return await got


def test_idle_and_active_destinations_are_shown_and_ranked(tmp_path: Path) -> None:
    async def work() -> list[Any]:
        sender, receivers = await running(tmp_path)
        at = ["--at", f"127.0.0.1:{sender.metrics_port}"]

        async def ask(*words: str) -> Any:
            return await asyncio.to_thread(CliRunner().invoke, main, ["destinations", *words, *at])

        found = [await ask("show", "hook-3", "--json")]
        assert (await deliver(sender, "hook-3", "m1")).answer is Answer.DELIVERED
        found += [
            await ask("show", "hook-3", "--json"),
            await ask("top", "--by", "slow", "--count", "1", "--json"),
            await ask("show", "nobody"),
            await ask("top"),
        ]
        await sender.drain()
        receivers.server.abort()
        return found

    asleep, awake, top, nobody, plain = run(work())
    assert json.loads(asleep.output)["asleep"] and json.loads(asleep.output)["endpoints"] == ["hook-3-a"]
    shown = json.loads(awake.output)
    assert not shown["asleep"] and shown["mean_call_ms"] > 0 and shown["endpoints"][0]["state"] == "ready"
    assert (
        json.loads(top.output)["top"][0]["destination"] == "hook-3" and json.loads(top.output)["asleep"] == 29
    )
    assert nobody.exit_code == 1 and "no destination 'nobody'" in nobody.output
    assert "1 awake, 29 asleep" in plain.output


def test_a_shortage_of_descriptors_closes_connections_and_loses_no_message(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> tuple[list[FinalAnswer], SenderProcess]:
        sender, receivers = await running(tmp_path)
        dials = refused = 0
        dial = client.HttpPool._dial

        async def dial_short(pool: client.HttpPool, of: asyncio.AbstractEventLoop, connection: Any) -> None:
            nonlocal dials, refused
            dials += 1
            if 8 < dials <= 48:
                refused += 1
                raise ResourceShortage
            await dial(pool, of, connection)

        monkeypatch.setattr(client.HttpPool, "_dial", dial_short)
        answers = await asyncio.gather(*(deliver(sender, f"hook-{i}", f"m{i}") for i in range(30)))
        assert refused >= 3 and receivers.report()["repeated"] == 0
        await sender.drain()
        receivers.server.abort()
        return list(answers), sender

    answers, sender = run(work())
    assert [answer.answer for answer in answers] == [Answer.DELIVERED] * 30
    assert sender.pools.budget.max_connections < sender.pools.budget.configured, (
        "the connection limit stays lowered"
    )


def test_unreachable_endpoints_do_not_delay_connections_to_others() -> None:
    async def work() -> list[float]:
        blackhole = socket.socket()
        blackhole.bind(("127.0.0.1", 0))
        blackhole.listen(0)
        filled = [socket.socket() for _ in range(3)]
        for one in filled:
            one.setblocking(False)
            one.connect_ex(blackhole.getsockname())
        receivers = hooks.Receivers(10, KEY, 0.0, [], 1)
        port = await receivers.server.listen("127.0.0.1", 0)
        pools = PoolManager(Limits(), 4, 1000.0, 1000.0, ConnectionBudget(100), SetupQueue(4))
        loop = asyncio.get_running_loop()
        dead = [
            loop.create_task(post(pools, f"http://127.0.0.1:{blackhole.getsockname()[1]}/{i}"))
            for i in range(10)
        ]
        await asyncio.gather(*dead, return_exceptions=True)
        dead = [
            loop.create_task(post(pools, f"http://127.0.0.1:{blackhole.getsockname()[1]}/{i}"))
            for i in range(10)
        ]
        await asyncio.sleep(0.05)
        begun = loop.time()
        living = await asyncio.gather(*(post(pools, f"http://127.0.0.1:{port}/d/{i}/a") for i in range(10)))
        took = loop.time() - begun
        failed = [one for one in await asyncio.gather(*dead, return_exceptions=True)]
        assert all(isinstance(one, CallFailed) and one.stage is Stage.CONNECT for one in failed)
        assert all(isinstance(one, Reply) for one in living)
        pools.close_all_idle()
        receivers.server.abort()
        for one in [blackhole, *filled]:
            one.close()
        return [took]

    async def post(pools: PoolManager, url: str) -> Reply:
        return await pools.http_pool(url).post(Headers(), b"", asyncio.get_running_loop().time() + 3.0)

    assert run(work())[0] < 1.0, "dead endpoints hold one setup slot, the others serve live ones"
