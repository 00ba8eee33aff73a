"""Three senders as processes on loopback: they form a group, agree epochs, and survive drains and kills."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from brassweir.regions import planning
from brassweir.regions.epochs import parse
from brassweir.regions.ownership import Assumptions
from tests.config.test_forward import VALID_SETTINGS, write_settings
from tests.service.processes import WAIT_SECONDS, Processes

NAMES = ("s1", "s2", "s3")


class Fleet(Processes):
    """Three senders, each in a directory of its own."""

    def __init__(self, home: Path) -> None:
        super().__init__(home, {name: (f"x{name[1]}", f"r{name[1]}") for name in NAMES})
        first = msgspec.structs.replace(
            planning.first_epoch(
                {"r1": "http://r1", "r2": "http://r2", "r3": "http://r3"}, time.time() * 1000.0, 6_000.0
            ),
            turn=1,
        )
        for name in NAMES:
            write_settings(
                home / name,
                VALID_SETTINGS.replace(
                    "name: s1,", f"name: {name}, metrics: '127.0.0.1:{self.metrics[name]}',"
                )
                + (
                    f"region: {{name: r{name[1]}, source: agreed}}\npeers: {{copies: copies.yaml, keys: [peers.key]}}\n"
                    "agreed: {voters: [s1, s2, s3], lease_ms: 6000, first_epoch: first.json}\n"
                ),
            )
            (home / name / "first.json").write_bytes(msgspec.json.encode(first))


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    processes = Fleet(tmp_path)
    yield processes
    processes.kill_all()


def number(state: dict[str, Any]) -> int:
    return int((state.get("epoch") or {}).get("number", 0))


def test_three_processes_form_a_group_and_an_epoch_reaches_all(fleet: Fleet) -> None:
    for name in NAMES:
        fleet.start(name)
    fleet.until(lambda: fleet.all_agree(lambda state: state.get("leader")), "a leader that all know")
    fleet.until(lambda: fleet.all_agree(number), "the first epoch at all")
    fleet.until(lambda: fleet.all_agree(lambda state: len(state.get("members", ())) == 3), "all are members")
    epoch_file = fleet.home / "s2" / "s2.epoch"
    issued = parse(epoch_file.read_bytes()).issued
    fleet.until(lambda: parse(epoch_file.read_bytes()).issued > issued, "a renewal is kept")

    # A planned move, proposed by a copy that may not be the leader.
    move = planning.moved(
        parse(epoch_file.read_bytes()),
        0,
        1 << 30,
        "r3",
        time.time() * 1000.0,
        6_000.0,
        Assumptions(500.0, 8_000.0, 3_600_000.0),
    )
    (fleet.home / "s2" / "first.json").write_bytes(msgspec.json.encode(move.epoch))
    fleet.running["s2"].send_signal(signal.SIGHUP)
    fleet.until(lambda: fleet.all_agree(lambda state: number(state) == 2), "the move at all")
    assert '"wish_agreed"' in fleet.log("s2") and all(
        parse((fleet.home / name / f"{name}.epoch").read_bytes()).number == 2 for name in NAMES
    )

    # A bad copies' file changes nothing.
    (fleet.home / "s3" / "copies.yaml").write_text("copies: []\n")
    fleet.running["s3"].send_signal(signal.SIGHUP)
    fleet.until(lambda: "peers_refused" in fleet.log("s3"), "a bad file is logged")

    # The leader is drained: another copy leads and renews the leases.
    leader = str(fleet.state("s1", "/agreed")["leader"])
    others = tuple(name for name in NAMES if name != leader)
    fleet.running[leader].terminate()
    assert fleet.running[leader].wait(WAIT_SECONDS) == 0
    fleet.until(
        lambda: fleet.all_agree(
            lambda state: state.get("leader") not in ("", leader, None) and state.get("leader"), others
        ),
        "another leader",
    )
    issued = parse((fleet.home / others[0] / f"{others[0]}.epoch").read_bytes()).issued
    fleet.until(
        lambda: parse((fleet.home / others[0] / f"{others[0]}.epoch").read_bytes()).issued > issued,
        "the new leader renews",
    )

    # Another copy is killed; after both restart, all hold the same state.
    fleet.running[others[1]].kill()
    fleet.running[others[1]].wait()
    (fleet.home / "s3" / "copies.yaml").write_bytes((fleet.home / "s1" / "copies.yaml").read_bytes())
    for name in (leader, others[1]):
        fleet.start(name)
    fleet.until(
        lambda: fleet.all_agree(lambda state: (state.get("index"), state.get("digest")) if state else None),
        "the same state at all",
    )
    text = fleet.state("s1", "/metrics").decode()
    assert 'brassweir_agreed{what="applied"}' in text and "brassweir_peers{" in text
    assert set(fleet.state("s1", "/peers")) and fleet.log("s1").count("renewal_refused") == 0


def test_a_port_that_is_taken_is_one_clear_error_and_an_end(fleet: Fleet) -> None:
    listed = (fleet.home / "s1" / "copies.yaml").read_text().splitlines()[1]
    port = int(listed.rsplit(":", 1)[1].rstrip("'}"))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", port))
        fleet.start("s1")
        assert fleet.running["s1"].wait(WAIT_SECONDS) == 1
    last = fleet.log("s1").splitlines()[-1]
    assert "cannot listen" in last and "peers.copies" in last and str(port) in last
