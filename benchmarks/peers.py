"""What copies cost each other, how soon a dead one is known, and false deaths: the real cores on simulated time.

Prints tables. ``--full`` plays the ten minutes with 340 copies too (about half an hour); else one minute of them.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Sequence

from brassweir.lab.models.peernet import HEADERS, Net, Weather, fleet

SIZES = (4, 32, 340)
BAD = Weather(loss=0.2, soonest=200.0, latest=205.0)
GENERATION = 1_780_000_000_001


def started(copies: int, seed: int) -> Net:
    """A fleet that has run for ten seconds."""
    net = Net(fleet(copies), seed)
    net.start_all()
    net.run(10_000.0)
    return net


def part(values: Sequence[float], share: float) -> float:
    """A quantile."""
    return sorted(values)[min(int(len(values) * share), len(values) - 1)]


def idle(copies: int) -> str:
    """Messages and bytes a second a copy; beside all-to-all heartbeats every half second."""
    net = started(copies, 1)
    messages, size, span = net.messages, net.bytes, 10.0
    cpu = time.process_time()
    net.run(span * 1_000.0)
    cpu = time.process_time() - cpu
    messages, size = net.messages - messages, net.bytes - size
    each = messages / copies / span
    return (
        f"{copies:>6} {each:>10.1f} {size / copies / span:>10.0f} {(size + messages * HEADERS) / copies / span:>12.0f} "
        f"{each / (2.0 * (copies - 1)):>12.2f} {cpu / copies / span:>9.4f}"
    )


def deaths(copies: int, trials: int) -> str:
    """From SIGKILL until others show it dead: each observer, and the last one; and back after a restart."""
    net = started(copies, 2)
    each: list[float] = []
    last: list[float] = []
    back: list[float] = []
    false = 0
    for trial in range(trials):
        name = net.rng.choice(list(net.copies)).name
        others = [copy.name for copy in net.copies if copy.name != name]
        net.run(net.rng.random() * 500.0)
        for word, into in (("dead", last), ("alive", back)):
            net.tape.clear()
            at = net.clock.now()
            if word == "dead":
                net.kill(name)
            else:
                net.start(name, GENERATION + trial)
            net.run(4_500.0)
            took = {who: when - at for when, who, of, what in net.tape if of == name and what == word}
            into.append(max(took.get(who, float("inf")) for who in others))
            each += [took.get(who, float("inf")) for who in others] if word == "dead" else []
            false += sum(what == "dead" and of != name for _, _, of, what in net.tape)
    return (
        f"{copies:>6} {trials:>7} {part(each, 0.5):>9.0f} {part(each, 0.99):>9.0f} {part(last, 0.5):>9.0f} "
        f"{part(last, 0.99):>9.0f} {max(last):>9.0f} {max(back):>9.0f} {false:>6}"
    )


def bad(copies: int, seconds: float) -> str:
    """A fifth lost and 200 ms late, after ten quiet seconds."""
    net = started(copies, 3)
    net.tape.clear()
    net.weather = BAD
    messages, size = net.messages, net.bytes
    net.run(seconds * 1_000.0)
    said = [what for _, _, _, what in net.tape]
    refuted = sum(node.core.table.refuted for node in net.nodes.values())
    return (
        f"{copies:>6} {seconds:>8.0f} {said.count('dead'):>12} {refuted:>10} {(net.messages - messages) / copies / seconds:>10.1f} "
        f"{(net.bytes - size) / copies / seconds:>10.0f}"
    )


def main() -> None:
    """All tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--full", action="store_true")
    full = parser.parse_args().full
    print("idle, a copy\ncopies messages/s    bytes/s with headers of all-to-all CPU share")
    for copies in SIZES:
        print(idle(copies), flush=True)
    print(
        "\nms from kill to shown dead\ncopies  trials  each p50  each p99  last p50  last p99  last max  back max  false"
    )
    for copies, trials in zip(SIZES, (300, 100, 100 if full else 20), strict=True):
        print(deaths(copies, trials), flush=True)
    print("\n20% lost, 200 ms late\ncopies  seconds false deaths    refuted messages/s    bytes/s")
    for copies in SIZES:
        print(bad(copies, 600.0 if full or copies < 340 else 60.0), flush=True)


if __name__ == "__main__":
    main()
