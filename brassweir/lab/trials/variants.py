"""An experiment's file, and what makes one version of it differ from another."""

from __future__ import annotations

from importlib import import_module
from pathlib import Path
from pkgutil import iter_modules
from typing import Self

from pydantic import Field, model_validator

from brassweir import control
from brassweir.config.load import ConfigError
from brassweir.config.model import Strict
from brassweir.lab.models.deployment import Deployment

MEASURES = ("worth", "p99_ms", "p50_ms", "refused", "failed", "delivered", "calls")


class VariantModel(Strict):
    """One version: other settings of the senders, or another checkout of the code."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,40}$")
    senders: dict[str, float | int] = {}
    constants: dict[str, float | int] = Field({}, description="tuned values of the decision module, by name")
    code: Path | None = None

    @model_validator(mode="after")
    def _sound(self) -> Self:
        if self.code is not None and self.constants:
            raise ValueError("constants are set in this code: give a checkout its own")
        return self


class ExperimentModel(Strict):
    """A whole experiment. Paths count from its file."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,60}$")
    question: str
    deployment: Path
    first_seed: int = Field(1, ge=0)
    least: int = Field(8, ge=2, description="pairs before the first look")
    most: int = Field(64, ge=2)
    measure: str = "worth"
    precision: float = Field(0.005, gt=0, description="differences within this are called alike")
    variants: tuple[VariantModel, ...] = Field(
        min_length=2, description="the first is what others are compared with"
    )

    @model_validator(mode="after")
    def _sound(self) -> Self:
        names = [one.name for one in self.variants]
        if len(set(names)) < len(names):
            raise ValueError("variants: a name stands more than once")
        if self.measure not in MEASURES:
            raise ValueError(f"measure is one of {', '.join(MEASURES)}")
        if self.least > self.most:
            raise ValueError("least is over most")
        return self


def varied(deployment: Deployment, variant: VariantModel) -> Deployment:
    """The deployment with a variant's settings. Raises ConfigError for settings there are not."""
    tree = deployment.model_dump()
    unknown = sorted(variant.senders.keys() - tree["senders"].keys())
    if unknown:
        raise ConfigError([f"variant {variant.name}: senders has no {', '.join(unknown)}"])
    tree["senders"].update(variant.senders)
    try:
        return Deployment.model_validate(tree)
    except ValueError as error:
        raise ConfigError([f"variant {variant.name}: {error}"]) from None


def constants(variant: VariantModel) -> None:
    """Set tuned values of the module in this process. Raises ConfigError for one there is not."""
    modules = [import_module(one.name) for one in iter_modules(control.__path__, "brassweir.control.")]
    for name, value in variant.constants.items():
        holders = [module for module in modules if isinstance(getattr(module, name, None), int | float)]
        if not name.isupper() or not holders:
            raise ConfigError([f"variant {variant.name}: the decision module has no tuned value {name}"])
        for module in holders:  # where it stands, and where it is used from
            setattr(module, name, value)
