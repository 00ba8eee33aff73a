"""How each ending of a forward call reads. Pure; no protocol's row says less: it has an ack, or nothing.

There is no word for busy, wait or no. A destination that will not take a chunk closes the connection, before
or after it has read it; once a byte was written nothing tells the two apart, so it counts as may have run.
"""

from __future__ import annotations

from brassweir.core.http_responses import no_answer
from brassweir.core.ports import Outcome
from brassweir.interface import Result
from brassweir.net.connection import CallFailed, Stage

ACKED = Outcome(Result.OK)


def failed(error: CallFailed) -> Outcome:
    """A call without its ack."""
    if error.stage is Stage.GARBLED:
        return Outcome(Result.ERROR, error.reason)
    return no_answer(error.stage is not Stage.CONNECT, True, error.timed_out, error.reason)
