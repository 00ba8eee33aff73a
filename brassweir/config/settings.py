"""Reads a settings file: that of a process that delivers, or that of a control machine."""

from __future__ import annotations

from pathlib import Path

from ruamel.yaml.comments import CommentedMap

from brassweir.config.load import parse_tree, read_text, validate
from brassweir.config.model import Config, ControlConfig
from brassweir.config.model.copy import DELIVERY_FIELDS


def load_settings(path: Path) -> Config | ControlConfig:
    """Read a settings file and validate it as the kind that it is. Raises ConfigError."""
    tree = parse_tree(read_text(path), str(path))
    if _is_control(tree):
        return validate(tree, ControlConfig, str(path))
    return validate(tree, Config, str(path))


def _is_control(tree: CommentedMap) -> bool:
    """Return whether these settings are those of a control machine: they have ``agreed`` and none of
    DELIVERY_FIELDS."""
    return "agreed" in tree and not DELIVERY_FIELDS & set(tree)
