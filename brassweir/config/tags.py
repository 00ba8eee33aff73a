"""Tag patterns, as in Fluentd's match directive, and the templates of destinations and keys. Pure."""

from __future__ import annotations

import re


def check_template(text: str) -> None:
    """Check a template of a destination or key. Raises ValueError if it has an unknown placeholder."""
    for name in re.findall(r"\{([^{}]*)\}", text):
        if name != "tag" and not name.isdigit():
            raise ValueError(f"{{{name}}} is no placeholder: use {{tag}} or the number of a part")


def compile_pattern(pattern: str) -> re.Pattern[str]:
    """Compile a tag pattern: alternatives separated by blanks. Raises ValueError."""
    alternatives = pattern.split()
    if not alternatives:
        raise ValueError("a tag pattern is empty")
    return re.compile("|".join(f"(?:{_alternative(alternative)})" for alternative in alternatives))


def _alternative(pattern: str) -> str:
    """Translate one alternative, of parts separated by dots, to a regular expression. Raises ValueError."""
    if pattern.count("{") != pattern.count("}") or re.search(r"\{[^}]*\{|\}[^{]*\}", pattern):
        raise ValueError(f"tag pattern {pattern!r}: unbalanced braces")
    parts = re.findall(r"(?:\{[^}]*\}|[^.{}])+", pattern)
    if ".".join(parts) != pattern:
        raise ValueError(f"tag pattern {pattern!r}: empty parts")
    if parts == ["**"]:
        return ".*"
    regex = ""
    for number, part in enumerate(parts):
        if part == "**":
            regex += r"(?:[^.]+\.)*" if number == 0 else r"(?:\.[^.]+)*"
            continue
        if number and not (number == 1 and parts[0] == "**"):
            regex += r"\."
        regex += _part(part, pattern)
    return regex


def _part(part: str, pattern: str) -> str:
    """Translate one part of a pattern; errors name the whole ``pattern``. Raises ValueError."""
    if part == "*":
        return "[^.]+"
    regex = ""
    for piece in re.findall(r"\{[^}]*\}|\*|[^*{]+", part):
        if piece == "*":
            regex += "[^.]*"
        elif piece.startswith("{"):
            choices = piece[1:-1].split(",")
            if not all(choices):
                raise ValueError(f"tag pattern {pattern!r}: an empty choice")
            regex += "(?:" + "|".join(_alternative(choice) for choice in choices) + ")"
        else:
            regex += re.escape(piece)
    return regex
