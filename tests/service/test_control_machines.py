"""Control machines as processes: they form the group, lead it, renew leases, and deliver nothing."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from brassweir.regions import planning
from brassweir.regions.epochs import parse
from tests.config.test_forward import VALID_SETTINGS, write_settings
from tests.service.processes import WAIT_SECONDS, Processes

AGREED = "agreed: {voters: [c1, c2, c3], lease_ms: 6000, first_epoch: first.json}\n"
PEERS = "peers: {copies: copies.yaml, keys: [peers.key]}\n"


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Processes]:
    processes = Processes(tmp_path, {name: (f"x{name}", "r1") for name in ("c1", "c2", "c3", "s1")})
    epoch = planning.first_epoch({"r1": "http://r1"}, time.time() * 1000.0, 6_000.0)
    first = msgspec.json.encode(msgspec.structs.replace(epoch, turn=1))
    for name in ("c1", "c2", "c3"):
        processes.settings(name).write_text(
            f"sender: {{name: {name}, metrics: '127.0.0.1:{processes.metrics[name]}'}}\n{PEERS}{AGREED}"
            "region: {name: r1, source: agreed, longest_deadline_ms: 8000}\n"
        )
    text = VALID_SETTINGS.replace("name: s1,", f"name: s1, metrics: '127.0.0.1:{processes.metrics['s1']}',")
    write_settings(tmp_path / "s1", f"{text}{PEERS}{AGREED}region: {{name: r1, source: agreed}}\n")
    for name in processes.names:
        (tmp_path / name / "first.json").write_bytes(first)
    yield processes
    processes.kill_all()


def test_three_control_machines_lead_a_sender_that_does_not_vote(fleet: Processes) -> None:
    checked = subprocess.run(
        [sys.executable, "-m", "brassweir", "check", str(fleet.settings("c1"))], capture_output=True
    )
    assert checked.returncode == 0, checked.stdout
    for name in fleet.names:
        fleet.start(name)
    fleet.until(lambda: fleet.all_agree(lambda state: state.get("leader")), "a leader that all know")
    fleet.until(lambda: fleet.all_agree(lambda state: len(state.get("members", ())) == 4), "all are members")
    assert fleet.state("s1", "/agreed")["leader"] in ("c1", "c2", "c3")
    epoch_file = fleet.home / "s1" / "s1.epoch"
    fleet.until(epoch_file.exists, "the first epoch reaches the sender")
    issued = parse(epoch_file.read_bytes()).issued
    fleet.until(lambda: parse(epoch_file.read_bytes()).issued > issued, "a control machine renews the lease")
    assert b"brassweir_agreed{" in fleet.state("c1", "/metrics") and fleet.state("c1", "/peers")["copies"]

    leader = str(fleet.state("s1", "/agreed")["leader"])
    fleet.running[leader].terminate()
    assert fleet.running[leader].wait(WAIT_SECONDS) == 0 and '"stopped"' in fleet.log(leader)
    others = tuple(name for name in fleet.names if name != leader)
    fleet.until(
        lambda: fleet.all_agree(
            lambda state: state.get("leader") not in ("", leader, None) and state.get("leader"), others
        ),
        "another leader",
    )
