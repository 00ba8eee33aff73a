"""The settings that every process has, and those of a control machine, which delivers nothing."""

from __future__ import annotations

from typing import Self

from pydantic import model_validator

from brassweir.config.model.base import Strict
from brassweir.config.model.peers import AgreedModel, ConfigurationModel, PeersModel
from brassweir.config.model.region import RegionModel
from brassweir.config.model.sender import LimitsModel, ProcessModel

# Fields that only the settings of a process that delivers have.
DELIVERY_FIELDS = frozenset({"classes", "kinds", "identity", "clients", "forward", "partners", "endpoints"})


class CopyConfig(Strict):
    """The settings that all copies of the program have, whether they deliver or not."""

    sender: ProcessModel
    limits: LimitsModel = LimitsModel()
    region: RegionModel | None = None
    peers: PeersModel | None = None
    agreed: AgreedModel | None = None

    @property
    def configuration(self) -> ConfigurationModel | None:
        """Return how this copy follows the endpoint list of the agreed log; None if it does not."""
        return self.agreed.configuration if self.agreed is not None else None

    def shared_problems(self) -> list[str]:
        """Check these parts against each other; returns the problems."""
        problems = []
        if self.agreed is not None and self.peers is None:
            problems.append("peers is needed: agreed uses the connections between copies")
        epochs_from_log = self.region is not None and self.region.source == "agreed"
        if epochs_from_log and self.agreed is None:
            problems.append("agreed is needed: region.source is agreed")
        if self.agreed is not None and self.agreed.first_epoch is not None and not epochs_from_log:
            problems.append("agreed.first_epoch needs region.source: agreed: epochs come from one source")
        return problems


class ControlConfig(CopyConfig):
    """The settings file of a control machine: it takes part in the agreed log and delivers nothing."""

    peers: PeersModel
    agreed: AgreedModel

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        problems = self.shared_problems()
        if self.region is not None and self.region.longest_deadline_ms is None:
            problems.append(
                "region.longest_deadline_ms is needed: a control machine has no classes to take it from"
            )
        if problems:
            raise ValueError("; ".join(problems))
        return self
