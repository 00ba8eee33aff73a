"""Maps the end of a forward call to an outcome. Pure.

The protocol has an ack but no reply for busy, wait or rejected. A destination that does not accept a chunk
closes the connection before or after reading it. Once a byte was written, the two cannot be told apart, so
the call counts as one that may have run.
"""

from __future__ import annotations

from brassweir.core.http_responses import no_answer
from brassweir.core.ports import Outcome
from brassweir.interface import Result
from brassweir.net.connection import CallFailed, Stage

ACKED = Outcome(Result.OK)


def failed(error: CallFailed) -> Outcome:
    """Return the outcome of a call that got no ack."""
    if error.stage is Stage.GARBLED:
        return Outcome(Result.ERROR, error.reason)
    return no_answer(error.stage is not Stage.CONNECT, True, error.timed_out, error.reason)
