"""Figures that are computed from others."""

from __future__ import annotations

from benchmarks.capacity.measurement import Figure

FIGURES: tuple[Figure, ...] = ()
