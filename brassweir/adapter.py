"""Speaks the wire on standard input and output and hosts one sender for each instance number."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from typing import NoReturn, TextIO

from brassweir import interface as api
from brassweir.control import Sender

_EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
_RESULTS = {
    "pass": api.Result.OK,
    "fault": api.Result.ERROR,
    "no_room": api.Result.BUSY,
    "too_slow": api.Result.TIMEOUT,
    "no_route": api.Result.NO_CONNECTION,
    "cut": api.Result.RESET,
    "undone": api.Result.CANCELLED,
    "stale_send": api.Result.NOT_STARTED,
}
_STATES = {"1": api.EntryState.GONE, "2": api.EntryState.READY, "3": api.EntryState.DRAINING}
_LISTS = {"0": api.ListKind.DELTA, "1": api.ListKind.FULL, "2": api.ListKind.CACHED, "3": api.ListKind.FAILED}


class WireError(ValueError):
    """A line of the wire cannot be read."""


class Fields:
    """The name=value parts of one line, with plain messages on what is missing or malformed."""

    __slots__ = ("line", "pairs")

    def __init__(self, line: str, parts: Iterable[str]) -> None:
        self.line = line
        self.pairs: dict[str, str] = {}
        for part in parts:
            name, sign, value = part.partition("=")
            if not sign:
                raise WireError(f"part {part!r} has no '=' in line: {line[:200]}")
            self.pairs[name] = value

    def text(self, name: str, default: str | None = None) -> str:
        """A field as it stands."""
        value = self.pairs.get(name, default)
        if value is None:
            raise WireError(f"field {name} is missing in line: {self.line[:200]}")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """A finite number."""
        value = self.pairs.get(name)
        if value is None and default is not None:
            return default
        try:
            number = float(self.text(name))
        except ValueError as error:
            if isinstance(error, WireError):
                raise
            raise self.bad(name) from None
        if number != number or number in (float("inf"), float("-inf")):
            raise self.bad(name)
        return number

    def whole(self, name: str, default: int | None = None) -> int:
        value = self.pairs.get(name)
        if value is None and default is not None:
            return default
        try:
            return int(self.text(name))
        except ValueError as error:
            if isinstance(error, WireError):
                raise
            raise self.bad(name) from None

    def bad(self, name: str) -> WireError:
        """The complaint about one field."""
        return WireError(
            f"field {name} has the bad value {self.pairs.get(name)!r} in line: {self.line[:200]}"
        )


def read_settings(fields: Fields) -> api.Settings:
    """Turn the settings of a launch into the library's; unknown ones are ignored."""
    get, num, whole = fields.text, fields.number, fields.whole

    def flag(name: str) -> bool:
        return get(name, "false") in ("true", "1")

    def words(name: str) -> list[str]:
        return [word for word in get(name, "").split(",") if word]

    classes = []
    for i in range(whole("Classes.count")):
        at = f"Classes.{i}."
        effect = _EFFECTS.get(get(at + "Idempotency"))
        if effect is None:
            raise fields.bad(at + "Idempotency")
        deadline = num(at + "HardLimit")
        classes.append(
            api.MessageClass(
                name=get(at + "Name"),
                aim=num(at + "Objective", deadline),
                deadline=deadline,
                effect=effect,
                late_worth=num(at + "LateWorth", 0.0),
                group=get(at + "Group", "all"),
                window=num(at + "Window", 0.0),
                in_order=flag(at + "Sequential"),
            )
        )
    apart, batch = words("Specifics.KindApart"), words("Specifics.KindBatch")
    try:
        kinds = tuple(
            api.DestinationKind(
                name, i < len(apart) and apart[i] == "true", int(batch[i]) if i < len(batch) else 1
            )
            for i, name in enumerate(words("Skus"))
        )
    except ValueError:
        raise WireError(f"field Specifics.KindBatch is bad: {fields.line[:200]}") from None
    told = flag("Allowed.RetryAfter")
    return api.Settings(
        classes=tuple(classes),
        slots=whole("Specifics.CallSlots"),
        max_open=whole("Allowed.MaxOpen"),
        senders=whole("Balancers", 1),
        kinds=kinds,
        max_attempts=whole("Allowed.MaxAttempts"),
        connect_timeout=num("Allowed.ConnectTimeout"),
        idle_close=num("Allowed.IdleClose", 0.0),
        max_retry_after=num("Allowed.MaxRetryAfter", 0.0) if told else 0.0,
        tick=num("Resolution", 1.0),
        concurrent_attempts=flag("Allowed.SecondCopies"),
        request_list=get("RegistryMode", "push") == "ask",
        request_list_within=num("Rules.AskWithin", 10000.0),
        weights=get("Weights", "none"),
        worth_halves=get("Specifics.Decay", "even") == "by_half",
        cold=num("Rules.Cold", 0.0),
        start_capacity=num("Rules.StartCapacity", 1.0),
        tip_multiple=num("Rules.TipMultiple", 1.0),
        order_pause=num("Rules.OrderPause", 0.0),
    )


class Host:
    """Keeps the instances and turns batches into replies."""

    def __init__(self) -> None:
        self.senders: dict[int, Sender] = {}
        self.reports: dict[int, dict[str, int]] = {}
        self.lists: dict[int, tuple[api.EndpointInfo, ...]] = {}
        self.filling: list[api.EndpointInfo] = []
        self.fill_id, self.fill_left = 0, 0
        self.batches: dict[int, list[api.Event]] = {}
        self.launches: dict[int, tuple[int, api.Settings]] = {}

    def event(self, line: str) -> None:
        """Take one event line of the open batch."""
        name, *parts = line.split(" ")
        fields = Fields(line, parts if name != "LAUNCH" else _launch_parts(parts))
        if name == "ITEM":
            return self.item(fields)
        if self.fill_left:
            raise WireError(f"{self.fill_left} ITEM lines are missing before line: {line[:200]}")
        if name == "INVENTORY":
            self.fill_id, self.fill_left, self.filling = fields.whole("SetId"), fields.whole("Items"), []
            if not self.fill_left:
                self.lists[self.fill_id] = ()
            return None
        me = fields.whole("SenderId")
        if name == "LAUNCH":
            names = fields.text("Report.Names", "").split(",")
            self.reports[me] = {word: i for i, word in enumerate(names)}
            self.launches[me] = (fields.whole("Salt"), read_settings(fields))
            self.senders.pop(me, None)
            self.batches[me] = []
        elif name == "STOP":
            for table in (self.senders, self.launches, self.batches):
                table.pop(me, None)
        else:
            if me not in self.senders and me not in self.launches:
                raise WireError(f"field SenderId names no running sender in line: {line[:200]}")
            event = self.parse(name, me, fields)
            batch = self.batches.setdefault(me, [])
            if event is not None:
                batch.append(event)
        return None

    def item(self, fields: Fields) -> None:
        """Take one entry of an endpoint list."""
        if self.fill_left < 1:
            raise WireError(f"ITEM without INVENTORY in line: {fields.line[:200]}")
        state = _STATES.get(fields.text("Availability"))
        if state is None:
            raise fields.bad("Availability")
        self.filling.append(
            api.EndpointInfo(
                name=fields.text("Endpoint"),
                destination=fields.whole("Destination"),
                kind=fields.text("Sku", ""),
                zone=fields.text("Locality", ""),
                state=state,
                rate=fields.number("CapacityHint", 0.0),
            )
        )
        self.fill_left -= 1
        if not self.fill_left:
            self.lists[self.fill_id] = tuple(self.filling)

    def parse(self, name: str, me: int, fields: Fields) -> api.Event | None:
        """One event of an instance, or None for what this library has no use for."""
        if name == "ORDER":
            return api.NewMessage(
                id=fields.whole("RequestId"),
                class_name=fields.text("Profile"),
                destination=fields.whole("ToExchange"),
                left=fields.number("Budget"),
                key=fields.text("Entity", ""),
                resent=fields.text("Resent", "0") == "1",
            )
        if name == "ENDED":
            try:
                row = [float(cell) for cell in fields.text("Stats", "").split(",") if cell not in ("", "-")]
            except ValueError:
                raise fields.bad("Stats") from None
            at = self.reports.get(me, {})
            i, j = at.get("x0", 99), at.get("x1", 99)
            return api.AttemptEnded(
                id=fields.whole("RequestId"),
                attempt=fields.whole("Try"),
                endpoint=fields.text("Endpoint"),
                result=self.result(fields),
                latency=fields.number("DelaySeen", 0.0),
                closed=fields.text("Closed", "0") == "1",
                wait=fields.number("Detail", 0.0),
                limit_left=row[i] if i < len(row) else None,
                limit=row[j] if j < len(row) else None,
            )
        if name == "HANGUP":
            return api.Withdrawn(fields.whole("RequestId"))
        if name == "WAKEUP":
            return api.TimerDue()
        if name == "ANNOUNCE":
            kind = _LISTS.get(fields.text("How"))
            if kind is None:
                raise fields.bad("How")
            if kind is api.ListKind.FAILED:
                return api.ListUpdate(kind)
            entries = self.lists.get(fields.whole("SetId"))
            if entries is None:
                raise fields.bad("SetId")
            return api.ListUpdate(kind, entries)
        if name in ("ECHO", "FLOWING", "MESSAGE"):
            return None
        raise WireError(f"unknown event {name} in line: {fields.line[:200]}")

    @staticmethod
    def result(fields: Fields) -> api.Result:
        """The outcome of an attempt."""
        result = _RESULTS.get(fields.text("Status"))
        if result is None:
            raise fields.bad("Status")
        return result

    def reply(self, now: float, frame: str) -> str:
        """Run the batch and print the reply."""
        if self.fill_left:
            raise WireError(f"{self.fill_left} ITEM lines are missing before FLUSH")
        lines: list[str] = []
        for me, events in self.batches.items():
            launch = self.launches.get(me)
            if launch is not None:
                self.senders[me] = Sender(launch[1], launch[0], now)
            lines.extend(_print(me, action) for action in self.senders[me].handle(now, events))
        self.batches, self.launches = {}, {}
        lines.append(f"READY frame={frame}\n")
        return "\n".join(lines)


def _launch_parts(parts: list[str]) -> Iterable[str]:
    return (part.removeprefix("Setup=") for part in parts)


def _print(me: int, action: api.Action) -> str:
    if isinstance(action, api.Send):
        return (
            f"TRANSMIT SenderId={me} RequestId={action.id} AbandonAt={action.abandon_at:.3f} "
            f"Endpoint={action.endpoint}"
        )
    if isinstance(action, api.SetTimer):
        return f"AFTER SenderId={me} When={action.at:.3f} Ctx=w"
    if isinstance(action, api.Refuse):
        return f"NOT_NOW SenderId={me} RequestId={action.id} ComeBack={action.retry_after:.1f}"
    if isinstance(action, api.Fail):
        return f"FAIL SenderId={me} RequestId={action.id}"
    if isinstance(action, api.CloseIdle):
        return f"LET_GO SenderId={me} Endpoint={action.endpoint}"
    return f"WATCH SenderId={me} Want=1"


def run(source: TextIO, target: TextIO) -> None:
    """Answer every batch until the input ends."""
    host = Host()
    now, frame = 0.0, ""
    for raw in source:
        line = raw.rstrip("\r\n")
        if not line:
            continue
        if line.startswith("ROUND "):
            head = Fields(line, line.split(" ")[1:])
            now, frame = head.number("AtTime"), head.text("frame")
        elif line == "FLUSH":
            target.write(host.reply(now, frame))
            target.flush()
        else:
            host.event(line)


def stop(error: Exception) -> NoReturn:
    """Say plainly what was wrong and leave."""
    print(f"brassweir.adapter: {type(error).__name__}: {error}", file=sys.stderr)
    raise SystemExit(2)


def main() -> None:
    try:
        run(sys.stdin, sys.stdout)
    except (WireError, api.SettingsError, api.MisuseError) as error:
        stop(error)


if __name__ == "__main__":
    main()
