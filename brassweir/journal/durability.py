"""Decides which facts must be durable before the engine goes on. Pure.

The columns are the effects of a message class: what sending a message of it twice would do.

=========  ======  =====  ====  ==============================================================================
fact       unsafe  keyed  safe  why
=========  ======  =====  ====  ==============================================================================
taken      wait    wait   wait  once accepted, a client relies on getting an answer, or on joining the message
                                when it submits it again
intent     wait    wait   no    a restart must know that an attempt may have been sent; a safe message may be
                                sent again
outcome    no      no     no    without it a restart treats the attempt as one that may have run
final      wait    wait   wait  a client that received an answer receives the same one after a restart
=========  ======  =====  ====  ==============================================================================
"""

from __future__ import annotations

from brassweir.core.ports import Fact
from brassweir.interface import Effect


def waits_for_commit(fact: Fact, effect: Effect) -> bool:
    """Return whether this fact must be durable before the engine goes on."""
    if fact is Fact.OUTCOME:
        return False
    return fact is not Fact.INTENT or effect is not Effect.SAFE
