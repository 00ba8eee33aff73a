"""Whose a chunk is: its tag gives the class, destination, key and form, by rules that its source is bound
to."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

from brassweir.config.tags import check_template, compile_pattern


class Body(Enum):
    """In what form a chunk goes on."""

    LINES = "json-lines"
    PACKED = "msgpack"


@dataclass(frozen=True, slots=True)
class TagRule:
    """Tags that ``pattern`` matches go so. ``destination`` may hold {tag} and {0}, {1}: parts of the tag; so
    may ``key``, which orders the chunks of a source in a class that keeps order, and is empty where nothing
    does.

    Patterns are those of Fluentd's match directive: ``*`` is one part, ``**`` any number of parts, ``{a,b}``
    either; several stand apart by spaces. Raises ValueError for a pattern or destination that means nothing.
    """

    pattern: str
    class_name: str
    destination: str
    body: Body = Body.LINES
    key: str = ""
    matcher: re.Pattern[str] = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "matcher", compile_pattern(self.pattern))
        check_template(self.destination)
        check_template(self.key)

    def filled(self, template: str, tag: str) -> str | None:
        """A template with the parts of a tag in it; None if the tag has not so many."""
        parts = tag.split(".")
        wanted = {int(name) for name in re.findall(r"\{(\d+)\}", template)}
        if wanted and max(wanted) >= len(parts):
            return None
        return re.sub(
            r"\{(tag|\d+)\}", lambda found: tag if found[1] == "tag" else parts[int(found[1])], template
        )


@dataclass(frozen=True, slots=True)
class Placed:
    """Where a chunk goes, and as what."""

    class_name: str
    destination: str
    body: Body
    key: str


def place(rules: tuple[TagRule, ...], source: str, tag: str) -> Placed | None:
    """The first rule that fits decides; None if none does."""
    for rule in rules:
        if rule.matcher.fullmatch(tag) is None:
            continue
        home, key = rule.filled(rule.destination, tag), rule.filled(rule.key, tag)
        if home is None or key is None:
            return None
        return Placed(rule.class_name, home, rule.body, f"{source}\n{key}" if key else "")
    return None
