"""Settings of the forward front and of the sources that it accepts."""

from __future__ import annotations

from pathlib import Path
from typing import Literal, Self

from pydantic import Field, model_validator

from brassweir.config.model.base import Address, Ms, Strict
from brassweir.config.tags import check_template, compile_pattern


class TagRuleModel(Strict):
    """Where chunks whose tag matches this pattern go; the first rule that matches applies."""

    tag: str = Field(description="pattern as in Fluentd's match: * is one part, ** any number, {a,b} either")
    class_name: str = Field(alias="class")
    destination: str = Field(min_length=1, max_length=128, description="a template with {tag}, {0}, {1} ...")
    body: Literal["json-lines", "msgpack"] = "json-lines"
    key: str = Field(
        "",
        max_length=128,
        description="chunks of one source with the same key stay in order; a template as well",
    )

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        compile_pattern(self.tag)
        check_template(self.destination)
        check_template(self.key)
        return self


class UserModel(Strict):
    """A user of a source, with the file that holds the password."""

    username: str = Field(min_length=1, max_length=200)
    password: Path


class ForwardSourceModel(Strict):
    """A source that submits chunks by the forward protocol; ``name`` is the hostname in its PING."""

    name: str = Field(min_length=1, max_length=200)
    shared_keys: tuple[Path, ...] = Field(min_length=1, max_length=4, description="newest first")
    users: tuple[UserModel, ...] = ()
    acks: Literal["required", "optional"] = "required"
    rules: tuple[TagRuleModel, ...] = Field(min_length=1)


class ForwardModel(Strict):
    """The forward front."""

    listen: Address
    hostname: str = Field(
        "", max_length=200, description="the hostname in the PONG; the sender's name if not given"
    )
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
    def _check_consistency(self) -> Self:
        names = [source.name for source in self.sources]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            raise ValueError(f"sources: {', '.join(duplicates)} is listed more than once")
        users = [bool(source.users) for source in self.sources]
        if any(users) and not all(users):
            raise ValueError(
                "users: HELO asks either all sources for a user or none, so all have some or none has"
            )
        return self
