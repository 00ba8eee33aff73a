"""What a message was worth, and what the rest was lost to. Pure."""

from __future__ import annotations

from typing import Any

from brassweir.lab.models.day import ClassPlan, Order

LOSSES = ("", "admission", "limit", "sick destination", "lost answer", "late", "unanswered")


def worth(cls: ClassPlan, age: float) -> float:
    """Of one delivered ``age`` ms after it was first handed in: all of its weight up to its aim, then falling
    evenly to ``late_worth`` of it at the deadline, and nothing after."""
    if age <= cls.aim:
        return cls.weight
    if age > cls.deadline:
        return 0.0
    share = (age - cls.aim) / max(1e-9, cls.deadline - cls.aim)
    return cls.weight * (1.0 - share * (1.0 - cls.late_worth))


def loss(answer: str, age: float, cls: ClassPlan, attempts: int, met: set[str]) -> str:
    """What a message lost its worth to, or part of it; empty if to nothing."""
    if answer == "delivered":
        return "late" if age > cls.aim else ""
    if not answer:
        return "unanswered"
    if answer == "failed":
        return "lost answer" if met & {"timeout", "reset"} or not met else "sick destination"
    if not attempts:
        return "admission"
    return "limit" if met == {"full"} else "sick destination"


def row(
    order: Order,
    number: int,
    cls: ClassPlan,
    answer: str,
    age: float,
    tries: int,
    attempts: int,
    met: set[str],
) -> dict[str, Any]:
    """One row of a run's results."""
    got = worth(cls, age) if answer == "delivered" else 0.0
    return {
        "message": number,
        "at_ms": order.at,
        "class_name": order.class_name,
        "destination": order.destination,
        "client": order.client,
        "answer": answer or None,
        "age_ms": round(age, 3) if answer else None,
        "tries": tries,
        "attempts": attempts,
        "worth": round(got, 6),
        "full_worth": cls.weight,
        "lost_to": loss(answer, age, cls, attempts, met) or None,
    }
