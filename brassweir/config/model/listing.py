"""The endpoint list in YAML."""

from __future__ import annotations

from typing import Literal, Self

from pydantic import Field, model_validator

from brassweir.config.model.base import As2Name, Strict, Url


class EndpointModel(Strict):
    """One entry of the endpoint list: of an AS2 partner, or of a webhook's destination."""

    name: str = Field(pattern=r"^[!-~]{1,120}$")
    url: Url
    partner: As2Name | None = None
    destination: As2Name | None = None
    kind: str = ""
    zone: str = ""
    state: Literal["ready", "draining", "gone"] = "ready"
    rate: float = Field(0.0, ge=0, allow_inf_nan=False)

    @model_validator(mode="after")
    def _check_target(self) -> Self:
        if (self.partner is None) == (self.destination is None):
            raise ValueError("an endpoint has either a partner or a destination")
        return self


class EndpointList(Strict):
    """The endpoint list; its file is read again whenever it changes."""

    endpoints: tuple[EndpointModel, ...]

    @model_validator(mode="after")
    def _check_names(self) -> Self:
        seen: set[str] = set()
        for endpoint in self.endpoints:
            if endpoint.name in seen:
                raise ValueError(f"endpoint {endpoint.name} is listed more than once")
            seen.add(endpoint.name)
        return self
