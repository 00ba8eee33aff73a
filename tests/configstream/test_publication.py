"""Publish plans and publications: what is proposed for a list, and how outcomes are handled."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.agreed.commands import Result
from brassweir.agreed.events import OutcomeKind
from brassweir.configstream import publication, publish_plan
from brassweir.configstream.delta import Delta
from brassweir.configstream.entries import Entry
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.configstream.publication import (
    Action,
    ProposalEnded,
    Propose,
    ProposeAbandon,
    Publication,
    Published,
    PublishInputs,
    Rejected,
    Superseded,
    Wait,
)
from brassweir.configstream.publish_plan import PublishPlan
from brassweir.configstream.validation import Confirmation, InvalidChange
from tests.configstream.samples import apply, change, entries, entry, level_2

EndProposal = Callable[[Propose], ProposalEnded]
LIST = entries(40, 1.0)


@pytest.fixture(autouse=True)
def small_chunks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(publish_plan, "MAX_CHUNK_BYTES", 60)


def machine() -> ConfiguredMachine:
    return level_2(ConfiguredMachine())


def plan_for(replica: ConfiguredMachine, wanted: list[Entry] = LIST) -> PublishPlan:
    plan = publish_plan.make_plan(replica.configuration.version, replica.configuration.catalog, wanted, "a")
    assert plan is not None
    return plan


def inputs(replica: ConfiguredMachine, ended: tuple[ProposalEnded, ...] = ()) -> PublishInputs:
    return PublishInputs(
        replica.state.level, replica.configuration.version, replica.configuration.catalog.digest(), ended
    )


def commit(replica: ConfiguredMachine, step: Propose) -> ProposalEnded:
    return ProposalEnded(step.number, OutcomeKind.AGREED, apply(replica, step.command))


def drive(replica: ConfiguredMachine, publishing: Publication, end_proposal: EndProposal) -> list[Action]:
    """Run a publication until it has finished; return the last actions."""
    now, ended = 0.0, tuple[ProposalEnded, ...]()
    while not publishing.finished:
        steps = publishing.step(now, inputs(replica, ended))
        ended = tuple(end_proposal(step) for step in steps if isinstance(step, Propose))
        now += 100.0
    return steps


def test_a_small_change_is_one_command() -> None:
    replica = machine()
    plan = plan_for(replica, [entry(1)])
    assert not plan.stage_commands and (plan.changed, plan.removed, plan.base_version) == (1, 0, 0)
    assert drive(replica, Publication(plan, 0.0), lambda step: commit(replica, step)) == [Published(3)]
    assert replica.configuration.catalog.get("e1") == entry(1)
    assert publish_plan.make_plan(3, replica.configuration.catalog, [entry(1)], "a") is None


def test_a_large_change_is_staged_in_chunks_with_a_window() -> None:
    replica = machine()
    publishing = Publication(plan_for(replica), 0.0)
    chunks = len(publishing.plan.stage_commands)
    assert chunks > 5 and publishing.plan == plan_for(machine()), "a second plan is the same to the byte"
    first = publishing.step(0.0, inputs(replica))
    assert [step.number for step in first if isinstance(step, Propose)] == list(range(chunks))
    ended = tuple(commit(replica, step) for step in first if isinstance(step, Propose))
    assert publishing.step(1.0, inputs(replica, ended[1:])) == [Wait(publication.RETRY_MS)], (
        "the commit waits for all chunks"
    )
    assert publishing.step(2.0, inputs(replica, ended[:1]))[0] == Propose(
        chunks, publishing.plan.final_command
    )
    assert replica.configuration.version == 0
    assert drive(replica, publishing, lambda step: commit(replica, step))[-1] == Rejected(
        "time", "not agreed within 120 s; it may still come in force"
    )
    assert apply(replica, publishing.plan.final_command).ok
    assert Publication(publishing.plan, 0.0).step(0.0, inputs(replica)) == [
        Published(replica.configuration.version)
    ]


def test_an_invalid_list_is_rejected_before_it_is_proposed() -> None:
    replica = machine()
    drive(replica, Publication(plan_for(replica), 0.0), lambda step: commit(replica, step))
    version, known = replica.configuration.version, replica.configuration.catalog
    for wanted, field, endpoint in (
        ([*LIST, entry(1)], "name", "e1"),
        ([*LIST, entry(50, -1.0)], "entry", "e50"),
        (LIST[1:], "destinations", ""),
        ([], "removed", ""),
    ):
        with pytest.raises(InvalidChange) as caught:
            publish_plan.make_plan(version, known, wanted, "a")
        assert (caught.value.field, caught.value.endpoint) == (field, endpoint)
    assert publish_plan.make_plan(version, known, [], "a", Confirmation(40, 40)) is not None


def test_of_two_publications_the_second_is_superseded(monkeypatch: pytest.MonkeyPatch) -> None:
    replica = machine()
    monkeypatch.setattr(publication, "MAX_IN_FLIGHT", 2)
    publishing, other = Publication(plan_for(replica), 0.0), Publication(plan_for(replica, LIST[:20]), 0.0)
    assert [type(step) for step in other.step(0.0, inputs(replica))] == [Propose, Propose, Wait]
    drive(replica, publishing, lambda step: commit(replica, step))
    version = replica.configuration.version
    forget, end = other.step(100.0, inputs(replica))
    assert end == Superseded(version, f"made from version 0, and {version} came first")
    assert isinstance(forget, ProposeAbandon) and apply(replica, forget.command).ok
    assert other.step(200.0, inputs(replica)) == []
    late = Publication(plan_for(machine(), [entry(1)]), 0.0)
    assert drive(
        machine(),
        late,
        lambda step: ProposalEnded(step.number, OutcomeKind.AGREED, Result(False, 9, "after")),
    )[-1] == (Superseded(9, "made from version 0, and 9 came first"))


def test_evicted_chunks_are_staged_again() -> None:
    replica = machine()
    publishing = Publication(plan_for(replica), 0.0)
    dropped: list[int] = []

    def end_proposal(step: Propose) -> ProposalEnded:
        if step.number == len(publishing.plan.stage_commands) and len(dropped) < 1:
            dropped.append(replica.configuration.staging.size)
            replica.configuration.staging.clear()
        return commit(replica, step)

    assert (
        isinstance(drive(replica, publishing, end_proposal)[-1], Published) and publishing.staging_rounds == 2
    )


def test_a_rejection_ends_the_publication_and_drops_its_chunks() -> None:
    replica = machine()
    publishing = Publication(plan_for(replica), 0.0)

    def end_proposal(step: Propose) -> ProposalEnded:
        if step.number < len(publishing.plan.stage_commands):
            return commit(replica, step)
        return ProposalEnded(step.number, OutcomeKind.AGREED, Result(False, 0, "digest", "other endpoints"))

    forget, end = drive(replica, publishing, end_proposal)
    assert end == Rejected("digest", "other endpoints") and replica.configuration.staging.size
    assert isinstance(forget, ProposeAbandon) and apply(replica, forget.command).ok
    assert not replica.configuration.staging.size


def test_nothing_is_proposed_before_log_level_2() -> None:
    replica = ConfiguredMachine()
    publishing = Publication(plan_for(replica), 0.0)
    assert publishing.step(0.0, inputs(replica)) == [Wait(publication.RETRY_MS)]
    assert publishing.step(publication.TIMEOUT_MS, inputs(replica))[-1] == Rejected(
        "time", "level 1 is agreed: not all members read level 2"
    )


@given(st.lists(st.sampled_from(["agreed", "refused", "lost", "doubtful", "other"]), max_size=40))
@settings(max_examples=100, deadline=None)
def test_any_proposal_outcomes_end_with_the_actual_state(drawn: list[str]) -> None:
    replica = machine()
    apply(replica, change(replica, Delta(tuple(entries(3)))))
    publishing, fates = Publication(plan_for(replica), 0.0), iter(drawn)
    made: list[Result] = []

    def end_proposal(step: Propose) -> ProposalEnded:
        match next(fates, "agreed"):
            case "refused":
                return ProposalEnded(step.number, OutcomeKind.REFUSED, reason="no leader")
            case "lost":
                return ProposalEnded(step.number, OutcomeKind.UNKNOWN)
            case "doubtful":
                apply(replica, step.command)
                return ProposalEnded(step.number, OutcomeKind.UNKNOWN)
            case "other" if not made:
                made.append(apply(replica, change(replica, Delta((entry(2, 5.0),)))))
        return commit(replica, step)

    end = drive(replica, publishing, end_proposal)[-1]
    is_current = replica.configuration.catalog.digest() == publishing.plan.digest
    if not made:
        assert is_current and end == Published(replica.configuration.version)
    else:
        assert is_current is isinstance(end, Published) and isinstance(end, Published | Superseded)
