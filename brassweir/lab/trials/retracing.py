"""A trace fed to the decision module of another checkout, in a process of its own."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from brassweir.lab.simulated import trace

# Runs in a process with the other checkout's brassweir and our trace.py, which needs no more of it than the
# decision module and its interface.
_FEED = """
import importlib.util, json, sys
spec = importlib.util.spec_from_file_location("trace", sys.argv[1])
trace = importlib.util.module_from_spec(spec)
sys.modules["trace"] = trace
spec.loader.exec_module(trace)
from pathlib import Path
print(json.dumps(trace.retrace(Path(sys.argv[2])).tree()))
"""


def elsewhere(file: Path, code: Path) -> dict[str, Any]:
    """What feeding a trace to the module of the checkout ``code`` came to. Raises ValueError."""
    done = subprocess.run(
        [sys.executable, "-c", _FEED, str(Path(trace.__file__)), str(file.resolve())],
        cwd=code,
        capture_output=True,
        text=True,
        timeout=3600,
        check=False,
        env={"PYTHONPATH": str(code.resolve())},
    )
    if done.returncode:
        raise ValueError(f"{code}: {(done.stderr.strip().splitlines() or ['no answer'])[-1]}")
    tree: dict[str, Any] = json.loads(done.stdout)
    return tree
