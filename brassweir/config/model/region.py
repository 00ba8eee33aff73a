"""Settings of the region of a sender, and of the source of its epochs."""

from __future__ import annotations

from pathlib import Path
from typing import Literal, Self

from pydantic import Field, model_validator

from brassweir.config.model.base import Ms, MsOrZero, Strict


class RegionModel(Strict):
    """The region of this sender, and where its epochs come from: they say what that region owns."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,40}$")
    source: Literal["file", "agreed"] = Field(
        "file", description="where epochs come from: a file, or the agreed log"
    )
    epochs: Path | None = Field(None, description="the file of epochs that head office publishes")
    clock_error_ms: Ms = 500.0
    longest_deadline_ms: Ms | None = Field(
        None,
        description="the longest deadline in the fleet; only for a control machine, which has no classes",
    )
    asks_on_ms: MsOrZero = Field(3_600_000.0, description="how long clients ask for an answer")

    @model_validator(mode="after")
    def _check_source(self) -> Self:
        if self.source == "file" and self.epochs is None:
            raise ValueError("epochs is needed: the file that head office publishes; or source: agreed")
        if self.source == "agreed" and self.epochs is not None:
            raise ValueError("epochs and source: agreed do not go together: epochs come from one source")
        return self
