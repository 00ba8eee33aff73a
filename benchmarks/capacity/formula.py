"""Formulas of derived figures: sums, products and quotients of other figures and constants, kept as text.

The page shows the text that the value was computed from.
"""

from __future__ import annotations

import ast
from collections.abc import Callable

Lookup = Callable[[str], float]


class FormulaError(ValueError):
    """A formula with something else in it."""


def evaluate(text: str, lookup: Lookup) -> float:
    """The value of a formula; ``lookup`` gives that of a name."""
    return _value(ast.parse(text, mode="eval").body, lookup)


def _value(node: ast.expr, lookup: Lookup) -> float:
    match node:
        case ast.Constant(value=int() | float() as number):
            return float(number)
        case ast.Name(id=name):
            return lookup(name)
        case ast.BinOp(left=left, op=operation, right=right):
            return _operate(operation, _value(left, lookup), _value(right, lookup))
        case _:
            raise FormulaError(f"not in a formula: {ast.unparse(node)}")


def _operate(operation: ast.operator, left: float, right: float) -> float:
    match operation:
        case ast.Add():
            return left + right
        case ast.Sub():
            return left - right
        case ast.Mult():
            return left * right
        case ast.Div():
            return left / right
        case _:
            raise FormulaError(f"not in a formula: {type(operation).__name__}")
