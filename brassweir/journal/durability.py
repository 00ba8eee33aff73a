"""Which facts hold up what follows them until they are durable. Pure: one table, argued row by row.

=========  ======  =====  ====  ==============================================================================
fact       unsafe  keyed  safe  why
=========  ======  =====  ====  ==============================================================================
taken      wait    wait   wait  from then on a client may rely on an answer: a 202, or that asking again joins
intent     wait    wait   no    a payment must not go out unless a restart would know that it may have; a safe
                                message that goes again does no harm
outcome    no      no     no    if it is lost the attempt counts as may-have-run, the cautious reading
final      wait    wait   wait  who was told an answer is told the same one after a restart
=========  ======  =====  ====  ==============================================================================
"""

from __future__ import annotations

from brassweir.core.ports import Fact
from brassweir.interface import Effect


def waits_for_commit(fact: Fact, effect: Effect) -> bool:
    """Must this fact be durable before what follows it?"""
    if fact is Fact.OUTCOME:
        return False
    return fact is not Fact.INTENT or effect is not Effect.SAFE
