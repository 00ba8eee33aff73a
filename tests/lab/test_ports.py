"""Ports for listeners: not one that is listened on, and as often as is asked for."""

from __future__ import annotations

import socket

import pytest

from brassweir.lab.rigs.handle import FIRST_PORT, PART, PARTS, free_port


def test_ports_lie_under_those_of_outgoing_connections() -> None:
    assert FIRST_PORT + PART * PARTS <= 32_768


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_that_is_held_is_passed_over(kind: int) -> None:
    with socket.socket(socket.AF_INET, kind) as held:
        port = free_port(kind)
        held.bind(("127.0.0.1", port))
        if kind == socket.SOCK_STREAM:
            held.listen()
        assert port not in {free_port(kind) for _ in range(3 * PART)}


def test_ports_whose_connections_ended_a_moment_ago_are_given_again() -> None:
    for _ in range(PART + 5):
        with socket.create_server(("127.0.0.1", free_port())) as server:
            client = socket.create_connection(server.getsockname())
            accepted, _ = server.accept()
            accepted.close()  # first, so that what rests of it lies on this side
            client.close()
