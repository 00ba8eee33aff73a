"""Whose a chunk is: its tag gives the class, destination, key and form, by rules that its source is bound
to."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

from brassweir.config.tags import check_template, matcher


class Body(Enum):
    """In what form a chunk goes on."""

    LINES = "json-lines"
    PACKED = "msgpack"


class Key(Enum):
    """What orders the chunks of a class that keeps order."""

    NONE = "none"
    SOURCE = "source"
    TAG = "tag"


@dataclass(frozen=True, slots=True)
class TagRule:
    """Tags that ``pattern`` matches go so. ``destination`` may hold {tag} and {0}, {1}: parts of the tag.

    Patterns are those of Fluentd's match directive: ``*`` is one part, ``**`` any number of parts, ``{a,b}``
    either; several stand apart by spaces. Raises ValueError for a pattern or destination that means nothing.
    """

    pattern: str
    class_name: str
    destination: str
    body: Body = Body.LINES
    key: Key = Key.NONE
    matcher: re.Pattern[str] = field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "matcher", matcher(self.pattern))
        check_template(self.destination)

    def home(self, tag: str) -> str | None:
        """The destination of a tag; None if the tag has not so many parts."""
        parts = tag.split(".")
        wanted = {int(name) for name in re.findall(r"\{(\d+)\}", self.destination)}
        if wanted and max(wanted) >= len(parts):
            return None
        return re.sub(r"\{(tag|\d+)\}",
                      lambda found: tag if found[1] == "tag" else parts[int(found[1])], self.destination)


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
        home = rule.home(tag)
        if home is None:
            return None
        key = {Key.NONE: "", Key.SOURCE: source, Key.TAG: f"{source}\n{tag}"}[rule.key]
        return Placed(rule.class_name, home, rule.body, key)
    return None
