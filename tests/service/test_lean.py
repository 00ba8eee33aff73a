"""Processes import peers, agreed log and configuration stream only if their settings use them."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.config.test_copies import SETTINGS, write_copies_settings
from tests.config.test_forward import write_settings

START = """
import asyncio, sys
from pathlib import Path
from brassweir.config.load import load
from brassweir.config.model import Config
from brassweir.lab.rigs.local import Lines
from brassweir.service.checking import check
from brassweir.service.process import SenderProcess
import brassweir.cli.serving

async def work(path):
    process = SenderProcess(check(path), path.parent, Lines())
    await process.start()
    process.stop()

asyncio.run(work(Path(sys.argv[1])))
"""
NODE = "import brassweir.cli.node, brassweir.service.node"
SHOW = "\nprint(*sorted(name for name in sys.modules if name.split('.')[1:2] in (['peers'], ['agreed'], ['configstream']) and name.startswith('brassweir')))"


def imported(code: str, *given: str) -> list[str]:
    done = subprocess.run(
        [sys.executable, "-c", "import sys\n" + code + SHOW, *given],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
        env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[2])},
    )
    return done.stdout.split()


def test_a_sender_without_peers_imports_neither(tmp_path: Path) -> None:
    assert imported(START, str(write_settings(tmp_path))) == []


def test_a_node_imports_neither() -> None:
    assert imported(NODE) == []


@pytest.mark.parametrize("agreed", [True, False])
def test_only_what_the_settings_use_is_imported(tmp_path: Path, agreed: bool) -> None:
    text = (
        SETTINGS
        if agreed
        else SETTINGS[: SETTINGS.index("region:")]
        + "peers: {copies: copies.yaml, keys: [peers.key], listen: '127.0.0.1:7201'}\n"
    )
    found = imported(START, str(write_copies_settings(tmp_path, text)))
    assert "brassweir.peers.port" in found and ("brassweir.agreed.member" in found) is agreed
    assert not [name for name in found if name.startswith("brassweir.configstream")]


def test_versions_of_the_endpoint_list_are_imported_where_the_settings_have_them(tmp_path: Path) -> None:
    path = write_copies_settings(tmp_path, SETTINGS.replace("first.json}", "first.json, configuration: {}}"))
    assert "brassweir.configstream.core" in imported(START, str(path))
