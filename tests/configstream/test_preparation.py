"""Transfers are prepared while their chunks arrive, with the same result as without preparation."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from brassweir.agreed.commands import Result
from brassweir.configstream import commands, delta, publish_plan, validation
from brassweir.configstream.catalog import Catalog
from brassweir.configstream.catalog_builder import CatalogBuilder
from brassweir.configstream.catalog_source import CatalogSource
from brassweir.configstream.chunking import split_delta
from brassweir.configstream.commands import AnyCommand, Commit, Stage
from brassweir.configstream.delta import Delta
from brassweir.configstream.entries import Entry
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.configstream.preparation import Preparation
from brassweir.configstream.publish_plan import PublishPlan
from brassweir.configstream.validation import UNCONFIRMED, Confirmation
from tests.configstream.samples import apply, change, entries, entry, level_2

MANY = 3_000


class Unprepared(CatalogSource):
    """A catalog source without preparation: all work is done at the commit."""

    def new_preparation(self, catalog: Catalog) -> Preparation | None:
        return None


def plan_for(
    machine: ConfiguredMachine, wanted: list[Entry], confirmation: Confirmation = UNCONFIRMED
) -> PublishPlan:
    current = machine.configuration
    plan = publish_plan.make_plan(current.version, current.catalog, wanted, "a", confirmation)
    assert plan is not None
    return plan


def count_calls(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str) -> Callable[[], int]:
    """Wrap a function; return a function that tells how often it was called since the last query."""
    calls, original = [0], getattr(owner, name)

    def call(*given: Any) -> Any:
        calls[0] += 1
        return original(*given)

    def calls_since_last() -> int:
        found, calls[0] = calls[0], 0
        return found

    monkeypatch.setattr(owner, name, call)
    return calls_since_last


def test_the_commit_validates_no_entry(monkeypatch: pytest.MonkeyPatch) -> None:
    machine = level_2(ConfiguredMachine())
    for wanted in (entries(MANY), entries(MANY, 1.0)):
        plan = plan_for(machine, wanted)
        assert len(plan.stage_commands) > 5
        validated = count_calls(monkeypatch, validation, "validate")
        repacked = count_calls(monkeypatch, CatalogBuilder, "_updated_bucket")
        work_per_chunk = []
        for command in plan.stage_commands:
            assert apply(machine, command).ok
            work_per_chunk.append((validated(), repacked()))
        assert sum(validated_entries for validated_entries, _ in work_per_chunk) == MANY
        assert max(work_per_chunk)[0] < 2 * MANY / len(plan.stage_commands), (
            "the work is spread over the chunks"
        )
        assert sum(buckets for _, buckets in work_per_chunk) <= 1_024 + len(plan.stage_commands), (
            "each bucket is repacked once"
        )
        assert apply(machine, plan.final_command).ok and (validated(), repacked()) == (0, 0)
        monkeypatch.undo()
    assert (
        machine.configuration.catalog.digest() == machine.configuration.catalog.apply([], []).catalog.digest()
    )
    assert set(machine.configuration.catalog.entries()) == set(entries(MANY, 1.0))


def test_chunks_from_a_snapshot_are_prepared_as_others_arrive(monkeypatch: pytest.MonkeyPatch) -> None:
    first, restored = level_2(ConfiguredMachine()), ConfiguredMachine()
    plan = plan_for(first, entries(MANY))
    half = len(plan.stage_commands) // 2
    for command in plan.stage_commands[:half]:
        apply(first, command)
    restored.restore(first.snapshot())
    for command in plan.stage_commands[half:]:
        assert apply(restored, command) == apply(first, command)
    validated = count_calls(monkeypatch, validation, "validate")
    assert apply(restored, plan.final_command) == apply(first, plan.final_command) and validated() == 0
    assert restored.digest() == first.digest()


@pytest.mark.parametrize("seed", range(12))
def test_machines_with_and_without_preparation_agree(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(publish_plan, "MAX_CHUNK_BYTES", 150)
    rng = Random(seed)
    machine, unprepared = level_2(ConfiguredMachine()), level_2(ConfiguredMachine(Unprepared()))
    for _ in range(6):
        known = {one.name: one for one in machine.configuration.catalog.entries()}
        drawn = (
            entry(rng.randrange(60), float(rng.randrange(3)), owner=f"d{rng.randrange(9)}") for _ in range(40)
        )
        known |= {one.name: one for one in drawn}
        for name in rng.sample(sorted(known), rng.randrange(5)):
            del known[name]
        try:
            plan = plan_for(machine, list(known.values()), Confirmation(rng.randrange(5), rng.randrange(3)))
        except validation.InvalidChange:
            continue
        log = [*plan.stage_commands, *rng.sample(plan.stage_commands, 2)]
        rng.shuffle(log)
        cut = rng.choice([0, len(log), len(log)])  # all chunks are missing at the first commit, or none
        for data in (*log[:cut], plan.final_command, *log, plan.final_command):
            assert apply(machine, data) == apply(unprepared, data)
            assert machine.snapshot() == unprepared.snapshot()
    assert machine.configuration.version and machine.digest() == unprepared.digest()


def staged(machine: ConfiguredMachine, bodies: list[bytes], digest: str) -> Result:
    log: list[AnyCommand] = [Stage("t", part, body) for part, body in enumerate(bodies)]
    for command in (*log, Commit("t", machine.configuration.version, len(bodies), digest, "a")):
        result = apply(machine, commands.encode(command))
    return result


@pytest.mark.parametrize(
    ("bodies", "field"),
    [
        ([Delta((entry(1, 5.0),)), Delta((entry(1, 6.0),))], "name"),
        ([Delta((entry(1, 5.0),)), Delta((), ("e1",))], "name"),
        ([Delta((entry(1, 5.0),)), Delta((), ("e99",))], "name"),
        ([Delta((entry(1, 5.0),)), Delta((entry(2, -1.0),))], "entry"),
        ([Delta((entry(1, 5.0),)), b"x"], "body"),
        ([Delta((entry(1, 5.0),)), Delta((), ("e2",))], "destinations"),
        ([Delta((entry(9, 5.0),), ("e1", "e2")), Delta((), ("e3", "e4", "e5"))], "removed"),
        ([Delta((entry(1, 5.0),)), Delta((entry(2, 5.0),))], ""),
        ([Delta(), Delta((entry(2, 5.0),))], ""),
        ([Delta((entry(2, 5.0),)), Delta((entry(1, 5.0),))], ""),
    ],
)
def test_malformed_transfers_get_the_result_of_the_full_validation(
    bodies: list[Delta | bytes], field: str
) -> None:
    packed = [one if isinstance(one, bytes) else delta.pack(one) for one in bodies]
    results = []
    for source in (CatalogSource(), Unprepared()):
        machine = level_2(ConfiguredMachine(source))
        apply(machine, change(machine, Delta(tuple(entries(40)))))
        changed = tuple(one for body in bodies if isinstance(body, Delta) for one in body.changed)
        digest = machine.configuration.catalog.apply(changed, ()).catalog.digest()
        results.append((staged(machine, packed, digest), machine.snapshot()))
    assert results[0] == results[1] and results[0][0].field == field and results[0][0].ok == (not field)


def test_chunks_are_bounded_and_add_up_to_the_delta() -> None:
    whole = Delta(tuple(entries(MANY)), tuple(f"x{number}" for number in range(MANY)))
    chunks = split_delta(whole, 2_000)
    assert max(map(len, chunks)) <= 2_000 and len(chunks) < 1.2 * sum(map(len, chunks)) / 2_000 + 1
    read = delta.unpack(b"".join(chunks))
    assert sorted(read.changed, key=lambda one: one.name) == sorted(whole.changed, key=lambda one: one.name)
    assert sorted(read.removed) == sorted(whole.removed)
    assert split_delta(Delta(), 2_000) == [] and len(split_delta(Delta(tuple(entries(3))), 1)) == 3, (
        "an entry is not split"
    )
