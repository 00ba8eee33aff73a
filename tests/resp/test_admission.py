"""Which connections are closed when clients need more than there is."""

from __future__ import annotations

from brassweir.resp.admission import IDLE_SECONDS, Admission, Decision


def make_admission(max_clients: int, submitters: int, now: float = 0.0, expected: int = 100) -> Admission:
    admission = Admission(max_clients, expected)
    for client_id in range(submitters):
        admission.admit(client_id, now)
        admission.mark_submitted(client_id)
    return admission


def test_newcomers_expire_and_submitters_stay() -> None:
    admission = make_admission(10, 1)
    admission.admit(1, 0.0)
    admission.admit(2, 1.0)
    assert admission.expired(IDLE_SECONDS - 0.1) == []
    assert admission.expired(IDLE_SECONDS) == [1]


def test_new_connection_at_the_limit_replaces_the_oldest_newcomer() -> None:
    admission = make_admission(4, 2)
    admission.admit(2, 0.0)
    admission.admit(3, 0.1)
    assert admission.admit(4, 0.2) == Decision(True, 2, at_once=True)
    admission.remove(2)
    admission.mark_submitted(3)
    assert admission.admit(5, 0.3) == Decision(True, 4, at_once=True)


def test_client_that_stops_within_a_command_expires() -> None:
    admission = make_admission(10, 2)
    admission.clients[1].stalled = True
    assert admission.expired(IDLE_SECONDS / 2) == [] and admission.expired(IDLE_SECONDS) == [1]


def test_busy_client_is_never_closed() -> None:
    admission = make_admission(2, 2)
    admission.clients[0].busy = True
    assert admission.admit(5, IDLE_SECONDS) == Decision(True, 1, at_once=True)
    admission = make_admission(2, 2)
    admission.clients[0].busy = admission.clients[1].busy = True
    assert admission.admit(5, 10.0 * IDLE_SECONDS) == Decision(False)
    assert admission.expired(10.0 * IDLE_SECONDS) == []


def test_longest_idle_clients_are_closed_under_pressure() -> None:
    admission = make_admission(10, 9)
    admission.clients[3].last_active = -0.5
    assert admission.expired(IDLE_SECONDS / 2) == []
    assert admission.expired(IDLE_SECONDS) == [3, 0], "down to 70 % of max_clients"


def test_idle_submitters_are_closed_if_submitters_hold_many_connections() -> None:
    admission = make_admission(100, 6, expected=10)
    admission.clients[2].busy = True
    assert admission.expired(IDLE_SECONDS - 0.1) == [] and admission.expired(IDLE_SECONDS) == [0, 1, 3, 4, 5]
    assert make_admission(100, 5, expected=10).expired(9.0) == [], (
        "at half of the expected number they may stay"
    )


def test_client_that_pings_stays_until_it_stops() -> None:
    admission = make_admission(10, 0)
    admission.admit(1, 0.0)
    admission.clients[1].has_pinged, admission.clients[1].last_active = True, 5.0
    assert admission.expired(5.0 + IDLE_SECONDS / 2) == [] and admission.expired(5.0 + IDLE_SECONDS) == [1]
    admission.clients[1].stalled = True
    assert admission.expired(5.0) == [1], "an incomplete command does not count as activity"


def test_connection_with_bytes_to_read_does_not_give_way() -> None:
    admission = make_admission(4, 0)
    for client_id in range(4):
        admission.admit(client_id, 0.0)
    assert admission.admit(4, 0.1, lambda client_id: client_id == 2) == Decision(True, 2, at_once=True)
    admission.remove(2)
    assert admission.admit(5, 0.1, lambda _: False) == Decision(False), "all are about to be read"


def test_connection_with_part_of_a_command_is_answered_before_it_gives_way() -> None:
    admission = make_admission(12, 0)
    for client_id in range(10):
        admission.admit(client_id, 0.0)
    for client in admission.clients.values():
        client.stalled = True
    for new_client in (10, 11):
        victim = new_client - 10
        assert admission.admit(new_client, 0.1, lambda _: False) == Decision(True, victim)
        admission.mark_closing(victim)
    assert admission.admit(12, 0.2, lambda _: False) == Decision(False), "no descriptor is free"
    assert admission.admit(12, 0.2, lambda client_id: client_id == 1) == Decision(True, 1, at_once=True), (
        "a client that has its replies and does not close"
    )


def test_closing_connections_do_not_expire_or_give_way_again() -> None:
    admission = make_admission(12, 1)
    admission.admit(1, 0.0)
    for client_id in (0, 1):
        admission.mark_closing(client_id)
    assert admission.expired(10.0 * IDLE_SECONDS) == []
    assert admission.admit(2, 10.0 * IDLE_SECONDS) == Decision(True)
