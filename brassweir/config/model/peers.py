"""Settings of the group of copies: its members, their connections, and the log that they agree on."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Self

from pydantic import AfterValidator, Field, model_validator

from brassweir.config.model.base import Ms, Strict

CopyName = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,60}$")]  # the pattern of sender.name
PlaceName = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,40}$")]  # of a site or a region
MAX_COPIES = 1024  # in one fleet


def _reachable(value: str) -> str:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= 65535:
        raise ValueError("an address has the form HOST:PORT, with a port other than 0")
    return value


ReachableAddress = Annotated[str, AfterValidator(_reachable)]


class CopyModel(Strict):
    """One copy. ``address`` is the one at which this process reaches it, which may be that of a relay."""

    name: CopyName
    site: PlaceName
    region: PlaceName
    address: ReachableAddress


class CopiesFile(Strict):
    """The file that lists all copies."""

    copies: tuple[CopyModel, ...] = Field(min_length=1, max_length=MAX_COPIES)


class PeersModel(Strict):
    """How this copy communicates with the others."""

    copies: Path = Field(description="the file that lists all copies, including this one")
    keys: tuple[Path, ...] = Field(
        min_length=1,
        max_length=4,
        description="newest first: messages are sealed with the first, and accepted with any",
    )
    listen: ReachableAddress | None = Field(None, description="the address of the own entry if not given")


class ConfigurationModel(Strict):
    """The endpoint list as versions in the agreed log. Without ``list`` this copy proposes none."""

    list: Path | None = Field(None, description="the list that the operator edits; read on SIGHUP")
    confirm_removed: int = Field(
        0, ge=0, description="confirms that exactly so many entries are removed at once"
    )
    confirm_destinations: int = Field(
        0, ge=0, description="confirms that exactly so many destinations lose their last endpoint"
    )

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        given = sorted(self.model_fields_set & {"confirm_removed", "confirm_destinations"})
        if given and self.list is None:
            raise ValueError(f"{', '.join(given)}: only for the copy whose list is edited; list is not given")
        return self


class AgreedModel(Strict):
    """The log that the copies agree on."""

    folder: Path | None = Field(None, description="directory of the log; NAME.agreed if not given")
    voters: tuple[CopyName, ...] = Field(
        min_length=1, max_length=7, description="the copies that found the group"
    )
    lease_ms: Ms = Field(30_000.0, ge=2000.0, description="duration of the leases that the leader renews")
    first_epoch: Path | None = Field(
        None, description="a file; proposed once at the start, and again on SIGHUP"
    )
    configuration: ConfigurationModel | None = Field(None, description="follow the endpoint list of the log")

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        duplicates = sorted({name for name in self.voters if self.voters.count(name) > 1})
        if duplicates:
            raise ValueError(f"voters: {', '.join(duplicates)} is listed more than once")
        if len(self.voters) % 2 == 0:
            raise ValueError("voters: an odd number is needed: an even one tolerates no more losses")
        return self
