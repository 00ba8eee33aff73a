"""The first epoch that the log publishes."""

from __future__ import annotations

import msgspec

from brassweir.regions import planning
from tests.regions.samples import LEASE, REGIONS

FIRST = msgspec.structs.replace(planning.first_epoch(REGIONS, 0.0, LEASE), turn=1)
