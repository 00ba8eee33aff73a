"""``brassweir check``: reads every file that a start would read, and reports all problems."""

from __future__ import annotations

import resource
from pathlib import Path

from brassweir.config.copies import agreed_directory, read_copies, region_problems
from brassweir.config.load import ConfigError
from brassweir.config.model import Config, ControlConfig, CopyConfig
from brassweir.config.model.config import ENDPOINTS_IN_LOG
from brassweir.config.settings import load_settings
from brassweir.regions.epochs import EpochError, parse
from brassweir.service.forward_connector import KeyFiles
from brassweir.service.keyfiles import load_credentials, load_peer_keys, load_signing_keys
from brassweir.service.listfile import read_list
from brassweir.service.open_file_limit import descriptors_needed, plan_soft_limit
from brassweir.service.resolved_list import DestinationNumbers
from brassweir.service.wiring import engine_settings, load_partnerships


def check(path: Path, edited: bool = True) -> Config | ControlConfig:
    """Read all files that a process reads at start and return its settings.

    With ``edited``, also check the list that an operator edits, which a process reads only on reload. Raises
    ConfigError with every problem found.
    """
    config = load_settings(path)
    problems = _sender_problems(path, config) if isinstance(config, Config) else []
    problems += _peer_problems(path, config)
    if edited:
        problems += _edited_list_problems(path, config)
    if problems:
        raise ConfigError(problems)
    return config


def _sender_problems(path: Path, config: Config) -> list[str]:
    """Return the problems of files and limits that only a sender has."""
    problems: list[str] = []
    try:
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        plan_soft_limit(descriptors_needed(config), 0, hard if hard >= 0 else 1 << 62)
        engine_settings(config)
        if config.identity is not None:
            load_partnerships(config, path.parent)
    except ConfigError as error:
        problems += [f"{path}: {problem}" for problem in error.problems]
    try:
        for kind in config.kinds:
            load_signing_keys(kind, path.parent)
            load_credentials(kind, config.sender.name, path.parent)
        if config.forward is not None:
            KeyFiles(config.forward, path.parent, lambda *_: None)
    except ConfigError as error:
        problems += error.problems
    return problems + _endpoint_list_problems(path, config)


def _endpoint_list_problems(path: Path, config: Config) -> list[str]:
    """Return the problems of the endpoint list's file, if the list comes from a file."""
    if config.endpoints_in_log:
        return []
    list_path = path.parent / config.endpoints
    if config.endpoints == ENDPOINTS_IN_LOG and not list_path.exists():
        return [f"{path}: endpoints: agreed needs agreed.configuration; and there is no file of that name"]
    try:
        read_list(list_path, config, DestinationNumbers(config))
    except ConfigError as error:
        return error.problems
    return []


def _edited_list_problems(path: Path, config: CopyConfig) -> list[str]:
    """Return the problems of the list that an operator edits here."""
    if config.configuration is None or config.configuration.list is None:
        return []
    from brassweir.service.editedlist import read_edited  # other processes never load it

    list_path = path.parent / config.configuration.list
    try:
        read_edited(list_path)
        if isinstance(config, Config) and config.endpoints_in_log:
            read_list(list_path, config, DestinationNumbers(config))
    except ConfigError as error:
        return error.problems
    return []


def _peer_problems(path: Path, config: CopyConfig) -> list[str]:
    """Return the problems of the copies' file, of the keys between copies and of the first epoch."""
    if config.peers is None:
        return []
    problems: list[str] = []
    try:
        founding = not agreed_directory(config, path.parent).exists()
        copies = read_copies(path.parent / config.peers.copies, config, founding)
        problems += [f"{path}: {problem}" for problem in region_problems(copies, config)]
    except ConfigError as error:
        problems += error.problems
    try:
        load_peer_keys(config.peers, path.parent)
    except ConfigError as error:
        problems += [f"{path}: {problem}" for problem in error.problems]
    epoch_path = config.agreed.first_epoch if config.agreed is not None else None
    if epoch_path is not None:
        try:
            parse((path.parent / epoch_path).read_bytes())
        except (OSError, EpochError) as error:
            problems.append(f"{path}: agreed.first_epoch: {path.parent / epoch_path}: {error}")
    return problems
