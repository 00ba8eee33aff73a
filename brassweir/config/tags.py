"""The patterns that tags are matched with in settings, and the templates that they fill. Pure."""

from __future__ import annotations

import re


def check_template(text: str) -> None:
    """Raise ValueError if a destination holds what stands for nothing."""
    for name in re.findall(r"\{([^{}]*)\}", text):
        if name != "tag" and not name.isdigit():
            raise ValueError(f"{{{name}}} stands for nothing: use {{tag}} or the number of a part")


def compile_pattern(pattern: str) -> re.Pattern[str]:
    """A tag pattern as a regular expression. Raises ValueError."""
    words = pattern.split()
    if not words:
        raise ValueError("a tag pattern is empty")
    return re.compile("|".join(f"(?:{_word(word)})" for word in words))


def _word(word: str) -> str:
    if word.count("{") != word.count("}") or re.search(r"\{[^}]*\{|\}[^{]*\}", word):
        raise ValueError(f"tag pattern {word!r}: braces do not pair")
    parts = re.findall(r"(?:\{[^}]*\}|[^.{}])+", word)
    if ".".join(parts) != word:
        raise ValueError(f"tag pattern {word!r}: empty parts")
    if parts == ["**"]:
        return ".*"
    out = ""
    for number, part in enumerate(parts):
        if part == "**":
            out += r"(?:[^.]+\.)*" if number == 0 else r"(?:\.[^.]+)*"
            continue
        if number and not (number == 1 and parts[0] == "**"):
            out += r"\."
        out += _part(part, word)
    return out


def _part(part: str, word: str) -> str:
    if part == "*":
        return "[^.]+"
    out = ""
    for piece in re.findall(r"\{[^}]*\}|\*|[^*{]+", part):
        if piece == "*":
            out += "[^.]*"
        elif piece.startswith("{"):
            choices = piece[1:-1].split(",")
            if not all(choices):
                raise ValueError(f"tag pattern {word!r}: an empty choice")
            out += "(?:" + "|".join(_word(choice) for choice in choices) + ")"
        else:
            out += re.escape(piece)
    return out
