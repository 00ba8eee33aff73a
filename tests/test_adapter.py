"""The adapter: replies don't depend on the hash seed, and errors name the malformed field."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from brassweir import interface as api
from brassweir.adapter import Fields, Host, WireError, read_settings
from brassweir.control import Sender
from tests.control.samples import full_list, new_message

LAUNCH = (
    "LAUNCH SenderId=3 Salt=5 Allowed.ConnectTimeout=1000.0 Allowed.MaxAttempts=6 Allowed.MaxOpen=40 "
    "Classes.count=1 Classes.0.Name=c Classes.0.Objective=2000.0 Classes.0.HardLimit=9000.0 "
    "Classes.0.Idempotency=pure Specifics.CallSlots=4 Skus=k Unknown.Setting=1"
)
WIRE = "\n".join(
    [
        "ROUND AtTime=10.0 frame=1",
        LAUNCH,
        "INVENTORY SetId=0 Items=1",
        "ITEM Endpoint=e Locality=z Sku=k Destination=57 Availability=2 CapacityHint=4",
        "ANNOUNCE SenderId=3 How=2 Generation=1 SetId=0",
        "ORDER SenderId=3 RequestId=8 Profile=c Budget=9000.0 ToExchange=57",
        "FLUSH",
        "",
    ]
)


def adapter(text: str, **env: str) -> subprocess.CompletedProcess[str]:
    """Run the adapter with a text as its input."""
    return subprocess.run(
        [sys.executable, "-m", "brassweir.adapter"],
        input=text,
        capture_output=True,
        text=True,
        timeout=60,
        cwd=Path(__file__).parent.parent,
        env={**os.environ, **env},
        check=False,
    )


def test_adapter_answers_the_same_whatever_the_hash_seed() -> None:
    replies = {adapter(WIRE, PYTHONHASHSEED=seed).stdout for seed in ("1", "2", "77")}
    assert len(replies) == 1
    reply = replies.pop()
    assert "TRANSMIT SenderId=3 RequestId=8 AbandonAt=" in reply
    assert reply.endswith("READY frame=1\n")


@pytest.mark.parametrize(
    ("old", "new_text", "word"),
    [
        ("Budget=9000.0", "Budget=soon", "Budget"),
        (" Profile=c", "", "Profile"),
        ("ORDER", "ODER", "ODER"),
        ("CallSlots=4", "CallSlots=0", "slots"),
        ("SetId=0\nORDER", "SetId=7\nORDER", "SetId"),
    ],
)
def test_adapter_names_malformed_fields(old: str, new_text: str, word: str) -> None:
    done = adapter(WIRE.replace(old, new_text))
    assert done.returncode != 0
    assert word in done.stderr


@pytest.mark.parametrize(("mark", "resent"), [(" Resent=1", True), (" Resent=0", False), ("", False)])
def test_adapter_passes_on_the_mark_of_a_repeat(mark: str, resent: bool) -> None:
    line = "ORDER SenderId=0 RequestId=1 Profile=a Budget=900 ToExchange=4" + mark
    event = Host().parse_event("ORDER", 0, Fields(line, line.split(" ")[1:]))
    assert isinstance(event, api.NewMessage)
    assert event.resent is resent


def test_adapter_names_a_malformed_report() -> None:
    line = "ENDED SenderId=0 RequestId=1 Try=0 Status=pass Endpoint=e Stats=0.4,much"
    with pytest.raises(WireError, match="Stats"):
        Host().parse_event("ENDED", 0, Fields(line, line.split(" ")[1:]))


SMALL = (
    "Classes.count=1 Classes.0.Name=a Classes.0.Idempotency=pure Classes.0.HardLimit=9000 "
    "Specifics.CallSlots=3 Allowed.MaxOpen=9 Allowed.MaxAttempts=6 Allowed.ConnectTimeout=1000 "
    "Allowed.MaxRetryAfter=2000 Skus=k,l "
)


def launched(more: str) -> api.Settings:
    """Return the settings of a launch line."""
    return read_settings(Fields(SMALL + more, (SMALL + more).split()))


def test_missing_batch_sizes_have_a_default() -> None:
    kinds = launched("Specifics.KindBatch=20 Specifics.KindApart=false,true").kinds
    assert [kind.batch for kind in kinds] == [20, 1]
    assert [kind.separate_routes for kind in kinds] == [False, True]


@pytest.mark.parametrize(("batch", "word"), [("many,1", "KindBatch"), ("0,1", r"k\.batch")])
def test_invalid_batch_sizes_are_named(batch: str, word: str) -> None:
    with pytest.raises((WireError, api.SettingsError), match=word):
        launched(f"Specifics.KindBatch={batch}")


def test_no_retry_after_where_it_is_not_allowed() -> None:
    sender = Sender(launched("Allowed.RetryAfter=false"), 1, 0.0)
    sender.handle(0.0, [full_list(1)])
    sender._destination(1).gate.on_requested_wait(0.0, 30000.0)
    refused = [
        a for a in sender.handle(1.0, [new_message(1, name="a", left=9000.0)]) if isinstance(a, api.Refuse)
    ]
    assert [a.retry_after for a in refused] == [0.0]
