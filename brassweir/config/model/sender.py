"""Settings of the process: its name and ports, what it may use, and its limits for remote peers."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from pydantic import Field

from brassweir.config.model.base import Address, Ms, MsOrZero, Strict


class ProcessModel(Strict):
    """Settings of every process, whether it delivers or not."""

    name: str = Field(pattern=r"^[A-Za-z0-9._-]{1,60}$")
    metrics: Address | None = None
    drain_grace_ms: Ms = 10_000.0
    log_level: Literal["debug", "info", "warning", "error"] = "info"


class SenderModel(ProcessModel):
    """Settings of a process that delivers."""

    listen: Address | None = Field(None, description="the address for AS2 clients and partners")
    seed: int | None = None
    slots: int = Field(ge=1, le=100_000)
    max_open: int = Field(ge=1, le=10_000_000)
    senders: int = Field(1, ge=1, description="how many senders share the destinations")
    max_attempts: int = Field(6, ge=1, le=100)
    connect_timeout_ms: Ms = 1000.0
    max_retry_after_ms: MsOrZero = 10_000.0
    idle_close_ms: Ms = 20_000.0
    order_pause_ms: MsOrZero = 0.0
    cold_ms: MsOrZero = 10_000.0
    start_capacity: float = Field(0.2, gt=0, le=1)
    tip_multiple: float = Field(1.5, gt=0, le=100)
    tip_after_ms: Ms = 2000.0
    weights: Literal["none", "rate"] = "none"
    connections_per_endpoint: int = Field(32, ge=1, le=10_000)
    connections: int = Field(4000, ge=1, le=1_000_000, description="open at once, to all endpoints together")
    setups: int = Field(64, ge=1, le=10_000, description="connection attempts in progress at once")
    crypto_threads: int = Field(4, ge=1, le=256)
    answer_margin_ms: MsOrZero = 100.0
    linger_ms: MsOrZero = 2000.0
    journal: Path | None = Field(None, description="directory of the journal; NAME.journal if not given")
    journaled: bool = Field(True, description="false: messages and answers are lost when the process ends")
    remember_ms: Ms = 3_600_000.0
    remember_most: int = Field(200_000, ge=1)


class LimitsModel(Strict):
    """Limits on what remote peers can make this process hold in memory, and for how long."""

    head_bytes: int = Field(32_768, ge=1024, le=1_000_000)
    headers: int = Field(100, ge=10, le=10_000)
    body_bytes: int = Field(50_000_000, ge=1024)
    buffered_bytes: int = Field(400_000_000, ge=1024)
    connections: int = Field(4096, ge=1)
    head_ms: Ms = 10_000.0
    body_ms: Ms = 60_000.0
    idle_ms: Ms = 60_000.0
    write_ms: Ms = 30_000.0
