"""Copies of the program together: who they are, how they speak, and what they agree on."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Self

from pydantic import AfterValidator, Field, model_validator

from brassweir.config.model.base import Ms, Strict

CopyName = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,60}$")]  # as sender.name
PlaceName = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,40}$")]  # of a site or a region
MAX_COPIES = 1024  # in one fleet: three times the largest there is


def _reachable(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= 65535:
        raise ValueError("an address is HOST:PORT, with a port that others can reach")
    return value


ReachableAddress = Annotated[str, AfterValidator(_reachable)]


class CopyModel(Strict):
    """One copy. ``address`` is where this process reaches it, and may be a relay's."""

    name: CopyName
    site: PlaceName
    region: PlaceName
    address: ReachableAddress


class CopiesFile(Strict):
    """The file that names all copies."""

    copies: tuple[CopyModel, ...] = Field(min_length=1, max_length=MAX_COPIES)


class PeersModel(Strict):
    """How this copy speaks to the others."""

    copies: Path = Field(description="the file that names all copies, this one among them")
    keys: tuple[Path, ...] = Field(
        min_length=1, max_length=4, description="newest first: the first seals, all open"
    )
    listen: ReachableAddress | None = Field(None, description="the own entry's address if not given")


class ConfigurationModel(Strict):
    """The endpoint list as versions in the log. Without ``list`` this copy only follows."""

    list: Path | None = Field(None, description="where the operator edits; read on SIGHUP")
    confirm_removed: int = Field(0, ge=0, description="so many entries are to go at once: exactly")
    confirm_destinations: int = Field(
        0, ge=0, description="so many destinations are to lose their last endpoint"
    )

    @model_validator(mode="after")
    def _sound(self) -> Self:
        given = sorted(self.model_fields_set & {"confirm_removed", "confirm_destinations"})
        if given and self.list is None:
            raise ValueError(f"{', '.join(given)}: for the copy whose list is edited, and list is not given")
        return self


class AgreedModel(Strict):
    """The log that the copies agree on."""

    folder: Path | None = Field(None, description="its directory; NAME.agreed if not given")
    voters: tuple[CopyName, ...] = Field(min_length=1, max_length=7, description="who founds the group")
    lease_ms: Ms = Field(30_000.0, ge=2000.0, description="of the grants that the leader renews")
    first_epoch: Path | None = Field(None, description="a file: proposed once, and again on SIGHUP")
    configuration: ConfigurationModel | None = Field(None, description="follow the endpoint list of the log")

    @model_validator(mode="after")
    def _sound(self) -> Self:
        twice = sorted({name for name in self.voters if self.voters.count(name) > 1})
        if twice:
            raise ValueError(f"voters: {', '.join(twice)} stands more than once")
        if len(self.voters) % 2 == 0:
            raise ValueError("voters: an odd number is needed: one more bears no more losses")
        return self
