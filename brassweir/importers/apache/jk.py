"""Reads mod_jk's workers.properties: lb workers and their members, through references and macros.

Syntax: Apache Tomcat Connectors, "workers.properties configuration". A key may be repeated only
if it holds a list; ``worker.NAME.reference=worker.OTHER`` supplies the settings that NAME lacks;
``$(NAME)`` is a macro.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from brassweir.importers.apache.places import Place, Problem

LIST_KEYS = frozenset({"balance_workers", "balanced_workers", "mount"})
ALIASES = {"balanced_workers": "balance_workers", "sticky_session_force": "sticky_session_force"}
MAX_NESTING = 20


@dataclass(slots=True)
class Worker:
    """The settings of one worker, each value with its position."""

    name: str
    values: dict[str, tuple[str, Place]] = field(default_factory=dict)


@dataclass(slots=True)
class Workers:
    """The content of a workers file, and the problems found in it."""

    listed: list[str] = field(default_factory=list)
    workers: dict[str, Worker] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)

    def get(self, name: str, key: str, default: str = "") -> str:
        """Return a setting of a worker or, if it lacks the key, of the workers it references."""
        found = self.find(name, key)
        return found[0] if found is not None else default

    def find(self, name: str, key: str) -> tuple[str, Place] | None:
        """Like ``get``, with the position; None if no worker in the chain has the key."""
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
    """Parse a workers file; unreadable lines are skipped and reported in ``problems``."""
    result, macros = Workers(), dict[str, str]()
    for number, line in _logical_lines(text):
        place = Place(name, number)
        key, equals, value = line.partition("=")
        key, value = key.strip(), value.strip()
        if not equals or not key:
            result.problems.append(Problem(place, f"no key=value: {line[:60]!r}"))
            continue

        def macro(found: re.Match[str], place: Place = place) -> str:
            if found[1] not in macros:
                result.problems.append(Problem(place, f"no macro $({found[1]})"))
                return found[0]
            return macros[found[1]]

        value = re.sub(r"\$\(([^)]*)\)", macro, value)
        if not key.startswith("worker."):
            macros[key] = value
        elif key == "worker.list":
            result.listed += [item for item in re.split(r"[,\s]+", value) if item]
        else:
            _set(result, key, value, place)
    _check_references(result, name)
    return result


def _set(result: Workers, key: str, value: str, place: Place) -> None:
    parts = key.split(".")
    if len(parts) < 3:
        result.problems.append(Problem(place, f"{key}: no such setting"))
        return
    worker = result.workers.setdefault(parts[1], Worker(parts[1]))
    setting = ALIASES.get(".".join(parts[2:]), ".".join(parts[2:]))
    before = worker.values.get(setting)
    if before is not None and setting in LIST_KEYS:
        value = f"{before[0]},{value}"
    elif before is not None and before[0] != value:
        result.problems.append(
            Problem(place, f"{key} was {before[0]!r} on line {before[1].line}: the last holds")
        )
    worker.values[setting] = value, place


def _check_references(result: Workers, name: str) -> None:
    """Report references that form a cycle or name an unknown worker."""
    for worker in result.workers.values():
        seen, current = [worker.name], worker
        while "reference" in current.values:
            target, place = current.values["reference"]
            target = target.removeprefix("worker.")
            if target in seen:
                result.problems.append(Problem(place, f"worker {worker.name}: its references go in a circle"))
                break
            if target not in result.workers:
                result.problems.append(
                    Problem(place, f"worker {worker.name}: refers to {target}, which is none")
                )
                break
            seen.append(target)
            current = result.workers[target]


def _logical_lines(text: str) -> list[tuple[int, str]]:
    out, continued, start = list[tuple[int, str]](), "", 0
    for number, line in enumerate(text.splitlines(), 1):
        if not continued:
            start = number
        if line.endswith("\\"):
            continued += line[:-1]
            continue
        logical, continued = (continued + line).strip(), ""
        if logical and not logical.startswith(("#", "!")):
            out.append((start, logical))
    return out
