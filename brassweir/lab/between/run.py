"""One run from its seed to its verdict: plays the day, then judges tapes, folders and answers."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from brassweir.lab.between import judge_effects, judge_live, judge_log, judge_traffic
from brassweir.lab.between.asking import told_of
from brassweir.lab.between.day import PATIENCE, day
from brassweir.lab.between.draw import draw
from brassweir.lab.between.folders import read_folder
from brassweir.lab.between.rig import CLOCK_ERROR, Rig
from brassweir.lab.between.schedule import Schedule, to_text
from brassweir.lab.between.seen import Away, Finding
from brassweir.lab.between.sites import stands
from brassweir.lab.judges.checker import judge
from brassweir.lab.judges.verdict import Figures, Verdict
from brassweir.lab.rigs.play import figures_of, play
from brassweir.lab.rigs.script import Day

ALIVE_WITHIN = 8.0  # s after the last fault until all take all for alive
LEADER_WITHIN = 8.0  # s until most know one: restarts 1, asking who remembers 5, elections 2 to 4
LAG = 4.0  # s that a copy may be behind: those that follow ask every 2 s
SLACK = 4.0  # s in which a view may still show what a fault that is over had brought about
QUIET = 5.0  # s after the last fault before talk counts as idle


@dataclass(frozen=True, slots=True)
class Plan:
    """What to run. ``schedule`` is drawn from the seed if there is none."""

    seed: int = 1
    seconds: float = 30.0
    copies: int = 6
    rate: float = 10.0  # messages a second from all clients
    schedule: Schedule | None = None
    without: str = ""  # a guard that is taken out of every copy


@dataclass(slots=True)
class Outcome:
    """What a run came to."""

    plan: Plan
    schedule: Schedule
    findings: dict[str, Finding]
    more: dict[str, Any] = field(default_factory=dict)

    @property
    def clean(self) -> bool:
        """Is no property broken?"""
        return not any(one.broken for one in self.findings.values())

    def tree(self) -> dict[str, Any]:
        """For JSON."""
        return {
            "plan": "peers",
            "seed": self.plan.seed,
            "seconds": self.plan.seconds,
            "copies": self.plan.copies,
            "clean": self.clean,
            "properties": {name: one.tree() for name, one in self.findings.items()},
            **self.more,
        }


async def run(plan: Plan, folder: Path, say: Callable[[str], None] = lambda _: None) -> Outcome:
    """Play and judge one run in ``folder``."""
    where = stands(plan.copies)
    schedule = plan.schedule
    if schedule is None:
        schedule = draw(plan.seed, plan.seconds, where, CLOCK_ERROR)
    played = day(plan.seed, plan.seconds, plan.rate, [one.region for one in where])
    rig = Rig(folder, played.plan, plan.seed, where, schedule, read_folder, told_of, plan.without)
    (folder / "schedule.yaml").write_text(to_text(schedule), encoding="utf-8")
    began = time.monotonic()
    report = await play(played, plan.seed, folder, say, rig)
    rig.relay.tape.write(folder / "relay.tape")
    for name, rows in (("told", rig.told), ("seen", rig.tape.seen)):
        (folder / f"{name}.jsonl").write_bytes(b"\n".join(msgspec.json.encode(one) for one in rows))
    outcome = Outcome(plan, schedule, findings(rig, played))
    drains = [one for one in report.drains if one["exit"] != 0]
    ends = outcome.findings["ends"]
    ends.broken += [f"{one['sender']}: exit {one['exit']} after {one['seconds']} s" for one in drains]
    outcome.more = {
        "took_s": round(time.monotonic() - began, 1),
        "messages": report.messages,
        "datagrams": judge_traffic.fates(rig.relay.tape.seen),
        "faults": [
            one.model_dump(by_alias=True, exclude_defaults=True, mode="json")
            for one in (rig.faults.done if rig.faults is not None else ())
        ],
    }
    return outcome


def findings(rig: Rig, played: Day) -> dict[str, Finding]:
    """Every property of one run that is over."""
    assert rig.faults is not None and rig.keeper is not None
    faults, folders, told = rig.faults, rig.keeper.folders, rig.told
    names = [one.name for one in rig.stands if one.name not in faults.replaced]  # there at the end
    setting_up = [Away(name, -60.0, 0.0) for name in names]
    classes = figures_of(played)
    last, end = faults.over, rig.ended - rig.start
    verdict = judge(judge_effects.own_answers(rig.tape), classes, Figures(answer=PATIENCE + 2.0, again=2))
    excused = judge_effects.excuse(verdict, rig.tape, faults.away, rig.start, PATIENCE)
    made = {f"rule {rule}": _of_rule(verdict, rule) for rule in range(1, 7)}
    made["rule 1"].figures["excused"] = excused
    made |= {
        "same entries": judge_log.same(folders, told),
        "same state": judge_log.same_state(told),
        "none lost once told": judge_log.kept(folders, told, rig.voters),
        "never back": judge_log.never_back(folders, told),
        "one leader a term": judge_log.one_leader(told),
        "one region for a message": judge_effects.one_region(
            rig.tape, classes, {one.name: one.region for one in rig.stands}
        ),
        "voters as wanted": judge_live.voters_as_wanted(told, names, rig.voters),
        "together again": judge_live.together_again(told, names, last, ALIVE_WITHIN),
        "leads again": judge_live.leads_again(told, names, last, LEADER_WITHIN),
        "caught up": judge_live.caught_up(told, names, LAG),
        "no false death": judge_live.no_false_death(told, [*faults.away, *setting_up], faults.cuts(), SLACK),
        "idle talk": judge_traffic.traffic(
            rig.relay.tape, last + QUIET, end, gone=faults.replaced.keys() | set(rig.spares)
        ),
        "ends": Finding(len(names), list(faults.problems)),
        "folders read": Finding(
            len(folders),
            [
                *rig.keeper.unread,
                *(
                    f"{name}: its folder was never read"
                    for name in names
                    if not any(one.copy == name for one in folders)
                ),
            ],
        ),
    }
    return made


def _of_rule(verdict: Verdict, rule: int) -> Finding:
    return Finding(verdict.tested[rule], verdict.broken[rule])
