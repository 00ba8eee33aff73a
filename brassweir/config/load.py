"""Reads a YAML file into a checked model; errors name file, line and field, and all come at once."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

_M = TypeVar("_M", bound=BaseModel)
MAX_FILE_BYTES = 64_000_000  # bytes of a settings or list file


class ConfigError(ValueError):
    """A file cannot be used; ``problems`` holds one line each: file, line, field, what is wrong."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


def load(path: Path, model: type[_M]) -> _M:
    """Read and check a file. Raises ConfigError."""
    return parse(read_text(path), model, str(path))


def read_text(path: Path) -> str:
    """The text of a file that is not too large. Raises ConfigError."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise ConfigError([f"{path}: larger than {MAX_FILE_BYTES} bytes"])
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError([f"{path}: {error.strerror or error}"]) from None
    except UnicodeDecodeError as error:
        raise ConfigError([f"{path}: no UTF-8 at byte {error.start}"]) from None


def parse(text: str, model: type[_M], name: str) -> _M:
    """Check a text; ``name`` is what errors call it. Raises ConfigError."""
    return validate(parse_tree(text, name), model, name)


def parse_tree(text: str, name: str) -> CommentedMap:
    """The mapping that a text holds, with its lines. Raises ConfigError."""
    try:
        tree = YAML(typ="rt").load(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark is not None else 1
        raise ConfigError([f"{name}:{line}: {error.problem or error.context}"]) from None
    except (YAMLError, ValueError, RecursionError) as error:
        words = str(error).splitlines() or [type(error).__name__]
        raise ConfigError([f"{name}: no YAML: {words[0]}"]) from None
    if not isinstance(tree, CommentedMap):
        raise ConfigError([f"{name}:1: a mapping is expected"])
    return tree


def validate(tree: CommentedMap, model: type[_M], name: str) -> _M:
    """Check a mapping. Raises ConfigError."""
    try:
        return model.model_validate(tree)
    except ValidationError as error:
        found = error.errors()
        # A list with a bad item also counts as too short: only the item is at fault.
        found = [
            one
            for one in found
            if one["type"] != "too_short" or not any(_within(other["loc"], one["loc"]) for other in found)
        ]
        problems = sorted(_place(tree, one["loc"], one["msg"], one["type"]) for one in found)
        raise ConfigError([f"{name}:{line}: {what}" for line, what in problems]) from None


def _within(inner: tuple[int | str, ...], outer: tuple[int | str, ...]) -> bool:
    return len(inner) > len(outer) and inner[: len(outer)] == outer


def _place(tree: Any, loc: tuple[int | str, ...], message: str, kind: str) -> tuple[int, str]:
    """Line and words of one problem: the line of the deepest part of its path that the file holds."""
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
    words = {"missing": "is missing", "extra_forbidden": "is no known field"}.get(kind, message)
    return line, f"{field}: {words}" if field else words
