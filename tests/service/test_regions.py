"""Senders of two regions without contact: exactly one accepts a message, the other names the right region."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from brassweir.cli.main import main
from brassweir.config.load import ConfigError, load
from brassweir.config.model import Config
from brassweir.core.ports import Answer, FinalAnswer, Payload, Submission
from brassweir.lab.rigs.local import Lines
from brassweir.regions import planning
from brassweir.regions.epochs import Epoch, parse
from brassweir.regions.ownership import Assumptions
from brassweir.service.file_ownership import FileOwnership
from brassweir.service.process import SenderProcess
from tests.config.test_forward import VALID_SETTINGS, write_settings
from tests.conftest import run

ASSUMED = Assumptions(500.0, 8_000.0, 3_600_000.0)


def first(now: float | None = None) -> Epoch:
    return planning.first_epoch(
        {"east": "http://east/as2", "west": "http://west/as2"},
        now or time.time() * 1000.0 - 5_000.0,
        60_000.0,
    )


def sender(tmp_path: Path, region: str, epoch: Epoch | None) -> SenderProcess:
    home = tmp_path / region
    home.mkdir(exist_ok=True)
    path = write_settings(home, VALID_SETTINGS + f"region: {{name: {region}, epochs: epochs.json}}\n")
    if epoch is not None:
        (home / "epochs.json").write_bytes(msgspec.json.encode(epoch))
    return SenderProcess(load(path, Config), home, Lines())


async def refusal(process: SenderProcess, cls: str, identity: str) -> FinalAnswer | None:
    """Return the refusal, or None if the message was accepted."""
    got: list[FinalAnswer] = []
    number = process.endpoints.numbers.number("c")
    assert number is not None
    process.engine.submit(
        Submission("client", identity, cls, number, 5000.0, payload=Payload("a/b", b"x")), got.append
    )
    await asyncio.sleep(0.05)
    return got[0] if got and got[0].reason.startswith(("not here", "not yet")) else None


def test_a_message_handed_to_both_regions_is_taken_in_one(tmp_path: Path) -> None:
    async def work() -> None:
        epoch = first()
        both = [sender(tmp_path, name, epoch) for name in ("east", "west")]
        for one in both:
            await one.start()
        for number in range(12):
            refusals = [await refusal(one, "order", f"m{number}") for one in both]
            assert [answer is None for answer in refusals].count(True) == 1, "exactly one region accepts it"
            refused = next(answer for answer in refusals if answer is not None)
            assert refused.answer is Answer.REFUSED and (
                "http://west/as2" in refused.reason or "http://east/as2" in refused.reason
            )
            assert [await refusal(one, "status", f"s{number}") for one in both] == [None, None], (
                "every region accepts safe messages"
            )
        text = both[0].metrics.text().decode()
        assert 'brassweir_not_here_total{why="elsewhere"}' in text
        for one in both:
            one.stop()

    run(work())


def test_without_an_epoch_no_unsafe_message_is_accepted(tmp_path: Path) -> None:
    async def work() -> None:
        one = sender(tmp_path, "east", None)
        await one.start()
        refused = await refusal(one, "order", "m1")
        assert refused is not None and "nothing is known yet" in refused.reason and refused.retry_after > 0
        assert await refusal(one, "status", "s1") is None
        (tmp_path / "east" / "epochs.json").write_bytes(msgspec.json.encode(first()))
        await asyncio.sleep(0.6)
        taken = [await refusal(one, "order", f"m{number}") is None for number in range(2, 20)]
        assert any(taken) and not all(taken)
        one.stop()

    run(work())


def test_a_restart_never_takes_an_older_epoch(tmp_path: Path) -> None:
    now = time.time() * 1000.0
    old = first(now)
    new = planning.drained(old, "east", now, 60_000.0, ASSUMED).epoch
    path, state, notes = tmp_path / "epochs.json", tmp_path / "s.epoch", list[str]()

    def create() -> FileOwnership:
        one = FileOwnership("east", path, state, ASSUMED, {}, lambda event, _: notes.append(event))
        one.poll()
        return one

    path.write_bytes(msgspec.json.encode(new))
    assert create().ownership.epoch == new
    path.write_bytes(msgspec.json.encode(old))
    again = create()
    assert again.ownership.epoch == new and notes == ["epoch", "epoch_refused"]
    again.poll()
    assert notes == ["epoch", "epoch_refused"], "logged once"
    state.write_bytes(state.read_bytes()[:-5])
    with pytest.raises(ConfigError, match="put it back"):
        create()


def test_an_epoch_that_cannot_be_saved_does_not_take_effect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, notes = tmp_path / "epochs.json", list[str]()
    path.write_bytes(msgspec.json.encode(first()))
    one = FileOwnership("east", path, tmp_path / "s.epoch", ASSUMED, {}, lambda event, _: notes.append(event))

    def failing_fsync(_: int) -> None:
        raise OSError(5, "Input/output error")

    monkeypatch.setattr("os.fsync", failing_fsync)
    one.poll()
    assert one.ownership.epoch is None and notes == ["epoch_refused"]
    monkeypatch.undo()
    one.poll()
    assert one.ownership.epoch is not None


def test_commands_that_create_and_change_epochs(tmp_path: Path) -> None:
    invoke, a, b, c = CliRunner().invoke, tmp_path / "1.json", tmp_path / "2.json", tmp_path / "3.json"
    created = invoke(
        main,
        [
            "regions",
            "first",
            str(a),
            "--region",
            "east",
            "http://e",
            "--region",
            "west",
            "http://w",
            "--json",
        ],
    )
    assert json.loads(created.output)["share_owned_now"] == {"east": 0.5, "west": 0.5}
    assert "exists" in invoke(main, ["regions", "first", str(a), "--region", "east", "u"]).output
    moved = json.loads(
        invoke(
            main,
            [
                "regions",
                "plan-move",
                str(a),
                str(b),
                "--low",
                "0",
                "--high",
                "0.25",
                "--to",
                "west",
                "--json",
            ],
        ).output
    )
    assert moved["number"] == 2 and 60.0 < moved["pause_s"] < 125.0 and moved["nobody_s_now"] == 0.25
    assert parse(b.read_bytes()).past[0].region == "east"
    assert (
        json.loads(invoke(main, ["regions", "renew", str(b), str(c), "--lease-s", "90", "--json"]).output)[
            "number"
        ]
        == 2
    )
    lost = invoke(main, ["regions", "drain-region", str(c), str(c), "east", "--lost"])
    assert lost.exit_code == 1 and "may still send" in lost.output
    done = invoke(
        main,
        [
            "regions",
            "drain-region",
            str(c),
            str(c),
            "east",
            "--lost",
            "--its-senders-are-stopped",
            "--its-journals-are-kept",
            "--json",
        ],
    )
    assert done.exit_code == 0 and json.loads(done.output)["share_owned_now"]["east"] == 0.0
    shown = json.loads(invoke(main, ["regions", "show", str(c), "--json"]).output)
    assert {one["region"] for one in shown["grants"]} == {"west"}
    over = json.loads(invoke(main, ["regions", "renew", str(c), str(c), "--hand-over", "--json"]).output)
    assert over["next_by"] == "agreed" and over["number"] == shown["number"] + 1
    assert "the agreed log publishes" in invoke(main, ["regions", "renew", str(c), str(c)]).output
    logged = tmp_path / "4.json"
    assert (
        json.loads(
            invoke(
                main, ["regions", "first", str(logged), "--region", "east", "u", "--for-log", "--json"]
            ).output
        )["next_by"]
        == "agreed"
    )
    c.write_text("{}")
    assert "no epoch" in invoke(main, ["regions", "show", str(c)]).output


def test_a_listed_rate_is_shared_between_the_regions(tmp_path: Path) -> None:
    async def work() -> None:
        one = sender(tmp_path, "east", first())
        listed = tmp_path / "east" / "endpoints.yaml"
        listed.write_text(listed.read_text().replace("kind: collectors", "kind: collectors, rate: 100"))
        await one.start()
        rate = one.engine.endpoints["c-a"].rate
        assert 10.0 < rate < 15.0, "a returning region starts with a quarter of its half"
        for _ in range(40):
            await asyncio.sleep(0.1)
            if one.engine.endpoints["c-a"].rate > rate:
                break
        assert rate < one.engine.endpoints["c-a"].rate < 50.0, "the share ramps up"
        one.stop()

    run(work())
