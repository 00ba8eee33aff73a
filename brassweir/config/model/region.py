"""Which region a sender is of, and from which of the two sources it learns what that region owns."""

from __future__ import annotations

from pathlib import Path
from typing import Literal, Self

from pydantic import Field, model_validator

from brassweir.config.model.base import Ms, MsOrZero, Strict


class RegionModel(Strict):
    """Which region this sender is of, and how it learns what that region owns."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,40}$")
    source: Literal["file", "agreed"] = Field("file", description="who publishes epochs: never both")
    epochs: Path | None = Field(None, description="the file that head office publishes")
    clock_error_ms: Ms = 500.0
    longest_deadline_ms: Ms | None = Field(
        None, description="of the whole fleet's messages: for a control machine, which has no classes"
    )
    asks_on_ms: MsOrZero = Field(3_600_000.0, description="for how long clients ask for an answer")

    @model_validator(mode="after")
    def _one_source(self) -> Self:
        if self.source == "file" and self.epochs is None:
            raise ValueError("epochs is needed: the file that head office publishes; or source: agreed")
        if self.source == "agreed" and self.epochs is not None:
            raise ValueError("epochs and source: agreed do not go together: epochs come from one source")
        return self
