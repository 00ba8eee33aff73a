"""The configuration plan: its edits, its judge on made answers, its guards, and one short run of processes."""

from __future__ import annotations

import json
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner

from brassweir.cli.between import between_command
from brassweir.configstream.catalog import EMPTY
from brassweir.configstream.publish_plan import make_plan
from brassweir.configstream.validation import InvalidChange
from brassweir.lab.between import judge_configuration as judge
from brassweir.lab.between.configuration_run import LONG_CUT, drawn
from brassweir.lab.between.configuration_seen import Shown, View, shown_of
from brassweir.lab.between.edits import Attempt, Drawing, EndpointList
from brassweir.lab.between.guards import GUARDS
from brassweir.lab.between.schedule import Fault

NAMES = ("c1", "s1")


def lists() -> tuple[EndpointList, EndpointList]:
    drawing = Drawing(Random(1))
    first = drawing.first()
    second = next(one for one in (drawing.next(first) for _ in range(20)) if one.good)
    return first, second


FIRST, SECOND = lists()


def shown(
    at: float,
    copy: str,
    version: int,
    listed: EndpointList = FIRST,
    in_force: int | None = None,
    **more: object,
) -> Shown:
    known: dict[str, object] = {"life": 0, "run": 1, "out_of_contact": False, "fleet": None} | more
    told = version if in_force is None else in_force
    return Shown(
        at,
        copy,
        int(str(known["life"])),
        int(str(known["run"])),
        version,
        listed.digest(),
        told,
        bool(known["out_of_contact"]),
        "",
        ("agreed", 1),
        known["fleet"] if isinstance(known["fleet"], View) else None,
    )


def attempt(
    at: float, version: int, listed: EndpointList = FIRST, base: int | None = 0, state: str = "agreed"
) -> Attempt:
    return Attempt(at, "c1", listed.digest(), listed.good, base, at + 0.1, state, version)


def test_edits_are_of_a_seed_and_good_ones_may_be_agreed() -> None:
    drawing, again = Drawing(Random("x")), Drawing(Random("x"))
    known, same = drawing.first(), again.first()
    version, catalog, kinds = 1, EMPTY.apply(known.entries.values(), ()).catalog, set[bool]()
    for _ in range(25):
        listed, twin = drawing.next(known), again.next(same)
        assert listed.text() == twin.text()
        kinds.add(listed.good)
        if listed.good:
            made = make_plan(version, catalog, listed.entries.values(), "a")
            assert made is not None and made.digest == listed.digest()
            catalog, known, same = EMPTY.apply(listed.entries.values(), ()).catalog, listed, twin
        else:
            with pytest.raises(InvalidChange):
                make_plan(version, catalog, listed.entries.values(), "a")
    assert kinds == {True, False}


def test_a_version_is_one_list_that_was_written() -> None:
    known = {FIRST.digest(): FIRST, SECOND.digest(): SECOND}
    good = [shown(1.0, "c1", 5), shown(1.1, "s1", 5), shown(2.0, "c1", 7, SECOND)]
    assert not judge.whole_versions(good, known).broken
    assert "differs" in judge.whole_versions([*good, shown(3.0, "s1", 7)], known).broken[0]
    half = EndpointList(dict(list(SECOND.entries.items())[:-1]))
    assert "no list that was written" in judge.whole_versions([shown(1.0, "c1", 5, half)], known).broken[0]
    bad = EndpointList(half.entries, good=False)
    found = judge.whole_versions([shown(1.0, "c1", 5, bad)], {bad.digest(): bad})
    assert "must not be in force" in found.broken[0]


def test_versions_only_go_forward_but_for_a_start_and_another_folder() -> None:
    good = [shown(1.0, "c1", 5), shown(2.0, "c1", 0, run=2), shown(2.2, "c1", 5, in_force=0, run=2)]
    assert not judge.only_forward([*good, shown(3.0, "c1", 3, life=1, run=3)]).broken
    assert judge.only_forward([*good, shown(3.0, "c1", 3, run=2)]).broken
    assert judge.only_forward([shown(1.0, "c1", 5), shown(2.0, "c1", 6, in_force=4)]).broken
    assert judge.only_forward([shown(1.0, "c1", 5, in_force=6)]).broken


def test_edits_are_as_their_operator_was_told() -> None:
    answers = [shown(1.0, "c1", 5), shown(2.0, "c1", 7, SECOND)]
    good = [attempt(0.5, 5), attempt(1.5, 7, SECOND, 5), attempt(1.6, 0, FIRST, 5, "refused")]
    assert not judge.edits_as_told(good, answers).broken
    assert "another list" in judge.edits_as_told([attempt(0.5, 5, SECOND)], answers).broken[0]
    assert "came between" in judge.edits_as_told([good[0], attempt(1.5, 7, SECOND, 3)], answers).broken[0]
    bad = EndpointList(SECOND.entries, good=False)
    assert "must not be agreed" in judge.edits_as_told([attempt(1.5, 7, bad, 5)], answers).broken[0]


def test_the_newest_version_is_in_force_at_all_in_time() -> None:
    end = [shown(9.0, "c1", 5), shown(9.5, "s1", 5)]
    late = [shown(40.0, "c1", 5), shown(40.0, "s1", 5)]
    assert not judge.in_force_at_all(end, [attempt(1.0, 5)], NAMES, 8.0, 11.0).broken
    assert judge.in_force_at_all(end, [attempt(1.0, 6)], NAMES, 8.0, 11.0).broken, "a told one is lost"
    assert judge.in_force_at_all(late, [attempt(1.0, 5)], NAMES, 8.0, 11.0).broken
    assert judge.in_force_at_all([*end[:1], shown(9.5, "s1", 5, in_force=4)], [], NAMES, 8.0, 11.0).broken


def test_a_leader_counts_nobody_who_has_less() -> None:
    full = View(5, 2, 2, (), ())
    good = [shown(1.0, "s1", 4), shown(3.0, "s1", 5), shown(5.0, "c1", 5, fleet=full)]
    assert not judge.counted_right([*good, shown(6.0, "s1", 5)], NAMES, 1.0).broken
    assert judge.counted_right([*good, shown(6.0, "s1", 5, in_force=4)], NAMES, 1.0).broken
    unheard = shown(7.0, "c1", 5, fleet=View(5, 2, 1, (), ("s1",)))
    assert (
        judge.counted_right([*good, unheard], NAMES, 1.0).broken
        and judge.counted_right([], NAMES, 1.0).broken
    )


def test_who_is_cut_off_for_long_says_so() -> None:
    cut = Fault.model_validate({"at": 1.0, "what": "isolate", "who": "site-a", "for": 15.0})
    sites = {"site-a": ["c1"]}
    silent = [shown(15.0, "c1", 5)]
    assert judge.out_of_contact(silent, [cut], sites, 2.0).broken
    said = [shown(13.0, "c1", 5), shown(15.0, "c1", 5, out_of_contact=True)]
    assert not judge.out_of_contact(said, [cut], sites, 2.0).broken


def test_modules_know_the_list_and_nothing_else() -> None:
    homes = {one.destination for one in FIRST.entries.values()}
    right = {home: FIRST.of(home) for home in homes}
    assert not judge.modules_told({"s1": right}, FIRST, ("s1",)).broken
    assert judge.modules_told({"s1": right | {"hook-0": {"e0"}}}, FIRST, ("s1",)).broken
    assert (
        judge.modules_told({}, FIRST, ("s1",)).broken and judge.modules_told({"s1": right}, None, ()).broken
    )


def test_an_answer_is_read_and_what_is_missing_is_named() -> None:
    fleet = {"newest": 5, "copies": 6, "in_force": 4, "behind": [{"copy": "s1"}], "unheard": ["s2"]}
    tree = {
        "version": 5,
        "digest": "d",
        "in_force": 4,
        "out_of_contact": False,
        "refused": "",
        "fleet": fleet,
    }
    found = shown_of(1.0, "c1", 0, 1, tree | {"edit": {"state": "none", "number": 0}}, {"feeder": "c2"})
    assert found.fleet == View(5, 6, 4, ("s1",), ("s2",)) and found.feeder == "c2"
    with pytest.raises(KeyError, match="edit"):
        shown_of(1.0, "c1", 0, 1, tree, {"feeder": ""})


def test_a_long_run_cuts_a_site_off_for_longer_than_knowledge_is_new() -> None:
    assert drawn(3, 45.0).faults[0].lasts == LONG_CUT > judge.CONTACT
    assert drawn(3, 30.0) == drawn(3, 30.0) and {"version", "switch", "check", "catchup"} <= set(GUARDS)


def test_a_short_run_of_processes_is_clean_and_a_guard_taken_out_is_seen(tmp_path: Path) -> None:
    path = tmp_path / "faults.yaml"
    path.write_text(
        "faults:\n- {at: 1, what: kill, who: s1, for: 1}\n- {at: 2, what: cut, between: [c1, c3], for: 1}\n"
    )
    given = ["--plan", "configuration", "--seed", "1", "--seconds", "16", "--schedule", str(path), "--json"]
    clean = CliRunner().invoke(between_command, given)
    assert clean.exit_code == 0, clean.output[-3000:]
    tree = json.loads(clean.output)
    assert tree["plan"] == "configuration" and tree["properties"]["whole versions"]["versions"] > 2
    seen = CliRunner().invoke(between_command, [*given, "--without", "switch"])
    assert seen.exit_code == 1 and json.loads(seen.output)["properties"]["whole versions"]["broken"] > 0
