"""A small deployment and the folder of the kept ones."""

from __future__ import annotations

import hashlib
from pathlib import Path

from brassweir.config.load import parse
from brassweir.lab.models.deployment import Deployment
from brassweir.lab.simulated import runs

ROOT = Path(__file__).parents[3]
SMALL = """\
name: small
seconds: 14
warm_s: 2
rate: 40
classes:
  - {name: payment, aim_ms: 1500, deadline_ms: 5000, effect: unsafe, late_worth: 0.3, weight: 3}
  - {name: order, aim_ms: 1500, deadline_ms: 5000, effect: keyed, window_ms: 8000, in_order: true}
  - {name: status, aim_ms: 1000, deadline_ms: 4000, effect: safe}
kinds:
  - {name: bank, median_ms: 30, workers: [2, 3], near_ms: 2, far_ms: 6}
  - {name: hook, median_ms: 10, workers: [1, 2], limit: {per_second: 8}, batch: 3}
groups:
  - {name: bank, kind: bank, count: 3, share: 0.7}
  - {name: hook, kind: hook, count: 4, share: 0.3}
senders: {count: 3, slots: 12, max_open: 100, zones: 2}
troubles:
  - {kind: crash, count: [1, 1], seconds: [2, 3]}
  - {kind: lost, count: [1, 1], seconds: [2, 3], share: [0.4, 0.6]}
  - {kind: sender_crash, count: [1, 2]}
  - {kind: sender_roll, count: [0, 1]}
  - {kind: drain, count: [1, 1], seconds: [3, 4]}
  - {kind: burst, count: [1, 1], seconds: [1, 2], factor: [1, 2]}
"""


def small(change: tuple[str, str] = ("", "")) -> Deployment:
    return parse(SMALL.replace(*change, 1) if change[0] else SMALL, Deployment, "m.yaml")


def fingerprint(run: runs.Run) -> str:
    return hashlib.sha256(repr([run.stage.tape.seen, run.rows]).encode()).hexdigest()
