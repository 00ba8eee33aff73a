"""One run of the configuration plan: edits and faults from a seed, then judged from outside."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from brassweir.lab.between import judge_configuration as judge
from brassweir.lab.between import judge_live, judge_log, judge_traffic
from brassweir.lab.between.configuration_rig import EDITORS, SENDERS, STANDS, ConfigurationRig
from brassweir.lab.between.draw import CALM, QUIET, draw
from brassweir.lab.between.operator import Operator
from brassweir.lab.between.rig import CLOCK_ERROR, LONGER
from brassweir.lab.between.run import LAG, LEADER_WITHIN, Outcome, Plan
from brassweir.lab.between.schedule import Fault, Schedule, to_text
from brassweir.lab.between.seen import Finding

IN_FORCE_WITHIN = 11.0  # s after the last fault and the last edit
REST = 12.0  # s after the last fault in which copies come together, and then are quiet
READY_WITHIN = 40.0  # s until all have the first list, on a busy machine
COUNTED_SLACK = 1.0  # s that answers may be older than they seem
CONTACT_SLACK = 2.0  # s: words that were on their way as a cut began
LONG_CUT = 15.0  # s that a site is cut off for once, in a run that is long enough
LONG_RUN = 40.0


async def run(plan: Plan, folder: Path, say: Callable[[str], None] = lambda _: None) -> Outcome:
    """Play and judge one run in ``folder``."""
    schedule = plan.schedule if plan.schedule is not None else drawn(plan.seed, plan.seconds)
    (folder / "schedule.yaml").write_text(to_text(schedule), encoding="utf-8")
    began = time.monotonic()
    rig = ConfigurationRig(folder, plan.seed, schedule, plan.without)
    operator = Operator(rig, EDITORS, plan.seed)
    try:
        await rig.set_up(operator.known.text())
        say("six copies run")
        async with asyncio.timeout(READY_WITHIN):
            await operator.bring_in()
        say("the first list is in force")
        rig.begin()
        await operator.work(plan.seconds - CALM)
        await asyncio.wait(rig.tasks[-1:], timeout=LONGER)  # the faults
        await asyncio.sleep(max(0.0, rig.faults.over + REST - rig.now()))
        await rig.ask_modules()
    finally:
        await rig.stop()
    rig.relay.tape.write(folder / "relay.tape")
    for name, rows in (("told", rig.told), ("shown", rig.shown), ("attempts", operator.attempts)):
        (folder / f"{name}.jsonl").write_bytes(b"\n".join(msgspec.json.encode(one) for one in rows))
    outcome = Outcome(plan, schedule, findings(rig, operator))
    outcome.more = {
        "plan": "configuration",
        "took_s": round(time.monotonic() - began, 1),
        "datagrams": judge_traffic.fates(rig.relay.tape.seen),
        "faults": [
            one.model_dump(by_alias=True, exclude_defaults=True, mode="json") for one in rig.faults.done
        ],
    }
    return outcome


def drawn(seed: int, seconds: float) -> Schedule:
    """The schedule of a seed; in a long run one site is cut off for longer than knowledge is fresh."""
    schedule = draw(seed, seconds, STANDS, CLOCK_ERROR)
    if seconds < LONG_RUN:
        return schedule
    site = sorted({one.site for one in STANDS})[seed % 3]
    long_cut = Fault.model_validate({"at": QUIET, "what": "isolate", "who": site, "for": LONG_CUT})
    return Schedule(faults=(long_cut, *schedule.faults))


def findings(rig: ConfigurationRig, operator: Operator) -> dict[str, Finding]:
    """Every property of one run that is over."""
    names = [one.name for one in STANDS]
    voters = [one.name for one in STANDS if one.voter]
    told, shown, folders, attempts = rig.told, rig.shown, rig.keeper.folders, operator.attempts
    last = rig.faults.over
    newest = max(shown, key=lambda one: one.version, default=None)
    at_site = {site: [one.name for one in STANDS if one.site == site] for site in {s.site for s in STANDS}}
    cuts = [one for one in rig.faults.done if one.what == "isolate"]
    ends = [f"{name}: exit {code}" for name, code in rig.exits.items() if code != 0]
    return {
        "whole versions": judge.whole_versions(shown, operator.lists),
        "only forward": judge.only_forward(shown),
        "edits as told": judge.edits_as_told(attempts, shown),
        "in force at all": judge.in_force_at_all(shown, attempts, names, last, IN_FORCE_WITHIN),
        "counted right": judge.counted_right(shown, names, COUNTED_SLACK),
        "out of contact": judge.out_of_contact(shown, cuts, at_site, CONTACT_SLACK),
        "modules told": judge.modules_told(
            rig.modules, operator.lists.get(newest.digest) if newest else None, SENDERS
        ),
        "same entries": judge_log.same(folders, told),
        "same state": judge_log.same_state(told),
        "none lost once told": judge_log.kept(folders, told, voters),
        "never back": judge_log.never_back(folders, told),
        "one leader a term": judge_log.one_leader(told),
        "leads again": judge_live.leads_again(told, voters, last, LEADER_WITHIN),
        "caught up": judge_live.caught_up(told, names, LAG),
        "ends": Finding(len(names), [*rig.faults.problems, *ends]),
        "folders read": Finding(len(folders), list(rig.keeper.unread)),
    }
