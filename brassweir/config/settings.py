"""Reads a settings file by its kind: of a process that delivers, or of a control machine."""

from __future__ import annotations

from pathlib import Path

from ruamel.yaml.comments import CommentedMap

from brassweir.config.load import parse_tree, read_text, validate
from brassweir.config.model import Config, ControlConfig
from brassweir.config.model.copy import DELIVERY_FIELDS


def load_settings(path: Path) -> Config | ControlConfig:
    """Read and check a settings file. Raises ConfigError."""
    tree = parse_tree(read_text(path), str(path))
    if _is_control(tree):
        return validate(tree, ControlConfig, str(path))
    return validate(tree, Config, str(path))


def _is_control(tree: CommentedMap) -> bool:
    """A control machine takes part in the log and has nothing in its settings to deliver by."""
    return "agreed" in tree and not DELIVERY_FIELDS & set(tree)
