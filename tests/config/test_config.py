"""Settings files: all errors are reported at once, each with file, line and field."""

from __future__ import annotations

from pathlib import Path

import pytest

from brassweir.as2 import keys
from brassweir.config.load import ConfigError, load, parse
from brassweir.config.model import Config, EndpointList
from brassweir.service.checking import check
from tests.conftest import identity

VALID_SETTINGS = """\
sender:
  name: s1
  listen: 127.0.0.1:4080
  slots: 8
  max_open: 100
classes:
  - {name: payment, aim_ms: 1000, deadline_ms: 8000, effect: unsafe}
  - {name: order, aim_ms: 1000, deadline_ms: 8000, effect: keyed, window_ms: 5000}
identity:
  as2_id: hub
  key: hub.key.pem
  certificate: hub.crt.pem
clients:
  - as2_id: office 1
    certificates: [office_1.crt.pem]
    may_send_to: [bank]
    rules:
      - {subject: "^pay", class: payment}
partners:
  - as2_id: bank
    certificates: [bank.crt.pem]
endpoints: endpoints.yaml
"""
LIST_YAML = "endpoints:\n  - {name: bank-a, url: 'http://127.0.0.1:9/as2', partner: bank}\n"


def problems(text: str) -> list[str]:
    """Return the problems that make this settings file invalid."""
    with pytest.raises(ConfigError) as caught:
        parse(text, Config, "s.yaml")
    return caught.value.problems


def test_a_valid_file_is_accepted() -> None:
    config = parse(VALID_SETTINGS, Config, "s.yaml")
    assert config.clients[0].rules[0].class_name == "payment" and config.sender.connect_timeout_ms == 1000.0


@pytest.mark.parametrize(
    ("change", "line", "problem"),
    [
        (("  slots: 8\n", ""), 1, "sender.slots: is missing"),
        (("slots: 8", "slots: 0"), 4, "sender.slots: Input should be greater than or equal to 1"),
        (("slots: 8", "slots: .nan"), 4, "sender.slots"),
        (("max_open: 100", "max_open: 100\n  colour: red"), 6, "sender.colour: is no known field"),
        (("127.0.0.1:4080", "'4080'"), 3, "an address has the form HOST:PORT"),
        (
            (
                "aim_ms: 1000, deadline_ms: 8000, effect: unsafe",
                "aim_ms: 9000, deadline_ms: 8000, effect: unsafe",
            ),
            7,
            "aim_ms is more than deadline_ms",
        ),
        (("window_ms: 5000", "window_ms: 0"), 8, "a keyed class needs window_ms"),
        (("effect: unsafe", "effect: maybe"), 7, "classes[0].effect"),
        (('"^pay"', '"^pay("'), 18, "invalid regular expression"),
        (("class: payment}", "class: other}"), 1, "rules name no class: other"),
        (("may_send_to: [bank]", "may_send_to: [banc]"), 1, "may_send_to names no partner: banc"),
        (("[bank.crt.pem]", "[bank.crt.pem]\n    sign: sha1"), 20, "sha1 and 3des need legacy: true"),
        (("[bank.crt.pem]", "[bank.crt.pem]\n    receipt: async"), 1, "identity.receipt_url is needed"),
        (
            ("deadline_ms: 8000, effect: unsafe", "deadline_ms: 1e400, effect: unsafe"),
            7,
            "classes[0].deadline_ms",
        ),
        (("as2_id: office 1", "as2_id: ' office'"), 14, "an AS2 name has"),
        (("slots: 8", "slots: [8"), 5, ""),
        (("slots: 8", "slots: 8\n  slots: 9"), 5, "duplicate key"),
    ],
)
def test_bad_files_name_line_and_field(change: tuple[str, str], line: int, problem: str) -> None:
    assert change[0] in VALID_SETTINGS
    found = problems(VALID_SETTINGS.replace(*change, 1))
    assert any(text.startswith(f"s.yaml:{line}: ") and problem in text for text in found), found


def test_all_problems_are_reported_at_once_in_the_order_of_lines() -> None:
    text = (
        VALID_SETTINGS.replace("slots: 8", "slots: 0")
        .replace("effect: unsafe", "effect: maybe")
        .replace("[bank.crt.pem]", "[]")
    )
    found = problems(text)
    assert [problem.split(":")[1] for problem in found] == ["4", "7", "21"]


@pytest.mark.parametrize(
    "text", ["", "- a", "a: &x [*x]", "\x00", "a: !!python/object:os.system x", "{" * 1000, "? ?"]
)
def test_texts_that_are_no_settings_file(text: str) -> None:
    assert problems(text)


@pytest.mark.parametrize(
    "text",
    [
        "endpoints: 3",
        "endpoints: [{name: a b, url: http://x/, partner: p}]",
        "endpoints: [{name: a, url: 'ftp://x/', partner: p}]",
        "endpoints: [{name: a, url: http://u:p@x/, partner: p}]",
        LIST_YAML + LIST_YAML.partition("\n")[2],
        LIST_YAML.replace("partner: bank", "partner: bank, state: asleep"),
    ],
)
def test_bad_lists(text: str) -> None:
    with pytest.raises(ConfigError):
        parse(text, EndpointList, "l.yaml")


def test_files_that_cannot_be_read(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="No such file"):
        load(tmp_path / "none.yaml", Config)
    with pytest.raises(ConfigError):
        load(tmp_path, Config)
    (tmp_path / "latin.yaml").write_bytes(b"a: \xff")
    with pytest.raises(ConfigError, match="invalid UTF-8 at byte 3"):
        load(tmp_path / "latin.yaml", Config)


def test_check_reads_every_file_that_a_start_reads(tmp_path: Path) -> None:
    (tmp_path / "s.yaml").write_text(VALID_SETTINGS)
    with pytest.raises(ConfigError) as caught:
        check(tmp_path / "s.yaml")
    reported = "\n".join(caught.value.problems)
    for name in ("hub.key.pem", "hub.crt.pem", "office_1.crt.pem", "bank.crt.pem", "endpoints.yaml"):
        assert name in reported
    for name in ("hub", "office 1", "bank"):
        keys.write(identity(name), tmp_path)
    (tmp_path / "endpoints.yaml").write_text(LIST_YAML.replace("partner: bank", "partner: other"))
    with pytest.raises(ConfigError, match="partner 'other' is not in the settings"):
        check(tmp_path / "s.yaml")
    (tmp_path / "endpoints.yaml").write_text(LIST_YAML)
    assert check(tmp_path / "s.yaml").sender.name == "s1"
    (tmp_path / "hub.crt.pem").write_bytes((tmp_path / "bank.crt.pem").read_bytes())
    with pytest.raises(ConfigError, match="does not belong to the key"):
        check(tmp_path / "s.yaml")
    (tmp_path / "hub.key.pem").write_text("no key")
    with pytest.raises(ConfigError, match="no private key"):
        check(tmp_path / "s.yaml")
