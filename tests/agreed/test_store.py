"""The directory: crashes at every step, torn and damaged bytes; messages of later versions."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from brassweir.agreed import messages as m
from brassweir.agreed.records import Ballot, Commit, LogAppend, Truncate
from brassweir.agreed.store import Store, StoreDamaged, recover
from brassweir.lab.simulated.disk import MODES, Crash, SimStorage


def entry(index: int, term: int = 1) -> m.Entry:
    return m.Entry(index, term, m.COMMAND, b"x" * index)


def use(disk: SimStorage) -> list[tuple[int, int, int, int]]:
    """Fill a directory; returns generation, term, last index and commit index after each durable call."""
    states = [(0, 0, 0, 0)]
    try:
        store = Store(disk, Random(1))
        states.append((1, 0, 0, 0))
        store.write((Ballot(1, "a"), LogAppend((entry(1), entry(2), entry(3)))))
        states.append((1, 1, 3, 0))
        store.write((Commit(2), Truncate(3), LogAppend((entry(3, 2),))))
        states.append((1, 1, 3, 2))
        store.write_whole(tuple(recover(disk)[0].to_records()))
        store.write((Ballot(2, ""),))
        states.append((1, 2, 3, 2))
        Store(disk, Random(2))
        states.append((2, 2, 3, 2))
    except Crash:
        pass
    return states


@pytest.mark.parametrize("mode", MODES)
def test_a_crash_at_any_step_loses_nothing_that_was_durable(mode: str) -> None:
    whole = SimStorage()
    states = use(whole)
    for step in range(1, whole.step + 1):
        disk = SimStorage()
        disk.crash_at = step
        durable = use(disk)
        kept, _ = recover(disk.after(mode, Random(step)))
        recovered = (kept.identity.generation, kept.ballot.term, kept.last_index, kept.commit_index)
        assert recovered in (durable[-1], states[min(len(durable), len(states) - 1)]), (step, recovered)


def test_damage_with_good_writes_behind_it_is_refused_and_a_torn_end_is_not() -> None:
    disk = SimStorage()
    use(disk)
    store = Store(disk, Random(3))
    for index in range(4, 9):
        store.write((LogAppend((entry(index),)),))
    name = f"log-{store.number}"
    whole = disk.read(name)
    for at in range(8, len(whole)):
        disk.synced[name] = whole[:at]
        assert recover(disk)[0].last_index <= 8
        disk.synced[name] = whole[:at] + bytes([whole[at] ^ 4]) + whole[at + 1 :]
        try:
            assert recover(disk)[0].last_index == 7  # the last write only, or its very end
            assert at >= len(whole) - len(store_frame(8))
        except StoreDamaged as error:
            assert "set the folder aside" in str(error)
    for lost in (name, f"base-{store.number}"):
        files = {**disk.synced, name: whole}
        del files[lost]
        with pytest.raises(StoreDamaged, match="missing"):
            recover(SimStorage(files))


def store_frame(index: int) -> bytes:
    from brassweir.agreed.store import frame

    return frame(4, (LogAppend((entry(index),)),))


def test_later_versions_are_read_where_they_can_be_and_dropped_where_not() -> None:
    envelope = m.Envelope(1, "g", "id", 1, 2, m.PullEntries(7))
    raw = msgspec.msgpack.decode(m.encode(envelope))
    raw[0], raw[5] = 2, [*raw[5], "a new field"]
    later = m.decode(msgspec.msgpack.encode([*raw, "another"]))
    assert later.body == m.PullEntries(7) and later.version == 2
    for body in ([99, 1], [6, -1], [6, "x"], [6], 7):
        with pytest.raises(m.UnreadableMessage):
            m.decode(msgspec.msgpack.encode([*raw[:5], body]))
    with pytest.raises(m.UnreadableMessage):
        m.decode(b"\xc1")
