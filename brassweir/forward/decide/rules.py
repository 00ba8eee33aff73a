"""Routes a chunk by its tag: a source's rules give the class, destination, key and body format."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

from brassweir.config.tags import check_template, compile_pattern


class Body(Enum):
    """The format in which a chunk's entries are sent to the destination."""

    LINES = "json-lines"
    PACKED = "msgpack"


@dataclass(frozen=True, slots=True)
class TagRule:
    """Routes chunks whose tag matches ``pattern``.

    ``destination`` and ``key`` are templates: {tag} is the whole tag, {0}, {1} and so on its parts. Chunks of
    one source with the same key are delivered in order, in a class that keeps order; an empty key means no
    order.

    Patterns are those of Fluentd's match directive: ``*`` matches one part, ``**`` any number of parts,
    ``{a,b}`` either; several patterns are separated by spaces. Raises ValueError for an invalid pattern or
    template.
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

    def fill(self, template: str, tag: str) -> str | None:
        """Fill a template with parts of a tag; returns None if it refers to a part that the tag lacks."""
        parts = tag.split(".")
        indexes = {int(name) for name in re.findall(r"\{(\d+)\}", template)}
        if indexes and max(indexes) >= len(parts):
            return None
        return re.sub(
            r"\{(tag|\d+)\}", lambda found: tag if found[1] == "tag" else parts[int(found[1])], template
        )


@dataclass(frozen=True, slots=True)
class Route:
    """Where a chunk is delivered, in which class, format and order."""

    class_name: str
    destination: str
    body: Body
    key: str


def find_route(rules: tuple[TagRule, ...], source: str, tag: str) -> Route | None:
    """Return the route by the first matching rule; None if none matches or its templates cannot be filled."""
    for rule in rules:
        if rule.matcher.fullmatch(tag) is None:
            continue
        destination, key = rule.fill(rule.destination, tag), rule.fill(rule.key, tag)
        if destination is None or key is None:
            return None
        return Route(rule.class_name, destination, rule.body, f"{source}\n{key}" if key else "")
    return None
