"""Converts balancer members and workers into endpoints and reports what cannot be converted. No I/O.

A balancer becomes a destination, a member one of its endpoints. Load is distributed here by each endpoint's
observed performance, so differing weights are reported as lost. Members that Apache uses only as standbys
or in later sets are listed as draining.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from brassweir.importers.apache.httpd import Node
from brassweir.importers.apache.jk import Workers
from brassweir.importers.apache.places import Place, Problem

# Disabled, stopped, in error, hot standby, hot spare, ignore errors, draining, failed check
LETTERS = "DSIHRENC"
IGNORED_PARAMETERS = frozenset(
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
    """One balancer member or worker as the source describes it."""

    balancer: str
    url: str
    place: Place
    weight: float = 1.0
    tier: int = 0
    standby: bool = False
    spare: bool = False
    state: str = "ready"
    route: str = ""
    max_connections: int = 0  # 0: not given


@dataclass(slots=True)
class Conversion:
    """The converted members and the problems found."""

    members: list[Member] = field(default_factory=list)
    problems: list[Problem] = field(default_factory=list)

    def add(self, place: Place, message: str, lost: bool = True) -> None:
        """Record a problem; ``lost`` if traffic would differ because of it."""
        self.problems.append(Problem(place, message, lost))


def from_httpd(nodes: Iterable[Node]) -> Conversion:
    """Convert the balancers in httpd directives, in every scope."""
    result = Conversion()
    defaults: dict[str, dict[str, str]] = {}
    found: list[tuple[str, Node, dict[str, str]]] = []
    for scope, node in _walk(nodes, ""):
        texts = node.texts()
        if node.name == "balancermember":
            name = scope
            if texts and texts[0].startswith("balancer://"):
                name, texts = _balancer_name(texts[0]), texts[1:]
            if not name or not texts:
                result.add(node.place, "BalancerMember without a balancer or URL")
                continue
            found.append((name, node, {"": texts[0], **_parameters(texts[1:], node.place, result)}))
        elif node.name == "proxyset":
            if texts and texts[0].startswith("balancer://"):
                scope, texts = _balancer_name(texts[0]), texts[1:]
            defaults.setdefault(scope, {}).update(_parameters(texts, node.place, result))
        elif node.name in ("proxypass", "proxypassmatch") and any("balancer://" in text for text in texts):
            result.add(
                node.place,
                f"{node.name}: which requests go to a balancer is not carried; clients name destinations",
                lost=False,
            )
    for name, node, params in found:
        result.members.append(_convert_member(name, node, params, result))
    _check_balancers(result, defaults)
    return result


def _walk(nodes: Iterable[Node], scope: str) -> Iterator[tuple[str, Node]]:
    for node in nodes:
        if node.inner is None:
            yield scope, node
            continue
        inner_scope = scope
        if node.name == "proxy" and node.args and node.args[0].text.startswith("balancer://"):
            inner_scope = _balancer_name(node.args[0].text)
            if len(node.args) > 1:
                yield inner_scope, Node("proxyset", node.args[1:], node.place)
        yield from _walk(node.inner, inner_scope)


def _balancer_name(url: str) -> str:
    return url.removeprefix("balancer://").rstrip("/").lower()


def _parameters(texts: list[str], place: Place, result: Conversion) -> dict[str, str]:
    out: dict[str, str] = {}
    for text in texts:
        key, equals, value = text.partition("=")
        if not equals:
            result.add(place, f"{text!r} is no key=value")
        else:
            out[key.lower()] = value
    return out


def _convert_member(name: str, node: Node, params: dict[str, str], result: Conversion) -> Member:
    weight = _number(params.pop("loadfactor", "1"), "loadfactor", 1.0, node.place, result)
    tier = int(_number(params.pop("lbset", "0"), "lbset", 0.0, node.place, result))
    flags = _flags(params.pop("status", ""), node.place, result)
    state = "gone" if flags["D"] or flags["S"] else "draining" if flags["N"] else "ready"
    for letter, words in (("I", "in error"), ("C", "failed its health check")):
        if flags[letter]:
            result.add(node.place, f"status {letter}: that it {words} is found out anew here", lost=False)
    if flags["E"]:
        result.add(node.place, "status E (ignore errors): errors always count here")
    route, limit = (
        params.pop("route", ""),
        int(_number(params.pop("max", "0"), "max", 0.0, node.place, result)),
    )
    for key in ("retry", "timeout", "connectiontimeout", "redirect", "secret"):
        if key in params:
            result.add(
                node.place,
                f"{key}={'...' if key == 'secret' else params[key]} is not carried: set it in the settings",
                lost=key in ("redirect", "secret"),
            )
            del params[key]
    url = params.pop("")
    for key in sorted(params):
        if key not in IGNORED_PARAMETERS and not key.startswith("hc"):
            result.add(node.place, f"{key}={params[key]} is not known")
        elif key.startswith("hc"):
            result.add(
                node.place, f"{key}: health checks are not carried; traffic itself shows health", lost=False
            )
    return Member(name, url, node.place, weight, tier, flags["H"], flags["R"], state, route, limit)


def _flags(text: str, place: Place, result: Conversion) -> dict[str, bool]:
    """Parse status flags such as ``+H-D``; a letter without a sign is set."""
    flags = dict.fromkeys(LETTERS, False)
    on = True
    for letter in text.upper():
        if letter in "+-":
            on = letter == "+"
        elif letter in flags:
            flags[letter] = on
        else:
            result.add(place, f"status {letter!r} is not known")
    return flags


def _number(text: str, key: str, default: float, place: Place, result: Conversion) -> float:
    if not re.fullmatch(r"\d+(?:\.\d+)?", text):
        result.add(place, f"{key}={text} is no number")
        return default
    return float(text)


ACTIVATION = {"a": "ready", "d": "gone", "s": "gone"}  # active, disabled, stopped


def from_jk(workers: Workers) -> Conversion:
    """Convert the load balancers of a workers file."""
    result = Conversion(problems=list(workers.problems))
    for name in sorted(workers.workers):
        if workers.get(name, "type") != "lb":
            continue
        settings = workers.workers[name].values
        lb_place = next(iter(settings.values()))[1]
        for worker in re.split(r"[,\s]+", workers.get(name, "balance_workers")):
            if not worker:
                continue
            if worker not in workers.workers:
                result.add(lb_place, f"{name} balances {worker}, which is no worker")
                continue
            place = next(iter(workers.workers[worker].values.values()))[1]
            state = ACTIVATION.get(workers.get(worker, "activation", "a")[:1].lower(), "")
            if not state:
                result.add(place, f"{worker}: activation {workers.get(worker, 'activation')!r} is not known")
            host, port = workers.get(worker, "host", "localhost"), workers.get(worker, "port", "8009")
            kind = workers.get(worker, "type", "ajp13")
            distance = int(_number(workers.get(worker, "distance", "0"), "distance", 0.0, place, result))
            weight = _number(workers.get(worker, "lbfactor", "1"), "lbfactor", 1.0, place, result)
            if workers.get(worker, "redirect"):
                result.add(place, f"{worker}: redirect to {workers.get(worker, 'redirect')} is not carried")
            result.members.append(
                Member(
                    name,
                    f"{kind.removesuffix('13').removesuffix('14')}://{host}:{port}",
                    place,
                    weight,
                    distance,
                    False,
                    False,
                    state or "gone",
                    workers.get(worker, "route", worker),
                )
            )
    _check_balancers(result, {})
    return result


def _check_balancers(result: Conversion, defaults: dict[str, dict[str, str]]) -> None:
    """Drop duplicate members, use standbys if no others are ready, and report lost balancer settings."""
    for name in sorted({m.balancer for m in result.members}):
        members = [m for m in result.members if m.balancer == name]
        place = members[0].place
        ready = [m for m in members if m.state == "ready"]
        urls: dict[str, Member] = {}
        for m in members:
            before = urls.setdefault(m.url.rstrip("/").lower(), m)
            if before is not m:
                result.add(m.place, f"{m.url} stands twice in {name}: also at {before.place}; kept once")
        result.members = [
            m for m in result.members if m.balancer != name or urls[m.url.rstrip("/").lower()] is m
        ]
        if not ready:
            result.add(place, f"{name}: no member is in use: messages for it will be refused")
        elif all(m.standby or m.spare for m in ready):
            result.add(place, f"{name}: all members are standbys: all are taken as ready")
            result.members = [_as_active(m) if m.balancer == name else m for m in result.members]
        if len({m.weight for m in ready}) > 1:
            result.add(
                place,
                f"{name}: weights differ ({', '.join(f'{m.weight:g}' for m in ready)}): traffic is "
                "spread here by what each endpoint shows it can do",
            )
        lowest = min((m.tier for m in ready), default=0)
        if any(m.tier > lowest for m in ready):
            result.add(
                place,
                f"{name}: lbset or distance: members beyond the first set are listed as draining until "
                "tiers are carried",
            )
        for key, value in sorted(defaults.get(name, {}).items()):
            if key in ("lbmethod", "stickysession", "nofailover", "maxattempts", "growth", "scolonpathdelim"):
                result.add(
                    place,
                    f"{name}: {key}={value} is not carried",
                    lost=key in ("stickysession", "nofailover"),
                )


def _as_active(m: Member) -> Member:
    return Member(
        m.balancer, m.url, m.place, m.weight, m.tier, False, False, m.state, m.route, m.max_connections
    )


def entries(result: Conversion, kind: str) -> list[dict[str, object]]:
    """Return endpoint list entries; members without an http or https URL are reported and left out."""
    out: list[dict[str, object]] = []
    for name in sorted({m.balancer for m in result.members}):
        members = [m for m in result.members if m.balancer == name]
        lowest = min((m.tier for m in members if m.state == "ready"), default=0)
        for number, m in enumerate(members, 1):
            if not re.match(r"https?://[^/\s]+", m.url):
                result.add(m.place, f"{m.url}: only http is carried, and this is {m.url.partition(':')[0]}")
                continue
            state = m.state
            if state == "ready" and (m.tier > lowest or m.standby or m.spare):
                state = "draining"
                if m.standby or m.spare:
                    result.add(m.place, f"{m.url} is a standby: listed as draining until tiers are carried")
            url = m.url if re.match(r"https?://[^/]+/", m.url) else m.url + "/"
            out.append(
                {
                    "name": f"{name}-{m.route or number}",
                    "url": url,
                    "destination": name,
                    "kind": kind,
                    "state": state,
                }
            )
    return out
