"""Reads mod_jk's workers.properties: lb workers and their members, through references and macros.

Syntax: Apache Tomcat Connectors, "workers.properties configuration". A key may stand several times only
where it holds a list; ``worker.NAME.reference=worker.OTHER`` takes what NAME does not say itself;
``$(NAME)`` is a macro.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from brassweir.importers.apache.places import Complaint, Place

LISTS = frozenset({"balance_workers", "balanced_workers", "mount"})
ALIASES = {"balanced_workers": "balance_workers", "sticky_session_force": "sticky_session_force"}
DEEPEST = 20


@dataclass(slots=True)
class Worker:
    """What was said of one worker: each value with its place."""

    name: str
    values: dict[str, tuple[str, Place]] = field(default_factory=dict)


@dataclass(slots=True)
class Workers:
    """A whole file."""

    listed: list[str] = field(default_factory=list)
    workers: dict[str, Worker] = field(default_factory=dict)
    complaints: list[Complaint] = field(default_factory=list)

    def get(self, name: str, key: str, default: str = "") -> str:
        """A worker's value, its own or that of what it refers to."""
        found = self.find(name, key)
        return found[0] if found is not None else default

    def find(self, name: str, key: str) -> tuple[str, Place] | None:
        """The same with its place."""
        seen: list[str] = []
        while name in self.workers and name not in seen:
            worker = self.workers[name]
            if key in worker.values:
                return worker.values[key]
            seen.append(name)
            given = worker.values.get("reference")
            if given is None:
                return None
            name = given[0].removeprefix("worker.")
        return None


def read(name: str, text: str) -> Workers:
    """Read a file. What cannot be read is complained of and passed over."""
    made, macros = Workers(), dict[str, str]()
    for number, line in _logical(text):
        place = Place(name, number)
        key, equals, value = line.partition("=")
        key, value = key.strip(), value.strip()
        if not equals or not key:
            made.complaints.append(Complaint(place, f"no key=value: {line[:60]!r}"))
            continue

        def macro(found: re.Match[str], place: Place = place) -> str:
            if found[1] not in macros:
                made.complaints.append(Complaint(place, f"no macro $({found[1]})"))
                return found[0]
            return macros[found[1]]

        value = re.sub(r"\$\(([^)]*)\)", macro, value)
        if not key.startswith("worker."):
            macros[key] = value
        elif key == "worker.list":
            made.listed += [one for one in re.split(r"[,\s]+", value) if one]
        else:
            _set(made, key, value, place)
    _references(made, name)
    return made


def _set(made: Workers, key: str, value: str, place: Place) -> None:
    parts = key.split(".")
    if len(parts) < 3:
        made.complaints.append(Complaint(place, f"{key}: no such setting"))
        return
    worker = made.workers.setdefault(parts[1], Worker(parts[1]))
    what = ALIASES.get(".".join(parts[2:]), ".".join(parts[2:]))
    before = worker.values.get(what)
    if before is not None and what in LISTS:
        value = f"{before[0]},{value}"
    elif before is not None and before[0] != value:
        made.complaints.append(
            Complaint(place, f"{key} was {before[0]!r} on line {before[1].line}: the last holds")
        )
    worker.values[what] = value, place


def _references(made: Workers, name: str) -> None:
    for worker in made.workers.values():
        seen, at = [worker.name], worker
        while "reference" in at.values:
            other, place = at.values["reference"]
            other = other.removeprefix("worker.")
            if other in seen:
                made.complaints.append(
                    Complaint(place, f"worker {worker.name}: its references go in a circle")
                )
                break
            if other not in made.workers:
                made.complaints.append(
                    Complaint(place, f"worker {worker.name}: refers to {other}, which is none")
                )
                break
            seen.append(other)
            at = made.workers[other]


def _logical(text: str) -> list[tuple[int, str]]:
    out, held, start = list[tuple[int, str]](), "", 0
    for number, line in enumerate(text.splitlines(), 1):
        if not held:
            start = number
        if line.endswith("\\"):
            held += line[:-1]
            continue
        whole, held = (held + line).strip(), ""
        if whole and not whole.startswith(("#", "!")):
            out.append((start, whole))
    return out
