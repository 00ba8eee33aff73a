"""The relay and its tape: what passes, what does not, and the same draws for a seed."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from brassweir.lab.between import tape as tapes
from brassweir.lab.between.fate import Fates
from brassweir.lab.between.relay import Relay
from brassweir.lab.between.schedule import Fault, of_text
from brassweir.lab.between.tape import Fate

SITES = {"a": "north", "b": "north", "c": "south"}


def faults(*rows: str) -> tuple[Fault, ...]:
    return of_text("faults:\n" + "".join(f"- {row}\n" for row in rows)).faults


def cut(fates: Fates, now: float = 1.0) -> set[str]:
    return {f"{a}{b}" for a in SITES for b in SITES if a != b and fates.of(now, a, b).fate is Fate.CUT}


@pytest.mark.parametrize(
    ("row", "struck"),
    [
        ("{at: 1, what: cut, between: [a, c]}", {"ac", "ca"}),
        ("{at: 1, what: oneway, between: [a, c]}", {"ac"}),
        ("{at: 1, what: oneway, between: [south, north]}", {"ca", "cb"}),
        ("{at: 1, what: isolate, who: north}", {"ac", "ca", "bc", "cb"}),
        ("{at: 1, what: isolate, who: a}", {"ab", "ba", "ac", "ca"}),
        ("{at: 2, what: isolate, who: a}", set()),
    ],
)
def test_cuts_lie_where_they_are_said_to(row: str, struck: set[str]) -> None:
    assert cut(Fates(1, SITES, faults(row))) == struck
    assert not cut(Fates(1, SITES, faults(row)), 3.1)


def test_weather_has_its_shares_and_the_same_draws_for_a_seed() -> None:
    weather = faults(
        "{at: 0, what: weather, for: 9, lose: 0.2, double: 0.1, swap: 0.1, delay: 0.3, delay_ms: 100}"
    )
    drawn = [Fates(7, SITES, weather) for _ in range(2)]
    seen = [[one.of(1.0, "a", "b") for _ in range(2000)] for one in drawn]
    assert seen[0] == seen[1] != [Fates(8, SITES, weather).of(1.0, "a", "b") for _ in range(2000)]
    shares = {fate: sum(one.fate is fate for one in seen[0]) / 2000 for fate in Fate}
    assert shares[Fate.LOST] == pytest.approx(0.2, abs=0.03)
    assert shares[Fate.DOUBLED] == pytest.approx(0.08, abs=0.03)
    assert shares[Fate.SWAPPED] == pytest.approx(0.072, abs=0.03)
    assert all(delay <= 0.1 for one in seen[0] for delay in one.delays)


class _End(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.got: list[bytes] = []

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.got.append(data)


async def _through(rows: tuple[Fault, ...], sent: list[bytes]) -> tuple[list[bytes], Relay]:
    loop = asyncio.get_running_loop()
    transport, end = await loop.create_datagram_endpoint(_End, local_addr=("127.0.0.1", 0))
    relay = Relay({"a": 1, "b": transport.get_extra_info("sockname")[1], "c": 1}, Fates(1, SITES, rows))
    await relay.listen()
    for data in sent:
        transport.sendto(data, ("127.0.0.1", relay.port("a", "b")))
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.25)
    relay.stop()
    transport.close()
    return end.got, relay


SENT = [b"%d" % i for i in range(6)]


@pytest.mark.parametrize(
    ("row", "got"),
    [
        ("{at: 9, what: rolling}", SENT),
        ("{at: 0, what: oneway, between: [a, b], for: 9}", []),
        ("{at: 0, what: oneway, between: [b, a], for: 9}", SENT),
        ("{at: 0, what: weather, for: 9, lose: 1}", []),
        ("{at: 0, what: weather, for: 9, double: 1}", [one for one in SENT for _ in "ab"]),
        ("{at: 0, what: weather, for: 9, swap: 1}", [b"1", b"0", b"3", b"2", b"5", b"4"]),
    ],
)
def test_datagrams_meet_their_fate_over_sockets_and_the_tape_reads_back(
    row: str, got: list[bytes], tmp_path: Path
) -> None:
    found, relay = asyncio.run(_through(faults(row), SENT))
    assert found == got
    assert [(one.sender, one.to, one.size) for one in relay.tape.seen] == [("a", "b", 1)] * 6
    relay.tape.write(tmp_path / "tape")
    assert tapes.read(tmp_path / "tape").seen == relay.tape.seen
    (tmp_path / "tape").write_bytes((tmp_path / "tape").read_bytes()[:-1])
    with pytest.raises(ValueError, match="no tape"):
        tapes.read(tmp_path / "tape")


def test_a_spoilt_datagram_has_one_bit_turned() -> None:
    found, _ = asyncio.run(_through(faults("{at: 0, what: weather, for: 9, spoil: 1}"), SENT))
    assert [(a[0] ^ b[0]).bit_count() for a, b in zip(found, SENT, strict=True)] == [1] * 6


def test_the_kind_is_read_from_the_clear_part() -> None:
    assert tapes.kind_of(bytes(17) + b"\x96\xa4live\xa1a") == "live"
    assert tapes.kind_of(bytes(17) + b"\x96\xa3log\xa1a") == "log"
    assert [tapes.kind_of(one) for one in (b"", bytes(17) + b"\x96\xa4evil", bytes(40))] == ["", "", ""]
