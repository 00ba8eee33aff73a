"""Schedules of faults: what goes wrong when, where and for how long; read from YAML and written as YAML."""

from __future__ import annotations

from collections.abc import Sequence
from io import StringIO
from pathlib import Path
from typing import Annotated, Literal, Self

from pydantic import Field, model_validator
from ruamel.yaml import YAML

from brassweir.config.load import ConfigError, load, parse
from brassweir.config.model import Strict
from brassweir.lab.between.sites import Stand

Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,30}$")]
Seconds = Annotated[float, Field(ge=0, le=600, allow_inf_nan=False)]
Share = Annotated[float, Field(ge=0, le=1)]

PAIRS = ("cut", "oneway")  # need ``between``
ONE = ("isolate", "stall", "kill", "lose", "restore", "full", "clock", "move", "replace")  # need ``who``
WHOLE = ("weather", "restart_all", "rolling")  # take neither, but weather may have ``between``
TO_PROCESS = ("stall", "kill", "lose", "restore", "full", "clock", "restart_all", "rolling", "replace")
DOWN = ("stall", "kill", "lose", "restore", "restart_all", "rolling")  # the copy serves nobody meanwhile

MOST_SPARES = 4  # copies that take another's place: each is one more process, and a port to every other


class Fault(Strict):
    """One fault. Times in seconds from the start of play; ``for`` is how long it lasts.

    ``who`` is a copy, ``leader`` (whoever leads at that time), for isolate also a site, for move the region
    that gets all places; ``between`` two copies or sites, for oneway from the first to the second.
    """

    at: Seconds
    what: Literal[
        "cut",
        "oneway",
        "isolate",
        "stall",
        "kill",
        "lose",
        "restore",
        "full",
        "clock",
        "weather",
        "move",
        "restart_all",
        "rolling",
        "replace",
    ]
    who: Name | None = None
    between: tuple[Name, Name] | None = None
    lasts: Seconds = Field(1.0, alias="for")
    lose: Share = Field(0.0, description="weather: share lost")
    double: Share = 0.0
    swap: Share = 0.0
    spoil: Share = Field(0.0, description="weather: share with a bit turned")
    delay: Share = Field(0.0, description="weather: share delayed")
    delay_ms: Annotated[float, Field(ge=0, le=60_000)] = Field(0.0, description="weather: at most")
    age: Seconds = Field(3.0, description="restore: how old the folder's copy is at least")
    by_ms: Annotated[float, Field(ge=-3_600_000, le=3_600_000)] = Field(0.0, description="clock: its step")

    @model_validator(mode="after")
    def _sound(self) -> Self:
        if self.what in PAIRS and self.between is None:
            raise ValueError(f"{self.what} needs between: [A, B]")
        if self.what in ONE and self.who is None:
            raise ValueError(f"{self.what} needs who: a copy, or leader")
        if self.what not in ONE and self.who is not None:
            raise ValueError(f"{self.what} takes no who")
        if self.what not in (*PAIRS, "weather") and self.between is not None:
            raise ValueError(f"{self.what} takes no between")
        if self.what == "clock" and not self.by_ms:
            raise ValueError("clock needs by_ms")
        ours = {
            "weather": {"lose", "double", "swap", "spoil", "delay", "delay_ms"},
            "restore": {"age"},
            "clock": {"by_ms"},
        }
        for what, fields in ours.items():
            odd = sorted(self.model_fields_set & fields)
            if odd and self.what != what:
                raise ValueError(f"{', '.join(odd)}: only for {what}")
        return self

    @property
    def ends(self) -> float:
        """When it is over (s)."""
        return self.at + self.lasts


class Schedule(Strict):
    """All faults of a run."""

    faults: tuple[Fault, ...] = Field(max_length=500)

    def spares(self) -> int:
        """How many copies take another's place."""
        return sum(one.what == "replace" for one in self.faults)

    def last(self) -> float:
        """When the last of them is over (s); 0 if there are none."""
        return max((one.ends for one in self.faults), default=0.0)


def known(schedule: Schedule, stands: Sequence[Stand], seconds: float, name: str) -> None:
    """Raise ConfigError unless what is named is of the rig and all is over in time."""
    copies, sites = {one.name for one in stands}, {one.site for one in stands}
    problems = []
    if schedule.spares() > MOST_SPARES:
        problems.append(f"{name}: faults: replace {schedule.spares()} times, {MOST_SPARES} are possible")
    for number, fault in enumerate(schedule.faults):
        place = f"{name}: faults[{number}]"
        if fault.ends > seconds:
            problems.append(f"{place}.for: it ends at {fault.ends:g} s, the run at {seconds:g} s")
        if fault.who is not None:
            allowed = {*copies, "leader"} | (sites if fault.what == "isolate" else set())
            if fault.what == "move":
                allowed = {one.region for one in stands}
            if fault.who not in allowed:
                problems.append(f"{place}.who: {fault.who} is none of {', '.join(sorted(allowed))}")
        for one in fault.between or ():
            if one not in copies and one not in sites:
                problems.append(f"{place}.between: {one} is no copy and no site")
    if problems:
        raise ConfigError(problems)


def read(path: Path) -> Schedule:
    """Read a schedule's file. Raises ConfigError with line and field."""
    return load(path, Schedule)


def of_text(text: str, name: str = "schedule") -> Schedule:
    """Read a schedule's text. Raises ConfigError."""
    return parse(text, Schedule, name)


def to_text(schedule: Schedule) -> str:
    """As YAML, one fault a line, so that a failing run can be shortened by hand."""
    yaml = YAML()
    yaml.width = 200
    rows = []
    for fault in schedule.faults:
        tree = fault.model_dump(by_alias=True, exclude_defaults=True, mode="json")
        tree["for"] = fault.lasts
        line = StringIO()
        row = YAML(typ="safe")
        row.default_flow_style, row.width, row.sort_base_mapping_type_on_output = True, 400, False  # type: ignore[assignment]
        row.dump(tree, line)
        rows.append(f"  - {line.getvalue().strip()}")
    return "faults:\n" + "\n".join(rows) + "\n" if rows else "faults: []\n"
