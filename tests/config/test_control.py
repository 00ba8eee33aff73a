"""Settings of control machines, and of senders whose endpoint list comes from the agreed log."""

from __future__ import annotations

from pathlib import Path

import pytest

from brassweir.config.model import Config, ControlConfig
from brassweir.service.checking import check
from tests.config.test_copies import SETTINGS, write_copies_settings
from tests.config.test_forward import problems

CONTROL_SETTINGS = """\
sender: {name: s1, metrics: '127.0.0.1:4090'}
peers: {copies: copies.yaml, keys: [peers.key]}
agreed:
  voters: [s1, s2, s3]
  configuration: {list: endpoints.yaml, confirm_removed: 7, confirm_destinations: 1}
"""
LOG_LIST_SETTINGS = SETTINGS.replace("first.json}", "first.json, configuration: {}}").replace(
    "endpoints: endpoints.yaml", "endpoints: agreed"
)


def test_a_control_machine_needs_no_delivery_settings(tmp_path: Path) -> None:
    config = check(write_copies_settings(tmp_path, CONTROL_SETTINGS))
    assert isinstance(config, ControlConfig) and config.configuration is not None
    assert (config.configuration.list, config.configuration.confirm_removed) == (Path("endpoints.yaml"), 7)
    config = check(
        write_copies_settings(tmp_path, CONTROL_SETTINGS[: CONTROL_SETTINGS.index("  configuration")])
    )
    assert config.configuration is None, "the endpoint list is followed only if the settings say so"


def test_a_control_machine_may_renew_leases_and_must_know_the_longest_deadline(tmp_path: Path) -> None:
    text = CONTROL_SETTINGS + "region: {name: east, source: agreed, longest_deadline_ms: 8000}\n"
    config = check(write_copies_settings(tmp_path, text))
    assert config.region is not None and config.region.longest_deadline_ms == 8000.0
    found = problems(write_copies_settings(tmp_path, text.replace(", longest_deadline_ms: 8000", "")))
    assert len(found) == 1 and "region.longest_deadline_ms is needed: a control machine" in found[0]
    found = problems(
        write_copies_settings(tmp_path, SETTINGS.replace("name: east", "name: east, longest_deadline_ms: 9"))
    )
    assert len(found) == 1 and "here the classes give it" in found[0]


@pytest.mark.parametrize(
    ("old", "new", "line", "problem"),
    [
        ("peers: {copies: copies.yaml, keys: [peers.key]}\n", "", 1, "peers: is missing"),
        ("name: s1,", "name: s1, slots: 3,", 1, "sender.slots: is no known field"),
        ("[s1, s2, s3]", "[s1, s2]", 3, "an odd number is needed"),
        ("list: endpoints.yaml", "list: 3", 5, "agreed.configuration.list: "),
        ("confirm_removed: 7", "confirm_removed: -1", 5, "agreed.configuration.confirm_removed: "),
        ("confirm_removed: 7", "confirm_removed: many", 5, "agreed.configuration.confirm_removed: "),
        ("confirm_removed", "removed", 5, "agreed.configuration.removed: is no known field"),
        (
            "list: endpoints.yaml, ",
            "",
            5,
            "confirm_destinations, confirm_removed: only for the copy whose list is edited",
        ),
    ],
)
def test_bad_settings(tmp_path: Path, old: str, new: str, line: int, problem: str) -> None:
    assert old in CONTROL_SETTINGS
    found = problems(write_copies_settings(tmp_path, CONTROL_SETTINGS.replace(old, new, 1)))
    assert len(found) == 1 and f"s.yaml:{line}: " in found[0] and problem in found[0], found


def test_incomplete_sender_settings_list_what_to_remove(tmp_path: Path) -> None:
    text = SETTINGS[: SETTINGS.index("forward:")] + SETTINGS[SETTINGS.index("endpoints:") :]
    found = problems(write_copies_settings(tmp_path, text))
    assert len(found) == 1 and "no message could be submitted; a control machine has none of" in found[0]
    assert "classes, endpoints, kinds" in found[0]


def test_the_edited_list_is_read_and_each_problem_has_its_line(tmp_path: Path) -> None:
    path = write_copies_settings(tmp_path, CONTROL_SETTINGS)
    (tmp_path / "endpoints.yaml").write_text("endpoints:\n  - {name: a, url: 'ftp://x/', partner: p}\n")
    found = problems(path)
    assert len(found) == 1 and "endpoints.yaml:2: endpoints[0].url: " in found[0]
    (tmp_path / "endpoints.yaml").unlink()
    assert "No such file" in problems(path)[0]
    assert isinstance(check(path, edited=False), ControlConfig), "a start does not read the edited list"


def test_a_sender_whose_list_comes_from_the_log_has_no_list_file(tmp_path: Path) -> None:
    path = write_copies_settings(tmp_path, LOG_LIST_SETTINGS)
    (tmp_path / "endpoints.yaml").unlink()
    config = check(path)
    assert isinstance(config, Config) and config.endpoints_in_log
    path = write_copies_settings(tmp_path, LOG_LIST_SETTINGS.replace(", configuration: {}", ""))
    found = problems(path)
    assert len(found) == 1 and "endpoints: agreed needs agreed.configuration" in found[0], found


def test_an_edited_list_must_fit_the_settings_of_the_sender_that_proposes_it(tmp_path: Path) -> None:
    path = write_copies_settings(
        tmp_path, LOG_LIST_SETTINGS.replace("configuration: {}", "configuration: {list: endpoints.yaml}")
    )
    assert isinstance(check(path), Config)
    listed = (tmp_path / "endpoints.yaml").read_text()
    (tmp_path / "endpoints.yaml").write_text(listed.replace("kind: collectors", "kind: other"))
    assert "kind 'other' is not in the settings" in problems(path)[0]


def test_a_list_file_named_agreed_is_still_a_file(tmp_path: Path) -> None:
    path = write_copies_settings(tmp_path, SETTINGS.replace("endpoints: endpoints.yaml", "endpoints: agreed"))
    (tmp_path / "endpoints.yaml").rename(tmp_path / "agreed")
    config = check(path)
    assert isinstance(config, Config) and not config.endpoints_in_log
