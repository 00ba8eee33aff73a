"""The endpoint configuration between processes: two control machines and two senders on loopback."""

from __future__ import annotations

import json
import shutil
import signal
import urllib.error
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.config.test_forward import VALID_SETTINGS, write_settings
from tests.service.processes import WAIT_SECONDS, Processes

NAMES = ("c1", "c2", "s1", "s2")
SENDERS = ("s1", "s2")
ENDS = ("configuration_agreed", "configuration_unchanged", "configuration_refused")
PEERS = "peers: {copies: copies.yaml, keys: [peers.key]}\n"


class Fleet(Processes):
    """Two control machines and two senders; the operator edits at c1, and c1, c2 and s1 vote."""

    def __init__(self, home: Path) -> None:
        super().__init__(home, {name: (f"x{name}", "r1") for name in NAMES})
        self.ended_before = 0
        self.list = home / "c1" / "list.yaml"
        for name in NAMES:
            edits = "{list: list.yaml}" if name.startswith("c") else "{}"
            shared = f"{PEERS}agreed: {{voters: [c1, c2, s1], configuration: {edits}}}\n"
            metrics = f"metrics: '127.0.0.1:{self.metrics[name]}'"
            if name in SENDERS:
                text = VALID_SETTINGS.replace("name: s1,", f"name: {name}, {metrics},")
                write_settings(
                    home / name, text.replace("endpoints: endpoints.yaml", "endpoints: agreed") + shared
                )
            else:
                self.settings(name).write_text(f"sender: {{name: {name}, {metrics}}}\n{shared}")
                (home / name / "list.yaml").write_text(endpoints("a"))

    def configuration(self, name: str) -> dict[str, Any]:
        """Return the state that a copy shows at ``/configuration``."""
        found = self.state(name, "/configuration")
        return found if isinstance(found, dict) else {}

    def publish(self, text: str, at: str = "c1") -> None:
        """Write the edited list and send SIGHUP."""
        self.ended_before = len(self.events(at, *ENDS))
        (self.home / at / "list.yaml").write_text(text)
        self.running[at].send_signal(signal.SIGHUP)

    def edit(self, at: str = "c1") -> dict[str, Any]:
        """Return the last edit and how it ended."""
        found = self.configuration(at).get("edit", {})
        return found if isinstance(found, dict) else {}

    def wait_edit(self, state: str, at: str = "c1") -> dict[str, Any]:
        """Wait until the last edit has ended, and check its state."""
        self.until(lambda: len(self.events(at, *ENDS)) > self.ended_before, f"an edit's end at {at}")
        edit = self.edit(at)
        assert edit["state"] == state, edit
        return edit

    def wait_in_force(self, version: int, names: tuple[str, ...] = NAMES) -> None:
        """Wait until a version is in force at the copies named."""
        self.until(
            lambda: all(self.configuration(name).get("in_force") == version for name in names),
            f"version {version} in force at {names}",
            "/configuration",
        )

    def known_endpoints(self, name: str) -> list[str]:
        """Return the endpoints that a sender's decision module knows, with their states while they are resident."""
        found = self.state(name, "/destinations/hook-x")["endpoints"]
        return sorted(one if isinstance(one, str) else f"{one['name']} {one['state']}" for one in found)

    def versions_applied(self, name: str) -> list[dict[str, Any]]:
        """Return a sender's log events of the versions that it applied."""
        return self.events(name, "configuration_taken")

    def events(self, name: str, *events: str) -> list[dict[str, Any]]:
        """Return a copy's log events of these names."""
        lines = [json.loads(line) for line in self.log(name).splitlines() if line.startswith("{")]
        return [line for line in lines if line.get("event") in events]

    def fleet_view(self) -> dict[str, Any]:
        """Return the fleet's state as the leader shows it."""
        for name in NAMES:
            found = self.configuration(name).get("fleet")
            if isinstance(found, dict):
                return found
        return {}


def endpoints(*names: str, state: str = "ready") -> str:
    """Return a list of one destination's endpoints in YAML."""
    return "endpoints:\n" + "".join(
        f"  - {{name: {name}, url: 'forward://127.0.0.1:9', destination: hook-x, kind: collectors, state: {state}}}\n"
        for name in names
    )


def test_a_sender_that_waits_for_its_first_list_can_be_stopped(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)
    try:
        fleet.start("s1")
        fleet.until(lambda: bool(fleet.configuration("s1")), "it takes part", "/configuration")
        with pytest.raises(urllib.error.HTTPError) as caught:
            urllib.request.urlopen(f"http://127.0.0.1:{fleet.metrics['s1']}/healthz", timeout=5.0)
        assert caught.value.code == 503 and caught.value.read() == b"starting\n"
        fleet.running["s1"].terminate()
        assert fleet.running["s1"].wait(WAIT_SECONDS) == 0 and '"stopped"' in fleet.log("s1")
    finally:
        fleet.kill_all()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path)
    for name in NAMES:
        made.start(name)
    made.until(lambda: made.all_agree(lambda state: state.get("level") == 2), "level 2 is agreed at all")
    yield made
    made.kill_all()


def test_a_change_at_one_copy_is_in_force_at_all_and_bad_ones_change_nothing(fleet: Fleet) -> None:
    assert "configuration_taken" not in fleet.log("s1") and '"started"' not in fleet.log("s1"), (
        "a sender accepts no messages before it has a list"
    )
    fleet.publish(endpoints("a", "b", "c"))
    first = int(fleet.wait_edit("agreed")["version"])
    fleet.wait_in_force(first)
    fleet.until(lambda: '"started"' in fleet.log("s1") and '"started"' in fleet.log("s2"), "senders start")
    fleet.until(
        lambda: fleet.fleet_view().get("in_force") == 4 and fleet.fleet_view()["newest"] == first,
        "the leader knows it of all",
        "/configuration",
    )
    assert fleet.fleet_view()["behind"] == [] and fleet.fleet_view()["unheard"] == []
    digests = {fleet.configuration(name)["digest"] for name in NAMES}
    assert len(digests) == 1 and fleet.configuration("s2")["endpoints"] == 3
    assert fleet.known_endpoints("s2") == ["a", "b", "c"]
    assert f'brassweir_configuration{{what="in_force"}} {first}'.encode() in fleet.state("s2", "/metrics")

    # An unknown field, and an unconfirmed change that leaves a destination without endpoints.
    fleet.publish(endpoints("a", "b").replace("name: b", "name: b, colour: red"))
    refused = fleet.wait_edit("refused")
    assert f"{fleet.list}:3: endpoints[1].colour: is no known field" in refused["why"]
    fleet.publish(endpoints("a", "b", "c").replace("destination: hook-x", "destination: hook-y"))
    refused = fleet.wait_edit("refused")
    assert refused["field"] == "destinations" and "hook-x" in refused["why"], "the change was not confirmed"
    assert all(fleet.configuration(name)["in_force"] == first for name in NAMES)

    # A drain, and a removal that the settings confirm.
    text = fleet.settings("c1").read_text()
    fleet.settings("c1").write_text(text.replace("list.yaml}", "list.yaml, confirm_removed: 1}"))
    fleet.publish(endpoints("a") + endpoints("c", state="draining").partition("\n")[2])
    second = int(fleet.wait_edit("agreed")["version"])
    assert second > first
    fleet.wait_in_force(second)
    last = fleet.versions_applied("s1")[-1]
    assert (last["changed"], last["removed"], last["first_off"]) == (1, 1, 2), (
        "a drain and a removal are applied first"
    )


def test_of_two_edits_from_one_version_the_second_is_refused(fleet: Fleet) -> None:
    fleet.publish(endpoints("a", "b"))
    first = int(fleet.wait_edit("agreed")["version"])
    fleet.wait_in_force(first)
    fleet.publish(endpoints("a", "b"), "c2")
    assert fleet.wait_edit("unchanged", "c2")["version"] == first
    fleet.publish(endpoints("a", "b", "c"), "c2")
    second = int(fleet.wait_edit("agreed", "c2")["version"])
    fleet.wait_in_force(second)
    fleet.publish(endpoints("a", "b", "d"))
    refused = fleet.wait_edit("refused")
    assert refused["field"] == "after" and f"version {second} by c2" in refused["why"]
    written = (fleet.home / "c1" / "list.in-force.jsonl").read_text()
    assert [line.split('"')[3] for line in written.splitlines()] == ["a", "b", "c"]
    fleet.publish(endpoints("a", "b", "c", "d"))
    fleet.wait_in_force(int(fleet.wait_edit("agreed")["version"]))


def test_a_copy_comes_back_with_its_folder_and_without(fleet: Fleet) -> None:
    fleet.publish(endpoints("a", "b"))
    first = int(fleet.wait_edit("agreed")["version"])
    fleet.wait_in_force(first)
    for name in ("s2", "c2"):
        fleet.kill(name)
    (fleet.home / "c2" / "list.yaml").write_text("half an edit: [")  # does not prevent a start
    fleet.publish(endpoints("a", "b", "c"))
    second = int(fleet.wait_edit("agreed")["version"])
    fleet.wait_in_force(second, ("c1", "s1"))
    shutil.rmtree(fleet.home / "c2" / "c2.agreed")
    for name in ("s2", "c2"):
        fleet.start(name)
    fleet.wait_in_force(second)
    versions = [one["version"] for one in fleet.versions_applied("s2")]
    assert versions[:2] == [first, first] and versions[-1] == second, "read from its directory at once"

    # Without a quorum, the stored version stays in force, and the copy reports that it is out of contact.
    for name in ("c1", "c2", "s1"):
        fleet.running[name].terminate()
    for name in ("c1", "c2", "s1"):
        assert fleet.running[name].wait(WAIT_SECONDS) == 0
    fleet.kill("s2")
    fleet.start("s2")
    fleet.wait_in_force(second, ("s2",))
    assert fleet.configuration("s2")["out_of_contact"] is True
    assert fleet.known_endpoints("s2") == ["a", "b", "c"]


def test_with_two_of_three_voters_gone_the_last_version_stays_and_an_edit_waits(fleet: Fleet) -> None:
    fleet.publish(endpoints("a", "b"))
    first = int(fleet.wait_edit("agreed")["version"])
    fleet.wait_in_force(first)
    for name in ("c2", "s1"):
        fleet.kill(name)
    fleet.publish(endpoints("a", "b", "c"))
    fleet.until(
        lambda: all(fleet.configuration(name).get("out_of_contact") is True for name in ("c1", "s2")),
        "the remaining copies are out of contact",
        "/configuration",
    )
    assert len(fleet.events("c1", *ENDS)) == fleet.ended_before, "an edit does not end without a quorum"
    assert fleet.configuration("s2")["in_force"] == first
    assert [one.partition(" ")[0] for one in fleet.known_endpoints("s2")] == ["a", "b"]
    fleet.start("c2")
    second = int(fleet.wait_edit("agreed")["version"])
    assert second > first
    fleet.wait_in_force(second, ("c1", "c2", "s2"))
    fleet.until(lambda: fleet.configuration("s2")["out_of_contact"] is False, "in contact again")
    assert [one.partition(" ")[0] for one in fleet.known_endpoints("s2")] == ["a", "b", "c"]
