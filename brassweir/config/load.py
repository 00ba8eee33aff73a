"""Reads a YAML file into a pydantic model; reports all errors at once, each with file, line and field."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

_M = TypeVar("_M", bound=BaseModel)
MAX_FILE_BYTES = 64_000_000  # of a settings or list file


class ConfigError(ValueError):
    """A file cannot be used. ``problems`` holds one text for each error: file, line, field and cause."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


def load(path: Path, model: type[_M]) -> _M:
    """Read a file and validate it as ``model``. Raises ConfigError."""
    return parse(read_text(path), model, str(path))


def read_text(path: Path) -> str:
    """Return the text of a file of at most MAX_FILE_BYTES. Raises ConfigError."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise ConfigError([f"{path}: larger than {MAX_FILE_BYTES} bytes"])
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError([f"{path}: {error.strerror or error}"]) from None
    except UnicodeDecodeError as error:
        raise ConfigError([f"{path}: invalid UTF-8 at byte {error.start}"]) from None


def parse(text: str, model: type[_M], name: str) -> _M:
    """Parse a text and validate it as ``model``; errors call it ``name``. Raises ConfigError."""
    return validate(parse_tree(text, name), model, name)


def parse_tree(text: str, name: str) -> CommentedMap:
    """Parse a text into a mapping that knows its line numbers. Raises ConfigError."""
    try:
        tree = YAML(typ="rt").load(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark is not None else 1
        raise ConfigError([f"{name}:{line}: {error.problem or error.context}"]) from None
    except (YAMLError, ValueError, RecursionError) as error:
        lines = str(error).splitlines() or [type(error).__name__]
        raise ConfigError([f"{name}: invalid YAML: {lines[0]}"]) from None
    if not isinstance(tree, CommentedMap):
        raise ConfigError([f"{name}:1: a mapping is expected"])
    return tree


def validate(tree: CommentedMap, model: type[_M], name: str) -> _M:
    """Validate a mapping as ``model``; errors call it ``name``. Raises ConfigError."""
    try:
        return model.model_validate(tree)
    except ValidationError as error:
        details = error.errors()
        # pydantic also reports a list with an invalid item as too short; only the item's error is of use.
        details = [
            detail
            for detail in details
            if detail["type"] != "too_short"
            or not any(_within(other["loc"], detail["loc"]) for other in details)
        ]
        problems = sorted(_describe(tree, detail["loc"], detail["msg"], detail["type"]) for detail in details)
        raise ConfigError([f"{name}:{line}: {problem}" for line, problem in problems]) from None


def _within(inner: tuple[int | str, ...], outer: tuple[int | str, ...]) -> bool:
    """Return whether the path ``inner`` lies below the path ``outer``."""
    return len(inner) > len(outer) and inner[: len(outer)] == outer


def _describe(tree: Any, loc: tuple[int | str, ...], message: str, kind: str) -> tuple[int, str]:
    """Return line and text of one error; the line is that of the deepest part of its path in the file."""
    line = 1
    node = tree
    for step in loc:
        if isinstance(node, CommentedMap) and step in node:
            line = node.lc.key(step)[0] + 1
            node = node[step]
        elif isinstance(node, CommentedSeq) and isinstance(step, int) and step < len(node):
            line = node.lc.item(step)[0] + 1
            node = node[step]
        else:
            break
    field = "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in loc).lstrip(".")
    text = {"missing": "is missing", "extra_forbidden": "is no known field"}.get(kind, message)
    return line, f"{field}: {text}" if field else text
