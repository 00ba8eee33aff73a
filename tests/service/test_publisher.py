"""Publishing an operator's edit: agreed, refused with file, line and field, or outdated."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from pathlib import Path

import pytest

from brassweir.agreed.events import Outcome, OutcomeKind
from brassweir.config.load import ConfigError
from brassweir.config.model import ConfigurationModel
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.service.editedlist import read_edited
from brassweir.service.publisher import Edit, Publisher
from tests.configstream.samples import level_2


def line(name: str, more: str = "", destination: str = "d") -> str:
    return f'{{"name": "{name}", "url": "http://h/{name}", "destination": "{destination}"{more}}}\n'


class Operator:
    """A copy with a publisher that proposes to its own state machine."""

    def __init__(self, home: Path, machine: ConfiguredMachine, name: str = "a") -> None:
        self.machine, self.home, self.name = machine, home, name
        self.notes: list[tuple[str, dict[str, object]]] = []
        self.losses: list[OutcomeKind] = []  # outcomes of the next proposals, which are applied all the same
        self.publisher = Publisher(
            name, machine, self.propose, home, lambda event, more: self.notes.append((event, more))
        )

    async def propose(self, command: bytes, timeout_ms: float) -> Outcome:
        index = self.machine.state.index + 1
        result = self.machine.apply(index, command)
        if self.losses:
            return Outcome(self.losses.pop(0))
        return Outcome(OutcomeKind.AGREED, index, result)

    async def edit(self, text: str, removed: int = 0, destinations: int = 0) -> Edit:
        (self.home / f"{self.name}.jsonl").write_text(text)
        given = ConfigurationModel(
            list=Path(f"{self.name}.jsonl"), confirm_removed=removed, confirm_destinations=destinations
        )
        self.publisher.publish(given)
        assert self.publisher.task is not None
        await asyncio.wait([self.publisher.task])
        return self.publisher.edit


def run(work: Coroutine[None, None, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 60.0))


def test_an_edit_becomes_a_version_and_the_same_list_none(tmp_path: Path) -> None:
    async def work() -> None:
        operator = Operator(tmp_path, level_2(ConfiguredMachine()))
        edit = await operator.edit(line("x") + line("y"))
        assert edit == Edit("agreed", 1, operator.machine.configuration.version) and edit.version
        assert operator.notes[-1][0] == "configuration_agreed" and operator.notes[-1][1]["changed"] == 2
        assert (await operator.edit(line("y") + line("x"))) == Edit("unchanged", 2, edit.version)
        assert operator.machine.configuration.by == "a"

    run(work())


def test_a_version_of_many_commands_is_agreed_and_an_unknown_end_is_tried_again(tmp_path: Path) -> None:
    async def work() -> None:
        operator = Operator(tmp_path, level_2(ConfiguredMachine()))
        text = "".join(line(f"x{n}", destination=f"d{n * 7919 % 10_007:05}") for n in range(2_000))
        operator.losses = [OutcomeKind.UNKNOWN, OutcomeKind.REFUSED]
        edit = await operator.edit(text)
        assert edit.state == "agreed" and operator.machine.configuration.catalog.size == 2_000
        assert operator.machine.state.index > 5, "more than one command"

    run(work())


def test_an_unconfirmed_removal_is_refused_with_its_numbers(tmp_path: Path) -> None:
    async def work() -> None:
        operator = Operator(tmp_path, level_2(ConfiguredMachine()))
        before = (await operator.edit(line("x", destination="d") + line("y", destination="e"))).version
        edit = await operator.edit(line("x", destination="d"))
        assert edit.state == "refused" and edit.field == "removed" and "1 of 2" in edit.why
        edit = await operator.edit(line("x", destination="d"), removed=1)
        assert edit.field == "destinations" and "e" in edit.why
        assert operator.machine.configuration.version == before
        assert (await operator.edit(line("x", destination="d"), removed=1, destinations=1)).state == "agreed"

    run(work())


def test_bad_entries_name_file_and_line(tmp_path: Path) -> None:
    async def work() -> None:
        operator = Operator(tmp_path, level_2(ConfiguredMachine()))
        edit = await operator.edit(line("x") + "\n" + line("y", ', "rate": -1'))
        assert edit.state == "refused" and f"{tmp_path}/a.jsonl:3: rate: " in edit.why
        edit = await operator.edit(line("x") + line("y", ', "kind": "k\\u00fc"'))
        assert f"{tmp_path}/a.jsonl:2: endpoint y: kind: " in edit.why
        assert operator.machine.configuration.version == 0 and len(operator.notes) == 2

    run(work())


def test_bad_entries_of_a_yaml_list_name_file_and_line(tmp_path: Path) -> None:
    path = tmp_path / "list.yaml"
    path.write_text(
        "endpoints:\n  - {name: a, url: 'http://h/a', destination: d}\n"
        "  - name: b\n    url: 'http://h/ä'\n    destination: d\n"
    )
    with pytest.raises(ConfigError) as caught:
        read_edited(path)
    assert len(caught.value.problems) == 1
    assert caught.value.problems[0].startswith(f"{path}:3: endpoint b: url: ")


def test_an_edit_made_from_an_older_version_is_refused_once_and_shown_what_is_in_force(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        machine = level_2(ConfiguredMachine())
        one, other = Operator(tmp_path, machine), Operator(tmp_path, machine, "b")
        await one.edit(line("x"))
        edit = await other.edit(line("x") + line("y"))
        assert edit.field == "after" and "a version that is not known here" in edit.why, (
            "the first edit at this copy"
        )
        second = await other.edit(line("x") + line("y"))
        assert second.state == "agreed"
        edit = await one.edit(line("x") + line("z"))
        assert edit.state == "refused" and edit.field == "after"
        assert f"version {second.version} by b is in force" in edit.why
        assert '"y"' in (tmp_path / "a.in-force.jsonl").read_text()
        assert len(read_edited(tmp_path / "a.in-force.jsonl")) == 2
        anew = Operator(tmp_path, machine)  # the base version survives a restart
        assert (await anew.edit(line("x") + line("y") + line("z"))).state == "agreed"

    run(work())


def test_a_version_that_comes_first_while_the_edit_is_on_its_way_wins(tmp_path: Path) -> None:
    async def work() -> None:
        machine = level_2(ConfiguredMachine())
        one, other = Operator(tmp_path, machine), Operator(tmp_path, machine, "b")
        propose = one.propose

        async def late(command: bytes, timeout_ms: float) -> Outcome:
            await other.edit(line("y"))
            return await propose(command, timeout_ms)

        one.publisher.propose = late
        edit = await one.edit(line("x"))
        assert edit.field == "after" and machine.configuration.by == "b"
        assert [entry.name for entry in machine.configuration.catalog.entries()] == ["y"]

    run(work())


def test_one_edit_at_a_time_and_none_without_a_list(tmp_path: Path) -> None:
    async def work() -> None:
        operator = Operator(tmp_path, level_2(ConfiguredMachine()))
        operator.publisher.publish(ConfigurationModel())
        assert operator.publisher.task is None
        (tmp_path / "a.jsonl").write_text(line("x"))
        given = ConfigurationModel(list=Path("a.jsonl"))
        operator.publisher.publish(given)
        operator.publisher.publish(given)
        assert "still on its way" in str(operator.notes[-1][1]["error"])
        assert operator.publisher.task is not None
        await operator.publisher.task
        assert operator.publisher.edit.state == "agreed"

    run(work())
