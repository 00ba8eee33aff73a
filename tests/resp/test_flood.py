"""Many clients that each send part of a command: buffered bytes are limited, and other clients are served."""

from __future__ import annotations

import pytest

from brassweir.resp.admission import Admission
from brassweir.resp.codec import OK
from tests.resp.harness import Harness, put
from tests.resp.test_closing import run_scenario


@pytest.mark.parametrize("part", [60_000, 30])
def test_incomplete_commands_stay_within_the_buffer_limit(part: int) -> None:
    async def scenario(harness: Harness) -> None:
        admission, submitter = harness.front.admission, await harness.client()
        for i in range(40):
            flooder = await harness.client()
            flooder.send(put(f"h{i}", body=b"x" * 60_000)[:part])
            await harness.wait_until(lambda: admission.clients[harness.front.last_id].buffered_bytes)
            if not i:
                admission.max_buffered_bytes = 5.5 * admission.buffered_bytes
            assert admission.buffered_bytes <= admission.max_buffered_bytes
            if i % 10 == 0:
                submitter.send(put(f"u{i}", "note"))
                assert await harness.loop.sock_recv(submitter, 100) == OK
        assert len(harness.front.connections) == 6 and harness.front.counts.dropped == 35

    run_scenario(scenario)


def test_buffered_bytes_of_removed_or_complete_clients_are_not_counted() -> None:
    admission = Admission(10, 10, 100.0)
    clients = []
    for client_id in range(4):
        admission.admit(client_id, float(client_id))
        clients.append(admission.clients[client_id])
    admission.mark_submitted(0)
    assert admission.set_buffered(clients[0], 90) is None
    assert admission.set_buffered(clients[1], 10) is None
    assert admission.set_buffered(clients[2], 10) == 1, "the longest inactive newcomer is closed first"
    admission.remove(1)
    assert admission.buffered_bytes == 100
    admission.remove(2)
    assert admission.set_buffered(clients[3], 0) is None and admission.set_buffered(clients[0], 101) == 0
    assert admission.set_buffered(clients[0], 0) is None
    for client_id in (0, 3):
        admission.remove(client_id)
    admission.remove(0)
    assert admission.buffered_bytes == 0
