"""The tables of docs/CAPACITY.md and of the page of its fits, made from the data and put between their markers."""

from __future__ import annotations

import re
from pathlib import Path

from benchmarks.capacity.predict import Model
from benchmarks.capacity.tables import TABLES

DOCS = Path(__file__).parents[2] / "docs"
PAGES = (DOCS / "CAPACITY.md", DOCS / "capacity-fits.md")
MARKED = re.compile(r"(<!-- table: ([a-z -]+) -->\n).*?(<!-- end of table -->)", re.DOTALL)


class PageError(ValueError):
    """The page asks for a table that there is none of."""


def render(page: str, model: Model) -> str:
    """The page with all of its tables written anew."""

    def table(match: re.Match[str]) -> str:
        name = match[2]
        if name not in TABLES:
            raise PageError(f"no table {name!r}: there are {', '.join(sorted(TABLES))}")
        return f"{match[1]}{TABLES[name](model)}\n{match[3]}"

    return MARKED.sub(table, page)


def differences(page: str, model: Model) -> list[str]:
    """Lines of the page that the data do not give, each with what they give; empty if they agree."""
    wanted = render(page, model)
    if wanted == page:
        return []
    old, new = page.splitlines(), wanted.splitlines()
    found = [f"page: {line}" for line in old if line not in set(new)]
    found += [f"data: {line}" for line in new if line not in set(old)]
    return found or ["the page's tables differ in the order of their lines"]
