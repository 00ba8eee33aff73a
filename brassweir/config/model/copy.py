"""What the settings of every process hold; and a control machine's, which delivers nothing."""

from __future__ import annotations

from typing import Self

from pydantic import model_validator

from brassweir.config.model.base import Strict
from brassweir.config.model.peers import AgreedModel, ConfigurationModel, PeersModel
from brassweir.config.model.region import RegionModel
from brassweir.config.model.sender import LimitsModel, ProcessModel

# What only a process that delivers has in its settings.
DELIVERY_FIELDS = frozenset({"classes", "kinds", "identity", "clients", "forward", "partners", "endpoints"})


class CopyConfig(Strict):
    """The settings of one copy, as far as all of them have these parts."""

    sender: ProcessModel
    limits: LimitsModel = LimitsModel()
    region: RegionModel | None = None
    peers: PeersModel | None = None
    agreed: AgreedModel | None = None

    @property
    def configuration(self) -> ConfigurationModel | None:
        """How this copy follows the endpoint list of the log; None if it does not."""
        return self.agreed.configuration if self.agreed is not None else None

    def shared_problems(self) -> list[str]:
        """What does not fit between the parts that copies share."""
        problems = []
        if self.agreed is not None and self.peers is None:
            problems.append("peers is needed: agreed rests on talk between copies")
        by_log = self.region is not None and self.region.source == "agreed"
        if by_log and self.agreed is None:
            problems.append("agreed is needed: region.source says that epochs come from it")
        if self.agreed is not None and self.agreed.first_epoch is not None and not by_log:
            problems.append("agreed.first_epoch needs region.source: agreed: epochs come from one source")
        return problems


class ControlConfig(CopyConfig):
    """A whole settings file of a control machine: it takes part in the agreed log and delivers nothing."""

    peers: PeersModel
    agreed: AgreedModel

    @model_validator(mode="after")
    def _fits(self) -> Self:
        problems = self.shared_problems()
        if self.region is not None and self.region.longest_deadline_ms is None:
            problems.append(
                "region.longest_deadline_ms is needed: a control machine has no classes to say it"
            )
        if problems:
            raise ValueError("; ".join(problems))
        return self
