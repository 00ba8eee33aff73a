"""What balancer members and workers mean as endpoints here, and what of them cannot be carried. Pure.

A balancer is a destination, a member one of its endpoints. Weights, sets and standbys say how Apache spreads
its own requests; here the decisions spread messages by what each endpoint shows, so equal weights lose
nothing and others are told. A member that Apache would not use in normal times is not listed as ready.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from brassweir.importers.apache.httpd import Node
from brassweir.importers.apache.jk import Workers
from brassweir.importers.apache.places import Complaint, Place

# Status letters of mod_proxy_balancer: disabled, stopped, in error, hot standby, hot spare, draining, ignore
# errors, failed health check.
LETTERS = "DSIHRENC"
QUIET = frozenset(
    {
        "ping",
        "flushpackets",
        "iobuffersize",
        "keepalive",
        "responsefieldsize",
        "upgrade",
        "ttl",
        "min",
        "smax",
        "acquire",
        "disablereuse",
        "enablereuse",
        "receivebuffersize",
        "addressttl",
    }
)


@dataclass(frozen=True, slots=True)
class Member:
    """One endpoint as it was described."""

    balancer: str
    url: str
    place: Place
    weight: float = 1.0
    tier: int = 0
    standby: bool = False
    spare: bool = False
    state: str = "ready"
    route: str = ""
    most: int = 0  # connections at most


@dataclass(slots=True)
class Meaning:
    """All endpoints, and all complaints."""

    members: list[Member] = field(default_factory=list)
    complaints: list[Complaint] = field(default_factory=list)

    def say(self, place: Place, what: str, lost: bool = True) -> None:
        """Note a complaint."""
        self.complaints.append(Complaint(place, what, lost))


def of_httpd(nodes: Iterable[Node]) -> Meaning:
    """Balancers of httpd directives, in every scope."""
    made = Meaning()
    defaults: dict[str, dict[str, str]] = {}
    found: list[tuple[str, Node, dict[str, str]]] = []
    for scope, node in _walk(nodes, ""):
        texts = node.texts()
        if node.name == "balancermember":
            name = scope
            if texts and texts[0].startswith("balancer://"):
                name, texts = _balancer(texts[0]), texts[1:]
            if not name or not texts:
                made.say(node.place, "BalancerMember without a balancer or URL")
                continue
            found.append((name, node, {"": texts[0], **_parameters(texts[1:], node.place, made)}))
        elif node.name == "proxyset":
            if texts and texts[0].startswith("balancer://"):
                scope, texts = _balancer(texts[0]), texts[1:]
            defaults.setdefault(scope, {}).update(_parameters(texts, node.place, made))
        elif node.name in ("proxypass", "proxypassmatch") and any("balancer://" in text for text in texts):
            made.say(
                node.place,
                f"{node.name}: which requests go to a balancer is not carried; clients name destinations",
                lost=False,
            )
    for name, node, given in found:
        made.members.append(_member(name, node, given, made))
    _balancers(made, defaults)
    return made


def _walk(nodes: Iterable[Node], scope: str) -> Iterator[tuple[str, Node]]:
    for node in nodes:
        if node.inner is None:
            yield scope, node
            continue
        own = scope
        if node.name == "proxy" and node.words and node.words[0].text.startswith("balancer://"):
            own = _balancer(node.words[0].text)
            if len(node.words) > 1:
                yield own, Node("proxyset", node.words[1:], node.place)
        yield from _walk(node.inner, own)


def _balancer(url: str) -> str:
    return url.removeprefix("balancer://").rstrip("/").lower()


def _parameters(texts: list[str], place: Place, made: Meaning) -> dict[str, str]:
    out: dict[str, str] = {}
    for text in texts:
        key, equals, value = text.partition("=")
        if not equals:
            made.say(place, f"{text!r} is no key=value")
        else:
            out[key.lower()] = value
    return out


def _member(name: str, node: Node, given: dict[str, str], made: Meaning) -> Member:
    weight = _number(given.pop("loadfactor", "1"), "loadfactor", 1.0, node.place, made)
    tier = int(_number(given.pop("lbset", "0"), "lbset", 0.0, node.place, made))
    flags = _flags(given.pop("status", ""), node.place, made)
    state = "gone" if flags["D"] or flags["S"] else "draining" if flags["N"] else "ready"
    for letter, words in (("I", "in error"), ("C", "failed its health check")):
        if flags[letter]:
            made.say(node.place, f"status {letter}: that it {words} is found out anew here", lost=False)
    if flags["E"]:
        made.say(node.place, "status E (ignore errors): errors always count here")
    route, most = given.pop("route", ""), int(_number(given.pop("max", "0"), "max", 0.0, node.place, made))
    for key in ("retry", "timeout", "connectiontimeout", "redirect", "secret"):
        if key in given:
            made.say(
                node.place,
                f"{key}={'...' if key == 'secret' else given[key]} is not carried: set it in the settings",
                lost=key in ("redirect", "secret"),
            )
            del given[key]
    url = given.pop("")
    for key in sorted(given):
        if key not in QUIET and not key.startswith("hc"):
            made.say(node.place, f"{key}={given[key]} is not known")
        elif key.startswith("hc"):
            made.say(
                node.place, f"{key}: health checks are not carried; traffic itself shows health", lost=False
            )
    return Member(name, url, node.place, weight, tier, flags["H"], flags["R"], state, route, most)


def _flags(text: str, place: Place, made: Meaning) -> dict[str, bool]:
    """``+H-D`` and the like, each letter set or cleared; without a sign it is set."""
    flags = dict.fromkeys(LETTERS, False)
    on = True
    for letter in text.upper():
        if letter in "+-":
            on = letter == "+"
        elif letter in flags:
            flags[letter] = on
        else:
            made.say(place, f"status {letter!r} is not known")
    return flags


def _number(text: str, what: str, default: float, place: Place, made: Meaning) -> float:
    if not re.fullmatch(r"\d+(?:\.\d+)?", text):
        made.say(place, f"{what}={text} is no number")
        return default
    return float(text)


ACTIVATION = {"a": "ready", "d": "gone", "s": "gone"}  # active, disabled, stopped


def of_jk(workers: Workers) -> Meaning:
    """Load balancers of a workers file."""
    made = Meaning(complaints=list(workers.complaints))
    for name in sorted(workers.workers):
        if workers.get(name, "type") != "lb":
            continue
        where = workers.workers[name].values
        place = next(iter(where.values()))[1]
        for one in re.split(r"[,\s]+", workers.get(name, "balance_workers")):
            if not one:
                continue
            if one not in workers.workers:
                made.say(place, f"{name} balances {one}, which is no worker")
                continue
            own = next(iter(workers.workers[one].values.values()))[1]
            state = ACTIVATION.get(workers.get(one, "activation", "a")[:1].lower(), "")
            if not state:
                made.say(own, f"{one}: activation {workers.get(one, 'activation')!r} is not known")
            host, port = workers.get(one, "host", "localhost"), workers.get(one, "port", "8009")
            kind = workers.get(one, "type", "ajp13")
            distance = int(_number(workers.get(one, "distance", "0"), "distance", 0.0, own, made))
            weight = _number(workers.get(one, "lbfactor", "1"), "lbfactor", 1.0, own, made)
            if workers.get(one, "redirect"):
                made.say(own, f"{one}: redirect to {workers.get(one, 'redirect')} is not carried")
            made.members.append(
                Member(
                    name,
                    f"{kind.removesuffix('13').removesuffix('14')}://{host}:{port}",
                    own,
                    weight,
                    distance,
                    False,
                    False,
                    state or "gone",
                    workers.get(one, "route", one),
                )
            )
    _balancers(made, {})
    return made


def _balancers(made: Meaning, defaults: dict[str, dict[str, str]]) -> None:
    """What holds for a balancer as a whole."""
    for name in sorted({one.balancer for one in made.members}):
        mine = [one for one in made.members if one.balancer == name]
        place = mine[0].place
        ready = [one for one in mine if one.state == "ready"]
        urls: dict[str, Member] = {}
        for one in mine:
            before = urls.setdefault(one.url.rstrip("/").lower(), one)
            if before is not one:
                made.say(one.place, f"{one.url} stands twice in {name}: also at {before.place}; kept once")
        made.members = [
            one for one in made.members if one.balancer != name or urls[one.url.rstrip("/").lower()] is one
        ]
        if not ready:
            made.say(place, f"{name}: no member is in use: messages for it will be refused")
        elif all(one.standby or one.spare for one in ready):
            made.say(place, f"{name}: all members are standbys: all are taken as ready")
            made.members = [_active(one) if one.balancer == name else one for one in made.members]
        if len({one.weight for one in ready}) > 1:
            made.say(
                place,
                f"{name}: weights differ ({', '.join(f'{one.weight:g}' for one in ready)}): traffic is "
                "spread here by what each endpoint shows it can do",
            )
        lowest = min((one.tier for one in ready), default=0)
        if any(one.tier > lowest for one in ready):
            made.say(
                place,
                f"{name}: lbset or distance: members beyond the first set are listed as draining until "
                "tiers are carried",
            )
        for key, value in sorted(defaults.get(name, {}).items()):
            if key in ("lbmethod", "stickysession", "nofailover", "maxattempts", "growth", "scolonpathdelim"):
                made.say(
                    place,
                    f"{name}: {key}={value} is not carried",
                    lost=key in ("stickysession", "nofailover"),
                )


def _active(one: Member) -> Member:
    return Member(
        one.balancer, one.url, one.place, one.weight, one.tier, False, False, one.state, one.route, one.most
    )


def entries(made: Meaning, kind: str) -> list[dict[str, object]]:
    """Entries of an endpoint list. What is no http or https URL is complained of and left out."""
    out: list[dict[str, object]] = []
    for name in sorted({one.balancer for one in made.members}):
        mine = [one for one in made.members if one.balancer == name]
        lowest = min((one.tier for one in mine if one.state == "ready"), default=0)
        for number, one in enumerate(mine, 1):
            if not re.match(r"https?://[^/\s]+", one.url):
                made.say(
                    one.place, f"{one.url}: only http is carried, and this is {one.url.partition(':')[0]}"
                )
                continue
            state = one.state
            if state == "ready" and (one.tier > lowest or one.standby or one.spare):
                state = "draining"
                if one.standby or one.spare:
                    made.say(one.place, f"{one.url} is a standby: listed as draining until tiers are carried")
            url = one.url if re.match(r"https?://[^/]+/", one.url) else one.url + "/"
            out.append(
                {
                    "name": f"{name}-{one.route or number}",
                    "url": url,
                    "destination": name,
                    "kind": kind,
                    "state": state,
                }
            )
    return out
