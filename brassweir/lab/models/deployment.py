"""A described deployment: who sends what to whom, over what, and what goes wrong. Times as their names
say."""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from brassweir.config.model import ClassModel, Strict

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0, le=1e6, allow_inf_nan=False)]
NotNegative = Annotated[float, Field(ge=0, le=1e6, allow_inf_nan=False)]
Range = tuple[NotNegative, NotNegative]
TroubleKind = Literal[
    "crash",
    "hang",
    "slow",
    "tail",
    "lost",
    "errors",
    "reset",
    "shut",
    "pause",
    "throttle",
    "burst",
    "slow_connect",
    "crowded",
    "drain",
    "gone",
    "sender_crash",
    "sender_roll",
    "stale_list",
]
AT_SENDERS = frozenset({"sender_crash", "sender_roll", "stale_list"})


class TrafficClassModel(ClassModel):
    """A class, its share of all messages, and what one of it is worth beside others."""

    share: Share = 1.0
    weight: Positive = 1.0


class LimitModel(Strict):
    """What a destination takes: calls a second, or a count in each span."""

    per_second: Positive
    span_s: NotNegative = 0.0
    counts_refused: bool = True
    tells_wait: Share = 0.8


class ModelKind(Strict):
    """One kind of destination. ``workers`` is a range that each draws from."""

    name: str
    median_ms: Positive
    sigma: NotNegative = 0.5
    tail_share: Share = 0.0
    tail_factor: Positive = 10.0
    workers: tuple[int, int] = (2, 8)
    queue: int = Field(60, ge=0)
    endpoints: int = Field(2, ge=1, le=20)
    limit: LimitModel | None = None
    connections: int = Field(200, ge=1)
    says_crowded: bool = False
    batch: int = Field(1, ge=1)
    routes: Literal["together", "apart"] = "together"
    cold_s: Positive = 5.0
    start_capacity: Positive = 0.25
    tip_multiple: Positive = 2.0
    window_ms: NotNegative = 20_000.0
    near_ms: Positive = 5.0
    far_ms: Positive = 5.0


class GroupModel(Strict):
    """Destinations of one kind that share ``share`` of the traffic, the first most (Zipf)."""

    name: str = Field(pattern=r"^[a-z][a-z0-9]{0,30}$")
    kind: str
    count: int = Field(ge=1, le=200_000)
    share: Positive
    zipf: NotNegative = 1.0


class SendersModel(Strict):
    """The senders; all alike but for their zone."""

    count: int = Field(ge=1, le=2000)
    slots: int = Field(24, ge=1)
    max_open: int = Field(300, ge=1)
    zones: int = Field(1, ge=1, le=20)
    max_attempts: int = Field(6, ge=1)
    connect_timeout_ms: Positive = 1000.0
    idle_ms: Positive | None = None
    few_connections: bool = False
    max_retry_after_ms: NotNegative = 5000.0
    order_pause_ms: NotNegative = 200.0
    cold_ms: NotNegative = 5000.0
    start_capacity: Positive = 0.25
    tip_multiple: Positive = 2.0
    journal_commit_ms: Positive = 2.0


class ClientsModel(Strict):
    """Who hands in, and what they do with an answer that is no delivery."""

    count: int = Field(20, ge=1)
    tries: int = Field(4, ge=1, le=50)
    honour_wait: Share = 0.9
    backoff_ms: Positive = 500.0
    moves: Share = 0.2
    keys: int = Field(20, ge=1, description="keys that ordered messages of one destination spread over")


class TroubleModel(Strict):
    """A kind of trouble: how many a day, how long, at how many targets at once, whom it strikes."""

    kind: TroubleKind
    count: tuple[int, int] = (0, 1)
    seconds: Range = (3.0, 8.0)
    share: Range = (1.0, 1.0)
    factor: Range = (1.0, 1.0)
    targets: tuple[int, int] = (1, 1)
    busy: Share = Field(0.7, description="how often it strikes by traffic instead of evenly")

    @model_validator(mode="after")
    def _sound(self) -> Self:
        for name in ("count", "seconds", "share", "factor", "targets"):
            low, high = getattr(self, name)
            if low > high:
                raise ValueError(f"{name}: {low} is over {high}")
        if self.share[1] > 1.0:
            raise ValueError("share is at most 1")
        return self


class Deployment(Strict):
    """A whole description."""

    name: str = Field(pattern=r"^[a-z][a-z0-9-]{0,40}$")
    seconds: Positive = 40.0
    warm_s: NotNegative = 5.0
    rate: Positive = Field(description="messages a second that clients hand in anew")
    peak: Positive = Field(1.0, description="by how much the middle of the day is over its mean")
    classes: tuple[TrafficClassModel, ...] = Field(min_length=1)
    kinds: tuple[ModelKind, ...] = Field(min_length=1)
    groups: tuple[GroupModel, ...] = Field(min_length=1)
    senders: SendersModel
    clients: ClientsModel = ClientsModel()
    list_delay_s: Range = (0.05, 0.5)
    troubles: tuple[TroubleModel, ...] = ()

    @model_validator(mode="after")
    def _fits(self) -> Self:
        kinds = [kind.name for kind in self.kinds]
        problems = []
        for what, names in (
            ("classes", [one.name for one in self.classes]),
            ("kinds", kinds),
            ("groups", [one.name for one in self.groups]),
        ):
            twice = sorted({name for name in names if names.count(name) > 1})
            if twice:
                problems.append(f"{what}: {', '.join(twice)} stands more than once")
        for group in self.groups:
            if group.kind not in kinds:
                problems.append(f"group {group.name}: no kind {group.kind!r}")
        if not any(one.share for one in self.classes):
            problems.append("classes: all shares are 0")
        if problems:
            raise ValueError("; ".join(problems))
        return self
