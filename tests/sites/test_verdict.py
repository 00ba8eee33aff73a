"""Verdicts of one copy from given outcomes: confirmation, isolation, distrust, and the agreed log."""

from __future__ import annotations

from typing import Any

import pytest

from brassweir.interface import EndpointInfo
from brassweir.sites.agreement import next_agreed_state
from brassweir.sites.evidence import WINDOW_MS
from brassweir.sites.facts import Copy, Facts, LogState, Outcomes, PeerState, Setup, State, Witness
from brassweir.sites.verdict import MAX_DISTRUST, MAX_WAIT_MS, SiteVerdicts

COPIES = tuple(Copy(f"{site}{i}", site) for site in "abc" for i in range(3))
SETUP = Setup(
    COPIES[0],
    COPIES,
    tuple(EndpointInfo(f"{site}-e{i}", i, "", zone=site, rate=100.0) for site in "abc" for i in range(2)),
)


class Bench:
    """Steps one copy's verdicts each quarter second with the given shares of failed calls."""

    def __init__(self) -> None:
        self.verdicts, self.now = SiteVerdicts(SETUP), 0.0

    def run(
        self,
        seconds: float,
        bad: dict[str, float],
        log: dict[str, State] | None = None,
        since: float | None = None,
        lossy: bool = False,
        **facts: object,
    ) -> Bench:
        for _ in range(int(seconds * 4)):
            self.now += 250.0
            outcomes = [
                Outcomes(
                    one.name,
                    2.0 * (1.0 - bad.get(one.zone, 0.0)),
                    0.0 if lossy else 2.0 * bad.get(one.zone, 0.0),
                    2.0 * bad.get(one.zone, 0.0) if lossy else 0.0,
                )
                for one in SETUP.endpoints
            ]
            agreed = LogState(1, self.now if since is None else since, log) if log is not None else None
            self.verdicts.step(self.now, Facts(tuple(outcomes), agreed=agreed, **facts), {})  # type: ignore[arg-type]
        return self

    def until(self, state: State, bad: float) -> None:
        """Run until site b has this state, for at most two minutes."""
        for _ in range(480):
            if self.state("b") is state:
                return
            self.run(0.25, {"b": bad}, WELL)
        raise AssertionError(f"never {state}")

    def state(self, site: str) -> State:
        return self.verdicts.sites[site].state


WELL = dict.fromkeys("abc", State.WELL)


def test_one_site_fails_and_returns() -> None:
    bench = Bench().run(2, {}, WELL).run(1, {"b": 1.0}, WELL)
    assert bench.state("b") is State.SUSPECTED
    assert bench.run(2.5, {"b": 1.0}, WELL).state("b") is State.SUSPECTED, (
        "without confirmation it waits longer"
    )
    assert (
        bench.run(1.5, {"b": 1.0}, WELL).state("b") is State.LOST
        and bench.state("a") is bench.state("c") is State.WELL
    )
    assert bench.run(4, {}, WELL).state("b") is State.RETURNING


@pytest.mark.parametrize(
    "facts",
    [
        {"peers": {"b0": PeerState.DEAD, "b1": PeerState.SUSPECTED}},
        {"witnesses": (Witness("c1", "b", State.SUSPECTED, 100.0),)},
    ],
)
def test_silence_or_a_witness_of_a_third_site_confirms_a_loss(facts: dict[str, Any]) -> None:
    assert Bench().run(2, {}, WELL).run(2.5, {"b": 1.0}, WELL, **facts).state("b") is State.LOST


@pytest.mark.parametrize(
    "witness",
    [
        Witness("a1", "b", State.LOST, 100.0),
        Witness("b1", "b", State.LOST, 100.0),
        Witness("c1", "b", State.LOST, 9000.0),
        Witness("x9", "b", State.LOST, 100.0),
    ],
)
def test_a_witness_of_the_same_site_or_an_old_or_unlisted_one_does_not(witness: Witness) -> None:
    assert (
        Bench().run(2, {}, WELL).run(2.5, {"b": 1.0}, WELL, witnesses=(witness,)).state("b")
        is State.SUSPECTED
    )


def test_silent_copies_with_serving_endpoints_are_no_loss() -> None:
    assert (
        Bench().run(20, {}, WELL, peers={f"b{i}": PeerState.DEAD for i in range(3)}).state("b") is State.WELL
    )


def test_a_general_slowdown_and_a_stall_of_this_copy_are_no_loss() -> None:
    assert all(
        Bench().run(10, {"a": 0.7, "b": 0.6, "c": 0.8}, WELL).state(site) is not State.LOST for site in "abc"
    )
    assert Bench().run(2, {}, WELL).run(6, {"b": 1.0}, WELL, late=True).state("b") is not State.LOST


def test_lost_answers_are_suspicious_and_many_of_them_are_a_loss() -> None:
    assert Bench().run(6, {"b": 0.3}, WELL, lossy=True).state("b") is State.SUSPECTED
    assert Bench().run(8, {"b": 0.8}, WELL, lossy=True).state("b") is State.LOST


def test_a_copy_that_sees_all_others_fail_at_once_is_cut_off_unless_the_log_answers() -> None:
    gone = {"b": 1.0, "c": 1.0}
    cut = Bench().run(2, {}, WELL).run(12, gone, WELL, since=1900.0)
    assert (
        cut.verdicts.cut_off
        and State.LOST not in {cut.state("b"), cut.state("c")}
        and cut.verdicts.own_report("b") is None
    )
    assert Bench().run(2, {}, WELL).run(12, gone, WELL).state("b") is State.LOST, (
        "the log answers: two sites are lost"
    )
    one = Bench().run(2, {}).run(8, {"c": 1.0})
    assert not one.verdicts.cut_off and one.state("c") is State.LOST, "without the log it decides alone"
    assert one.run(12, gone).state("b") is not State.LOST, (
        "the last other site: the copy may be cut off itself"
    )


def test_the_logs_state_counts_within_its_lease_and_the_worse_of_both_is_acted_on() -> None:
    lost = {**WELL, "b": State.LOST}
    bench = Bench().run(2, {}, WELL).run(1, {}, lost)
    assert bench.state("b") is State.LOST and bench.verdicts.own_report("b") is None, (
        "others' state is not reported as its own"
    )
    assert Bench().run(2, {}, WELL).run(6, {}, lost, since=-9000.0).state("b") is State.WELL, (
        "an expired answer has no effect"
    )
    assert Bench().run(2, {}, WELL).run(8, {"b": 1.0}, WELL).state("b") is State.LOST, (
        "the log says well because it is behind"
    )


def test_distrust_grows_to_a_maximum_and_decays() -> None:
    bench, waits, confirms = Bench().run(1, {}, WELL), [], []
    for _ in range(7):
        start = bench.now
        bench.until(State.LOST, 1.0)
        lost = bench.now
        confirms.append(lost - start)
        bench.until(State.RETURNING, 0.0)
        waits.append(bench.now - lost)
        bench.run(2, {}, WELL)
    assert (
        waits[1:5] == sorted(waits[1:5])
        and waits[4] > 2 * waits[1]
        and waits[-1] <= MAX_WAIT_MS + 2 * WINDOW_MS
    )
    assert confirms[-1] < confirms[0]
    assert MAX_DISTRUST * 0.8 < bench.verdicts.distrust(bench.now, "b") <= MAX_DISTRUST
    assert bench.verdicts.distrust(bench.now + 3_600_000.0, "b") < 0.01


def test_the_agreed_state_needs_votes_of_sites() -> None:
    def reports(**states: State) -> dict[str, State]:
        return {copy.name: states[copy.site] for copy in COPIES if copy.site in states}

    lost, well, back = State.LOST, State.WELL, State.RETURNING
    assert next_agreed_state(well, "b", reports(a=lost, c=lost), COPIES) is lost
    assert next_agreed_state(well, "b", reports(a=lost, b=well, c=lost), COPIES) is lost, (
        "its own copies may be cut off together with it"
    )
    assert next_agreed_state(well, "b", reports(a=lost, b=well, c=well), COPIES) is well, (
        "only one site's path to it is down"
    )
    assert next_agreed_state(well, "b", {"a0": lost, "a1": well, "a2": well, "c0": lost}, COPIES) is well, (
        "one copy of site a is no majority of it"
    )
    assert (
        next_agreed_state(lost, "b", reports(a=back, c=lost), COPIES) is lost
        and next_agreed_state(lost, "b", reports(a=back), COPIES) is back
    )
    assert (
        next_agreed_state(back, "b", reports(a=well, c=back), COPIES) is back
        and next_agreed_state(back, "b", reports(a=well, c=well), COPIES) is well
    )
    assert (
        next_agreed_state(back, "b", reports(a=lost, c=lost), COPIES) is lost
        and next_agreed_state(lost, "b", {}, COPIES) is lost
    )


def test_invalid_settings_name_the_field() -> None:
    for field, value in (
        ("cold", -1.0),
        ("start_capacity", 0.0),
        ("spill", 1.5),
        ("copies", (*COPIES, COPIES[0])),
        ("own", Copy("x", "a")),
    ):
        given = {"own": COPIES[0], "copies": COPIES, "endpoints": SETUP.endpoints, field: value}
        with pytest.raises(ValueError, match=field):
            Setup(**given)  # type: ignore[arg-type]
