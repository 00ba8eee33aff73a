"""Runs senders on the simulator's line protocol over standard input and output, one for each SenderId."""

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
    """A line of the protocol cannot be read."""


class Fields:
    """The name=value fields of one line; reading one that is missing or malformed raises WireError."""

    __slots__ = ("line", "pairs")

    def __init__(self, line: str, parts: Iterable[str]) -> None:
        self.line = line
        self.pairs: dict[str, str] = {}
        for part in parts:
            name, separator, value = part.partition("=")
            if not separator:
                raise WireError(f"part {part!r} has no '=' in line: {line[:200]}")
            self.pairs[name] = value

    def text(self, name: str, default: str | None = None) -> str:
        value = self.pairs.get(name, default)
        if value is None:
            raise WireError(f"field {name} is missing in line: {self.line[:200]}")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number."""
        value = self.pairs.get(name)
        if value is None and default is not None:
            return default
        try:
            number = float(self.text(name))
        except ValueError as error:
            if isinstance(error, WireError):
                raise
            raise self.invalid(name) from None
        if number != number or number in (float("inf"), float("-inf")):
            raise self.invalid(name)
        return number

    def integer(self, name: str, default: int | None = None) -> int:
        value = self.pairs.get(name)
        if value is None and default is not None:
            return default
        try:
            return int(self.text(name))
        except ValueError as error:
            if isinstance(error, WireError):
                raise
            raise self.invalid(name) from None

    def invalid(self, name: str) -> WireError:
        """Return an error that names a field and its value."""
        return WireError(
            f"field {name} has the invalid value {self.pairs.get(name)!r} in line: {self.line[:200]}"
        )


def read_settings(fields: Fields) -> api.Settings:
    """Read the settings of a sender; unknown ones are ignored. Raises WireError, SettingsError."""
    get, number, integer = fields.text, fields.number, fields.integer

    def flag(name: str) -> bool:
        return get(name, "false") in ("true", "1")

    def words(name: str) -> list[str]:
        return [word for word in get(name, "").split(",") if word]

    classes = []
    for i in range(integer("Classes.count")):
        prefix = f"Classes.{i}."
        effect = _EFFECTS.get(get(prefix + "Idempotency"))
        if effect is None:
            raise fields.invalid(prefix + "Idempotency")
        deadline = number(prefix + "HardLimit")
        classes.append(
            api.MessageClass(
                name=get(prefix + "Name"),
                aim=number(prefix + "Objective", deadline),
                deadline=deadline,
                effect=effect,
                late_worth=number(prefix + "LateWorth", 0.0),
                group=get(prefix + "Group", "all"),
                window=number(prefix + "Window", 0.0),
                in_order=flag(prefix + "Sequential"),
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
        raise WireError(f"field Specifics.KindBatch is invalid: {fields.line[:200]}") from None
    return api.Settings(
        classes=tuple(classes),
        slots=integer("Specifics.CallSlots"),
        max_open=integer("Allowed.MaxOpen"),
        senders=integer("Balancers", 1),
        kinds=kinds,
        max_attempts=integer("Allowed.MaxAttempts"),
        connect_timeout=number("Allowed.ConnectTimeout"),
        idle_close=number("Allowed.IdleClose", 0.0),
        max_retry_after=number("Allowed.MaxRetryAfter", 0.0) if flag("Allowed.RetryAfter") else 0.0,
        tick=number("Resolution", 1.0),
        concurrent_attempts=flag("Allowed.SecondCopies"),
        request_list=get("RegistryMode", "push") == "ask",
        request_list_within=number("Rules.AskWithin", 10000.0),
        weights=get("Weights", "none"),
        worth_halves=get("Specifics.Decay", "even") == "by_half",
        cold=number("Rules.Cold", 0.0),
        start_capacity=number("Rules.StartCapacity", 1.0),
        tip_multiple=number("Rules.TipMultiple", 1.0),
        tip_after=number("Rules.TipAfter", 2000.0),
        order_pause=number("Rules.OrderPause", 0.0),
    )


class Host:
    """Holds the senders and turns batches of events into replies."""

    def __init__(self) -> None:
        self.senders: dict[int, Sender] = {}
        self.report_columns: dict[int, dict[str, int]] = {}
        self.lists: dict[int, tuple[api.EndpointInfo, ...]] = {}
        self.entries: list[api.EndpointInfo] = []
        self.list_id, self.missing = 0, 0
        self.events: dict[int, list[api.Event]] = {}
        self.launches: dict[int, tuple[int, api.Settings]] = {}

    def read_event(self, line: str) -> None:
        """Read one line of the open batch. Raises WireError."""
        name, *parts = line.split(" ")
        fields = Fields(line, parts if name != "LAUNCH" else _without_setup_prefix(parts))
        if name == "ITEM":
            return self.read_list_entry(fields)
        if self.missing:
            raise WireError(f"{self.missing} ITEM lines are missing before line: {line[:200]}")
        if name == "INVENTORY":
            self.list_id, self.missing, self.entries = fields.integer("SetId"), fields.integer("Items"), []
            if not self.missing:
                self.lists[self.list_id] = ()
            return None
        sender_id = fields.integer("SenderId")
        if name == "LAUNCH":
            names = fields.text("Report.Names", "").split(",")
            self.report_columns[sender_id] = {word: i for i, word in enumerate(names)}
            self.launches[sender_id] = (fields.integer("Salt"), read_settings(fields))
            self.senders.pop(sender_id, None)
            self.events[sender_id] = []
        elif name == "STOP":
            for table in (self.senders, self.launches, self.events):
                table.pop(sender_id, None)
        else:
            if sender_id not in self.senders and sender_id not in self.launches:
                raise WireError(f"field SenderId names no running sender in line: {line[:200]}")
            event = self.parse_event(name, sender_id, fields)
            batch = self.events.setdefault(sender_id, [])
            if event is not None:
                batch.append(event)
        return None

    def read_list_entry(self, fields: Fields) -> None:
        """Read one entry of the endpoint list that the last INVENTORY line opened."""
        if self.missing < 1:
            raise WireError(f"ITEM without INVENTORY in line: {fields.line[:200]}")
        state = _STATES.get(fields.text("Availability"))
        if state is None:
            raise fields.invalid("Availability")
        self.entries.append(
            api.EndpointInfo(
                name=fields.text("Endpoint"),
                destination=fields.integer("Destination"),
                kind=fields.text("Sku", ""),
                zone=fields.text("Locality", ""),
                state=state,
                rate=fields.number("CapacityHint", 0.0),
            )
        )
        self.missing -= 1
        if not self.missing:
            self.lists[self.list_id] = tuple(self.entries)

    def parse_event(self, name: str, sender_id: int, fields: Fields) -> api.Event | None:
        """Return the event of a line for one sender, or None for events that senders ignore."""
        if name == "ORDER":
            return api.NewMessage(
                id=fields.integer("RequestId"),
                class_name=fields.text("Profile"),
                destination=fields.integer("ToExchange"),
                left=fields.number("Budget"),
                key=fields.text("Entity", ""),
                resent=fields.text("Resent", "0") == "1",
            )
        if name == "ENDED":
            try:
                values = [
                    float(value) for value in fields.text("Stats", "").split(",") if value not in ("", "-")
                ]
            except ValueError:
                raise fields.invalid("Stats") from None
            columns = self.report_columns.get(sender_id, {})
            i, j = columns.get("x0", 99), columns.get("x1", 99)
            return api.AttemptEnded(
                id=fields.integer("RequestId"),
                attempt=fields.integer("Try"),
                endpoint=fields.text("Endpoint"),
                result=self.parse_result(fields),
                latency=fields.number("DelaySeen", 0.0),
                closed=fields.text("Closed", "0") == "1",
                wait=fields.number("Detail", 0.0),
                limit_left=values[i] if i < len(values) else None,
                limit=values[j] if j < len(values) else None,
            )
        if name == "HANGUP":
            return api.Withdrawn(fields.integer("RequestId"))
        if name == "WAKEUP":
            return api.TimerDue()
        if name == "ANNOUNCE":
            kind = _LISTS.get(fields.text("How"))
            if kind is None:
                raise fields.invalid("How")
            if kind is api.ListKind.FAILED:
                return api.ListUpdate(kind)
            entries = self.lists.get(fields.integer("SetId"))
            if entries is None:
                raise fields.invalid("SetId")
            return api.ListUpdate(kind, entries)
        if name in ("ECHO", "FLOWING", "MESSAGE"):
            return None
        raise WireError(f"unknown event {name} in line: {fields.line[:200]}")

    @staticmethod
    def parse_result(fields: Fields) -> api.Result:
        result = _RESULTS.get(fields.text("Status"))
        if result is None:
            raise fields.invalid("Status")
        return result

    def reply(self, now: float, frame: str) -> str:
        """Run the batch and return the reply's lines."""
        if self.missing:
            raise WireError(f"{self.missing} ITEM lines are missing before FLUSH")
        lines: list[str] = []
        for sender_id, events in self.events.items():
            launch = self.launches.get(sender_id)
            if launch is not None:
                self.senders[sender_id] = Sender(launch[1], launch[0], now)
            lines.extend(_line(sender_id, action) for action in self.senders[sender_id].handle(now, events))
        self.events, self.launches = {}, {}
        lines.append(f"READY frame={frame}\n")
        return "\n".join(lines)


def _without_setup_prefix(parts: list[str]) -> Iterable[str]:
    return (part.removeprefix("Setup=") for part in parts)


def _line(sender_id: int, action: api.Action) -> str:
    if isinstance(action, api.Send):
        return (
            f"TRANSMIT SenderId={sender_id} RequestId={action.id} AbandonAt={action.abandon_at:.3f} "
            f"Endpoint={action.endpoint}"
        )
    if isinstance(action, api.SetTimer):
        return f"AFTER SenderId={sender_id} When={action.at:.3f} Ctx=w"
    if isinstance(action, api.Refuse):
        return f"NOT_NOW SenderId={sender_id} RequestId={action.id} ComeBack={action.retry_after:.1f}"
    if isinstance(action, api.Fail):
        return f"FAIL SenderId={sender_id} RequestId={action.id}"
    if isinstance(action, api.CloseIdle):
        return f"LET_GO SenderId={sender_id} Endpoint={action.endpoint}"
    return f"WATCH SenderId={sender_id} Want=1"


def run(source: TextIO, target: TextIO) -> None:
    """Answer each batch until the input ends. Raises WireError, SettingsError, MisuseError."""
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
            host.read_event(line)


def stop(error: Exception) -> NoReturn:
    """Print an error and exit with code 2."""
    print(f"brassweir.adapter: {type(error).__name__}: {error}", file=sys.stderr)
    raise SystemExit(2)


def main() -> None:
    try:
        run(sys.stdin, sys.stdout)
    except (WireError, api.SettingsError, api.MisuseError) as error:
        stop(error)


if __name__ == "__main__":
    main()
