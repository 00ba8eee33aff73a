"""The settings of a sender. Times in milliseconds, sizes in bytes. Unknown fields are errors."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Literal, Self

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, field_validator, model_validator

from brassweir.config.tags import check_template, matcher

Ms = Annotated[float, Field(gt=0, le=1e9, allow_inf_nan=False)]
MsOrNone = Annotated[float, Field(ge=0, le=1e9, allow_inf_nan=False)]
Digest = Literal["sha1", "sha224", "sha256", "sha384", "sha512"]
CipherName = Literal["3des", "aes128-cbc", "aes192-cbc", "aes256-cbc", "aes128-gcm", "aes192-gcm",
                     "aes256-gcm"]


def _address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError("an address is HOST:PORT")
    return value


def _url(value: str) -> str:
    if not re.fullmatch(r"https?://[^\s/?#@]+(?:[/?][^\s#]*)?|forward://[^\s/?#@]+", value):
        raise ValueError("a URL is http://HOST[:PORT]/PATH without user or fragment, or forward://HOST[:PORT]")
    return value


def _name(value: str) -> str:
    if not re.fullmatch(r"[ -~]{1,128}", value) or value != value.strip():
        raise ValueError("an AS2 name has 1 to 128 printable ASCII characters and no space at its ends")
    return value


Address = Annotated[str, AfterValidator(_address)]
Url = Annotated[str, AfterValidator(_url)]
As2Name = Annotated[str, AfterValidator(_name)]


class Strict(BaseModel):
    """No unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ClassModel(Strict):
    """A class of message and what a repeat of it would do."""

    name: str = Field(pattern=r"^[a-z][a-z0-9_-]{0,39}$")
    aim_ms: Ms
    deadline_ms: Ms
    effect: Literal["safe", "keyed", "unsafe"]
    window_ms: MsOrNone = 0.0
    late_worth: float = Field(0.0, ge=0, le=1)
    group: Literal["all", "zone"] = "all"
    in_order: bool = False

    @model_validator(mode="after")
    def _sound(self) -> Self:
        if self.aim_ms > self.deadline_ms:
            raise ValueError("aim_ms is over deadline_ms")
        if self.effect == "keyed" and not self.window_ms:
            raise ValueError("a keyed class needs window_ms: for how long partners drop a repeated id")
        return self


class KindModel(Strict):
    """A kind of destination. Webhooks are signed with every key in ``secrets`` (files, one key each); forward
    destinations are shown the key in ``shared_key`` (a file), under ``hostname``."""

    name: str
    routes: Literal["together", "apart"] = "together"
    carrier: Literal["as2", "webhook", "forward"] = "as2"
    secrets: tuple[Path, ...] = ()
    shared_key: Path | None = None
    hostname: str = Field("", max_length=200, description="the sender's name if not given")
    username: str = Field("", max_length=200)
    password: Path | None = None
    batch: int = Field(1, ge=1, le=1000, description="messages that may share a call")
    compress: bool = False
    tag: str = Field("brassweir", pattern=r"^[!-~]{1,200}$", description="of documents that have none")

    @model_validator(mode="after")
    def _sound(self) -> Self:
        if self.secrets and self.carrier != "webhook":
            raise ValueError("secrets are for webhooks")
        ours = {"shared_key", "hostname", "username", "password", "batch", "compress", "tag"}
        given = self.model_fields_set & ours
        if given and self.carrier != "forward":
            raise ValueError(f"{', '.join(sorted(given))} are for forward destinations")
        if bool(self.username) != (self.password is not None):
            raise ValueError("username and password go together")
        if self.username and self.shared_key is None:
            raise ValueError("a username is shown in the handshake, which needs shared_key")
        return self


class SenderModel(Strict):
    """This process and what it may use."""

    name: str = Field(pattern=r"^[A-Za-z0-9._-]{1,60}$")
    listen: Address | None = Field(None, description="where AS2 clients and partners come")
    metrics: Address | None = None
    seed: int | None = None
    slots: int = Field(ge=1, le=100_000)
    max_open: int = Field(ge=1, le=10_000_000)
    senders: int = Field(1, ge=1, description="how many senders share the destinations")
    max_attempts: int = Field(6, ge=1, le=100)
    connect_timeout_ms: Ms = 1000.0
    max_retry_after_ms: MsOrNone = 10_000.0
    idle_close_ms: Ms = 20_000.0
    order_pause_ms: MsOrNone = 0.0
    cold_ms: MsOrNone = 10_000.0
    start_capacity: float = Field(0.2, gt=0, le=1)
    tip_multiple: float = Field(1.5, gt=0, le=100)
    weights: Literal["none", "rate"] = "none"
    connections_per_endpoint: int = Field(32, ge=1, le=10_000)
    connections: int = Field(4000, ge=1, le=1_000_000, description="open to all endpoints together")
    setups: int = Field(64, ge=1, le=10_000, description="connections being made at once")
    crypto_threads: int = Field(4, ge=1, le=256)
    answer_margin_ms: MsOrNone = 100.0
    linger_ms: MsOrNone = 2000.0
    journal: Path | None = Field(None, description="its directory; NAME.journal if not given")
    journaled: bool = Field(True, description="false: nothing outlives the process")
    drain_grace_ms: Ms = 10_000.0
    remember_ms: Ms = 3_600_000.0
    remember_most: int = Field(200_000, ge=1)
    log_level: Literal["debug", "info", "warning", "error"] = "info"


class LimitsModel(Strict):
    """Bounds on what strangers can make this process hold."""

    head_bytes: int = Field(32_768, ge=1024, le=1_000_000)
    headers: int = Field(100, ge=10, le=10_000)
    body_bytes: int = Field(50_000_000, ge=1024)
    buffered_bytes: int = Field(400_000_000, ge=1024)
    connections: int = Field(4096, ge=1)
    head_ms: Ms = 10_000.0
    body_ms: Ms = 60_000.0
    idle_ms: Ms = 60_000.0
    write_ms: Ms = 30_000.0


class IdentityModel(Strict):
    """Our own AS2 name and keys (PEM files, relative to the settings file)."""

    as2_id: As2Name
    key: Path
    certificate: Path
    receipt_url: Url | None = Field(None, description="where partners bring asynchronous receipts")


class RuleModel(Strict):
    """Messages whose Subject this pattern finds are of this class."""

    subject: str
    class_name: str = Field(alias="class")

    @field_validator("subject")
    @classmethod
    def _pattern(cls, value: str) -> str:
        try:
            re.compile(value)
        except re.error as error:
            raise ValueError(f"no regular expression: {error}") from None
        return value


class ClientModel(Strict):
    """One that hands messages in."""

    as2_id: As2Name
    certificates: tuple[Path, ...] = Field(min_length=1)
    may_send_to: tuple[As2Name, ...] = Field(min_length=1, description="webhooks also by pattern: hook-*")
    rules: tuple[RuleModel, ...] = Field(min_length=1)
    receipt_url: Url | None = None
    signed: bool = True
    encrypted: bool = True
    legacy: bool = Field(False, description="SHA-1 and 3DES are taken from it")
    dated: bool = Field(False, description="its Date is the message's own, and the same over repeats")


class PartnerModel(Strict):
    """One that messages are delivered to."""

    as2_id: As2Name
    certificates: tuple[Path, ...] = Field(min_length=1)
    sign: Digest | Literal["none"] = "sha256"
    encrypt: CipherName | Literal["none"] = "aes256-cbc"
    compress: Literal["none", "before", "after"] = "none"
    pss: bool = False
    oaep: bool = False
    receipt: Literal["sync", "async"] = "sync"
    signed_receipt: bool = True
    legacy: bool = False
    busy_statuses: tuple[Annotated[int, Field(ge=400, le=599)], ...] = (429,)

    @model_validator(mode="after")
    def _sound(self) -> Self:
        if not self.legacy and (self.sign == "sha1" or self.encrypt == "3des"):
            raise ValueError("sha1 and 3des need legacy: true")
        if self.compress == "before" and self.sign == "none":
            raise ValueError("compress: before needs a signature to come before; use after")
        return self


class TagRuleModel(Strict):
    """Chunks whose tag this pattern matches go so; the first that fits decides."""

    tag: str = Field(description="as in Fluentd's match: * one part, ** any, {a,b} either")
    class_name: str = Field(alias="class")
    destination: str = Field(min_length=1, max_length=128, description="may hold {tag}, {0}, {1} ...")
    body: Literal["json-lines", "msgpack"] = "json-lines"
    key: str = Field("", max_length=128, description="orders chunks of one source; a template as well")

    @model_validator(mode="after")
    def _sound(self) -> Self:
        matcher(self.tag)
        check_template(self.destination)
        check_template(self.key)
        return self


class UserModel(Strict):
    """A user of a source, with the file that holds the password."""

    username: str = Field(min_length=1, max_length=200)
    password: Path


class ForwardSourceModel(Strict):
    """One that hands in chunks over forward; ``name`` is the hostname in its PING."""

    name: str = Field(min_length=1, max_length=200)
    shared_keys: tuple[Path, ...] = Field(min_length=1, max_length=4, description="newest first")
    users: tuple[UserModel, ...] = ()
    acks: Literal["required", "optional"] = "required"
    rules: tuple[TagRuleModel, ...] = Field(min_length=1)


class ForwardModel(Strict):
    """The forward front."""

    listen: Address
    hostname: str = Field("", max_length=200, description="in our PONG; the sender's name if not given")
    heartbeat_udp: bool = False
    sources: tuple[ForwardSourceModel, ...] = Field(min_length=1)
    chunk_bytes: int = Field(16_000_000, ge=1024, le=1_000_000_000)
    unpacked_bytes: int = Field(64_000_000, ge=1024, le=2_000_000_000)
    entries: int = Field(200_000, ge=1, le=10_000_000)
    buffered_bytes: int = Field(200_000_000, ge=1024)
    connections: int = Field(2048, ge=1, le=1_000_000)
    handshake_ms: Ms = 10_000.0
    chunk_ms: Ms = 60_000.0
    idle_ms: Ms = 3_600_000.0
    write_ms: Ms = 30_000.0
    kept: Path | None = Field(None, description="directory of undelivered chunks; NAME.kept if not given")
    kept_bytes: int = Field(1_000_000_000, ge=0)

    @model_validator(mode="after")
    def _sound(self) -> Self:
        names = [source.name for source in self.sources]
        twice = sorted({name for name in names if names.count(name) > 1})
        if twice:
            raise ValueError(f"sources: {', '.join(twice)} stands more than once")
        users = [bool(source.users) for source in self.sources]
        if any(users) and not all(users):
            raise ValueError("users: HELO asks every source for one or none, so all have some or none has")
        return self


class RegionModel(Strict):
    """Which region this sender is of, and how it learns what that region owns."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,40}$")
    epochs: Path = Field(description="the file that head office publishes")
    clock_error_ms: Ms = 500.0
    asks_on_ms: MsOrNone = Field(3_600_000.0, description="for how long clients ask for an answer")


class Config(Strict):
    """A whole settings file."""

    sender: SenderModel
    classes: tuple[ClassModel, ...] = Field(min_length=1)
    kinds: tuple[KindModel, ...] = ()
    limits: LimitsModel = LimitsModel()
    identity: IdentityModel | None = None
    clients: tuple[ClientModel, ...] = ()
    forward: ForwardModel | None = None
    region: RegionModel | None = None
    partners: tuple[PartnerModel, ...] = ()
    endpoints: Path

    @model_validator(mode="after")
    def _fits(self) -> Self:
        problems = []
        classes = [cls.name for cls in self.classes]
        partners = [partner.as2_id for partner in self.partners]
        clients = [client.as2_id for client in self.clients]
        for what, names in (("classes", classes), ("partners", partners), ("clients", clients),
                            ("kinds", [kind.name for kind in self.kinds])):
            twice = sorted({name for name in names if names.count(name) > 1})
            if twice:
                problems.append(f"{what}: {', '.join(twice)} stands more than once")
        webhooks = any(kind.carrier != "as2" for kind in self.kinds)
        problems += self._fronts()
        for client in self.clients:
            named = {name for name in client.may_send_to if not webhooks or not re.search(r"[*?[]", name)}
            lost = sorted(named - set(partners))
            if lost:
                problems.append(f"client {client.as2_id}: may_send_to names no partner: {', '.join(lost)}")
            lost = sorted({rule.class_name for rule in client.rules} - set(classes))
            if lost:
                problems.append(f"client {client.as2_id}: rules name no class: {', '.join(lost)}")
        if self.identity is not None and not self.identity.receipt_url and any(
                partner.receipt == "async" for partner in self.partners):
            problems.append("identity.receipt_url is needed: a partner sends its receipts asynchronously")
        for cls in self.classes:
            if cls.deadline_ms <= self.sender.answer_margin_ms:
                problems.append(f"class {cls.name}: deadline_ms is within sender.answer_margin_ms")
        if self.sender.remember_ms < 2 * max(max(cls.deadline_ms, cls.window_ms) for cls in self.classes):
            problems.append("sender.remember_ms is under twice the longest deadline or window: an answer "
                            "would be forgotten while its client may still ask for it")
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def _fronts(self) -> list[str]:
        problems = []
        if self.identity is None and (self.clients or self.partners):
            problems.append("identity is needed: there are AS2 clients or partners")
        if self.clients and self.sender.listen is None:
            problems.append("sender.listen is needed: there are AS2 clients")
        if not self.clients and self.forward is None:
            problems.append("clients or forward is needed: nobody could hand anything in")
        effects = {cls.name: cls.effect for cls in self.classes}
        for source in self.forward.sources if self.forward is not None else ():
            for rule in source.rules:
                where = f"forward source {source.name}: the rule for {rule.tag}"
                if rule.class_name not in effects:
                    problems.append(f"{where} names no class: {rule.class_name}")
                elif effects[rule.class_name] == "unsafe":
                    problems.append(
                        f"{where} names the unsafe class {rule.class_name}: a source that hears nothing "
                        "sends again, and forward has no word to stop it; use a safe or keyed class")
        return problems


class EndpointModel(Strict):
    """One entry of the endpoint list: of an AS2 partner, or of a webhook's destination."""

    name: str = Field(pattern=r"^[!-~]{1,120}$")
    url: Url
    partner: As2Name | None = None
    destination: As2Name | None = None
    kind: str = ""
    zone: str = ""
    state: Literal["ready", "draining", "gone"] = "ready"
    rate: float = Field(0.0, ge=0, allow_inf_nan=False)

    @model_validator(mode="after")
    def _one_home(self) -> Self:
        if (self.partner is None) == (self.destination is None):
            raise ValueError("an endpoint has either a partner or a destination")
        return self


class EndpointList(Strict):
    """The endpoint list: a file that is read again whenever it changes."""

    endpoints: tuple[EndpointModel, ...]

    @model_validator(mode="after")
    def _once(self) -> Self:
        seen: set[str] = set()
        for one in self.endpoints:
            if one.name in seen:
                raise ValueError(f"endpoint {one.name} stands more than once")
            seen.add(one.name)
        return self
