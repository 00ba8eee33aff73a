"""Settings of the forward front and of forward destinations: every error is reported with its line."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from brassweir.config.load import ConfigError, parse
from brassweir.config.model import Config
from brassweir.service.checking import check
from brassweir.service.forward_connector import KeyFiles

VALID_SETTINGS = """\
sender: {name: s1, slots: 8, max_open: 100}
classes:
  - {name: status, aim_ms: 1000, deadline_ms: 8000, effect: safe}
  - {name: order, aim_ms: 1000, deadline_ms: 8000, effect: keyed, window_ms: 5000}
  - {name: payment, aim_ms: 1000, deadline_ms: 8000, effect: unsafe}
kinds:
  - {name: collectors, carrier: forward, shared_key: out.key, batch: 4}
forward:
  listen: 127.0.0.1:0
  sources:
    - name: edge-1
      shared_keys: [edge.key]
      rules:
        - {tag: "app.**", class: status, destination: "hook-{1}"}
endpoints: endpoints.yaml
"""
LIST_YAML = "endpoints:\n  - {name: c-a, url: 'forward://127.0.0.1:9', destination: c, kind: collectors}\n"


def write_settings(tmp_path: Path, text: str = VALID_SETTINGS, listed: str = LIST_YAML) -> Path:
    """Write a settings file and the files that it names; return its path."""
    (tmp_path / "s.yaml").write_text(text)
    (tmp_path / "endpoints.yaml").write_text(listed)
    (tmp_path / "edge.key").write_text("a key\n")
    (tmp_path / "out.key").write_text("another\n")
    return tmp_path / "s.yaml"


def problems(path: Path) -> list[str]:
    """Return the problems that a check of this settings file reports."""
    with pytest.raises(ConfigError) as caught:
        check(path)
    return caught.value.problems


def test_a_sender_needs_no_as2(tmp_path: Path) -> None:
    config = check(write_settings(tmp_path))
    assert (
        isinstance(config, Config)
        and config.identity is None
        and config.forward is not None
        and config.forward.chunk_bytes == 16_000_000
    )


@pytest.mark.parametrize(
    ("old", "new", "problem"),
    [
        (
            "class: status",
            "class: payment",
            "names the unsafe class payment: a source that receives no ack sends again",
        ),
        ("class: status", "class: nothing", "names no class: nothing"),
        (
            '"app.**"',
            '"app..x"',
            ":14: forward.sources[0].rules[0]: Value error, tag pattern 'app..x': empty parts",
        ),
        ('"hook-{1}"', '"hook-{who}"', "{who} is no placeholder"),
        ("shared_keys: [edge.key]", "shared_keys: []", ":12: forward.sources[0].shared_keys"),
        ("shared_keys: [edge.key]", "shared_keys: [none.key]", "none.key: No such file"),
        (
            "listen: 127.0.0.1:0",
            "listen: '24224'",
            ":9: forward.listen: Value error, an address has the form HOST:PORT",
        ),
        (
            "  listen: 127.0.0.1:0\n",
            "  listen: 127.0.0.1:0\n  colour: red\n",
            "forward.colour: is no known field",
        ),
        ("carrier: forward, ", "carrier: webhook, ", "batch, shared_key are for forward destinations"),
        ("batch: 4", "username: ann", "username and password go together"),
        ("shared_key: out.key, batch: 4", "username: ann, password: edge.key", "which needs shared_key"),
        ("shared_key: out.key", "shared_key: gone.key", "shared_key: "),
        ("forward:\n  listen", "other:\n  listen", "other: is no known field"),
        (
            "    - name: edge-1\n",
            "    - name: edge-1\n      users: [{username: a, password: edge.key}]\n",
            "",
        ),
    ],
)
def test_bad_settings(tmp_path: Path, old: str, new: str, problem: str) -> None:
    assert old in VALID_SETTINGS
    path = write_settings(tmp_path, VALID_SETTINGS.replace(old, new, 1))
    if not problem:
        check(path)
        return
    found = problems(path)
    assert any(problem in text for text in found), found
    assert str(path) in found[0] or "kind " in found[0] or "forward" in found[0]


def test_all_sources_have_users_or_none(tmp_path: Path) -> None:
    second = "    - {name: b, shared_keys: [edge.key], users: [{username: a, password: edge.key}], rules: [{tag: x, class: status, destination: y}]}\nendpoints"
    assert any(
        "all have some or none has" in text
        for text in problems(write_settings(tmp_path, VALID_SETTINGS.replace("endpoints", second, 1)))
    )
    duplicate = "    - {name: edge-1, shared_keys: [edge.key], rules: [{tag: x, class: status, destination: y}]}\nendpoints"
    assert any(
        "edge-1 is listed more than once" in text
        for text in problems(write_settings(tmp_path, VALID_SETTINGS.replace("endpoints", duplicate, 1)))
    )


@pytest.mark.parametrize(
    ("listed", "problem"),
    [
        (
            LIST_YAML.replace("forward://127.0.0.1:9", "http://127.0.0.1:9/x"),
            "carries by forward, and its URL is http",
        ),
        (LIST_YAML.replace("forward://127.0.0.1:9", "forward://127.0.0.1:9/path"), "forward://HOST[:PORT]"),
        (LIST_YAML.replace("destination: c", "partner: c"), "partner 'c' is not in the settings"),
        (LIST_YAML.replace("kind: collectors", "kind: other"), "kind 'other' is not in the settings"),
    ],
)
def test_bad_lists(tmp_path: Path, listed: str, problem: str) -> None:
    assert any(problem in text for text in problems(write_settings(tmp_path, listed=listed)))


def test_settings_without_any_front_are_refused(tmp_path: Path) -> None:
    text = (
        VALID_SETTINGS[: VALID_SETTINGS.index("forward:")]
        + VALID_SETTINGS[VALID_SETTINGS.index("endpoints:") :]
    )
    with pytest.raises(ConfigError, match="no message could be submitted"):
        parse(text, Config, "s.yaml")


def test_key_files_are_reloaded_and_keep_their_last_valid_content(tmp_path: Path) -> None:
    checked = check(write_settings(tmp_path))
    assert isinstance(checked, Config) and checked.forward is not None
    config = checked.forward
    notes: list[str] = []
    files = KeyFiles(config, tmp_path, lambda event, _: notes.append(event))
    assert files.keys("edge-1") == (b"a key",) and files.keys("nobody") == () and not files.needs_user()
    path = tmp_path / "edge.key"
    path.write_text("a new key\n")
    assert files.keys("edge-1") == (b"a new key",)
    path.write_text("")
    os.utime(path, ns=(1, 1))
    assert files.keys("edge-1") == (b"a new key",)
    path.unlink()
    assert files.keys("edge-1") == (b"a new key",)
    assert notes == ["key_changed", "key_unreadable", "key_unreadable"]


def test_a_port_in_use_is_reported(tmp_path: Path) -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = listener.getsockname()[1]
        path = write_settings(tmp_path, VALID_SETTINGS.replace("127.0.0.1:0", f"127.0.0.1:{port}"))
        process = subprocess.run(
            [sys.executable, "-m", "brassweir", "serve", str(path)],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
    assert (
        process.returncode == 1
        and f"cannot listen on 127.0.0.1:{port}: " in process.stderr
        and "None" not in process.stderr
    )
