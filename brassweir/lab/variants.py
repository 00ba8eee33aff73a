"""Variants of a deployment: other settings, other tuned values, or another checkout of the code."""

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
