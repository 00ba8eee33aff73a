"""``brassweir check``: all that a start would read, read, and every problem told."""

from __future__ import annotations

import resource
from pathlib import Path

from brassweir.config.copies import agreed_folder, read_copies, region_fits
from brassweir.config.load import ConfigError, load
from brassweir.config.model import Config
from brassweir.regions.epochs import EpochError, parse
from brassweir.service.descriptors import needed, plan
from brassweir.service.forward_connector import KeyFiles
from brassweir.service.keyfiles import credentials, peer_keys, secrets
from brassweir.service.listed import Numbers
from brassweir.service.listfile import read_list
from brassweir.service.wiring import partnerships, settings


def check(path: Path) -> Config:
    """Read all that a sender would read at start. Raises ConfigError with every problem found."""
    config = load(path, Config)
    problems: list[str] = []
    try:
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        plan(needed(config), 0, hard if hard >= 0 else 1 << 62)
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
        read_list(path.parent / config.endpoints, config, Numbers(config))
    except ConfigError as error:
        problems += error.problems
    problems += _together(path, config)
    if problems:
        raise ConfigError(problems)
    return config


def _together(path: Path, config: Config) -> list[str]:
    """What is wrong with the files that copies share, and with keys between them."""
    if config.peers is None:
        return []
    problems: list[str] = []
    try:
        founding = not agreed_folder(config, path.parent).exists()
        copies = read_copies(path.parent / config.peers.copies, config, founding)
        problems += [f"{path}: {problem}" for problem in region_fits(copies, config)]
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
