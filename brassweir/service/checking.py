"""``brassweir check``: all that a start would read, read, and every problem told."""

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
from brassweir.service.keyfiles import credentials, peer_keys, secrets
from brassweir.service.listfile import read_list
from brassweir.service.open_file_limit import descriptors_needed, plan_soft_limit
from brassweir.service.resolved_list import DestinationNumbers
from brassweir.service.wiring import partnerships, settings


def check(path: Path, edited: bool = True) -> Config | ControlConfig:
    """Read all that a process would read at start; ``edited``: and the list that an operator edits, which is
    read only when asked to. Raises ConfigError with every problem found."""
    config = load_settings(path)
    problems = _delivery(path, config) if isinstance(config, Config) else []
    problems += _together(path, config)
    if edited:
        problems += _edited(path, config)
    if problems:
        raise ConfigError(problems)
    return config


def _delivery(path: Path, config: Config) -> list[str]:
    """What is wrong with all that only a process that delivers has."""
    problems: list[str] = []
    try:
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        plan_soft_limit(descriptors_needed(config), 0, hard if hard >= 0 else 1 << 62)
        settings(config)
        if config.identity is not None:
            partnerships(config, path.parent)
    except ConfigError as error:
        problems += [f"{path}: {problem}" for problem in error.problems]
    try:
        for kind in config.kinds:
            secrets(kind, path.parent)
            credentials(kind, config.sender.name, path.parent)
        if config.forward is not None:
            KeyFiles(config.forward, path.parent, lambda *_: None)
    except ConfigError as error:
        problems += error.problems
    return problems + _endpoints(path, config)


def _endpoints(path: Path, config: Config) -> list[str]:
    """What is wrong with the file of the endpoint list, unless the list comes from the log."""
    if config.endpoints_in_log:
        return []
    found = path.parent / config.endpoints
    if config.endpoints == ENDPOINTS_IN_LOG and not found.exists():
        return [f"{path}: endpoints: agreed needs agreed.configuration; and there is no file of that name"]
    try:
        read_list(found, config, DestinationNumbers(config))
    except ConfigError as error:
        return error.problems
    return []


def _edited(path: Path, config: CopyConfig) -> list[str]:
    """What is wrong with the list that an operator edits here."""
    if config.configuration is None or config.configuration.list is None:
        return []
    from brassweir.service.editedlist import read_edited  # only where the settings have it

    found = path.parent / config.configuration.list
    try:
        read_edited(found)
        if isinstance(config, Config) and config.endpoints_in_log:
            read_list(found, config, DestinationNumbers(config))
    except ConfigError as error:
        return error.problems
    return []


def _together(path: Path, config: CopyConfig) -> list[str]:
    """What is wrong with the files that copies share, and with keys between them."""
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
        peer_keys(config.peers, path.parent)
    except ConfigError as error:
        problems += [f"{path}: {problem}" for problem in error.problems]
    first = config.agreed.first_epoch if config.agreed is not None else None
    if first is not None:
        try:
            parse((path.parent / first).read_bytes())
        except (OSError, EpochError) as error:
            problems.append(f"{path}: agreed.first_epoch: {path.parent / first}: {error}")
    return problems
