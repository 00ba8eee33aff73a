"""Reads httpd configuration files into directives, through includes, conditions, definitions and macros.

Syntax: Apache HTTP Server documentation, "Configuration Files". A backslash at a line's end continues it;
arguments are separated by blanks and may be quoted; ``<Name ...>`` opens a section and ``</Name>`` closes it;
names are case-insensitive. A callable supplies the files, so this module opens none.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from lark import Lark, Token
from lark.exceptions import LarkError

from brassweir.importers.apache.places import Place, Problem

GRAMMAR = r"""
    start: open | close | directive
    open: "<" NAME argument* ">"
    close: "</" NAME ">"
    directive: NAME argument*
    ?argument: QUOTED | SINGLE | BARE
    NAME: /[A-Za-z_][A-Za-z0-9_:-]*/
    QUOTED: /"(?:\\.|[^"\\])*"/
    SINGLE: /'(?:\\.|[^'\\])*'/
    BARE: /[^\s"'<>][^\s>]*(?:>(?=\S)[^\s>]*)*/
    %ignore /[ \t]+/
"""
_parser = Lark(GRAMMAR, parser="earley", lexer="dynamic")
_plain_line = re.compile(r"([A-Za-z_][A-Za-z0-9_:-]*)((?:[ \t]+[^\s\"'<>\\]+)*)[ \t]*\Z")
MAX_NESTING = 32  # levels of includes and macros; ends recursive ones

# (pattern, from file) -> [(name, text)]; no match: []
FileLookup = Callable[[str, str], list[tuple[str, str]]]


@dataclass(frozen=True, slots=True)
class Argument:
    """One argument of a directive and its position."""

    text: str
    place: Place


@dataclass(slots=True)
class Node:
    """A directive, or a section with the nodes inside it (``inner``; None for a directive)."""

    name: str  # in lower case
    args: list[Argument]
    place: Place
    inner: list[Node] | None = None

    def texts(self) -> list[str]:
        """The arguments' texts."""
        return [arg.text for arg in self.args]


@dataclass(slots=True)
class Reader:
    """Reads files in order, keeping definitions and macros. ``defined`` starts with the names given by -D."""

    files: FileLookup
    defined: set[str] = field(default_factory=set)
    modules: set[str] | None = None  # names of loaded modules; None: every module counts as loaded
    values: dict[str, str] = field(default_factory=dict)
    macros: dict[str, tuple[list[str], list[Node]]] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)

    def read(self, name: str, text: str) -> list[Node]:
        """Return the directives in effect, expanded; lines that cannot be parsed are skipped and reported."""
        tree = self._parse(name, text)
        return list(self._expand(tree, name, 0))

    # ---- parsing

    def _parse(self, name: str, text: str) -> list[Node]:
        root: list[Node] = []
        stack: list[tuple[Node | None, list[Node]]] = [(None, root)]
        for number, line in _logical_lines(text):
            place = Place(name, number)
            node = self._parse_line(line, place)
            if node is None:
                continue
            if node.name.startswith("/"):
                opened = stack[-1][0]
                if opened is None or opened.name != node.name[1:]:
                    self._report(place, f"</{node.name[1:]}> closes nothing that is open")
                else:
                    stack.pop()
            else:
                stack[-1][1].append(node)
                if node.inner is not None:
                    stack.append((node, node.inner))
        for opened, _ in stack[1:]:
            assert opened is not None
            self._report(opened.place, f"<{opened.name}> is never closed")
        return root

    def _parse_line(self, line: str, place: Place) -> Node | None:
        found = _plain_line.match(line)
        if found is not None:  # fast path: no quotes, brackets or escapes
            return Node(
                found[1].lower(),
                [
                    Argument(arg[0], Place(place.file, place.line, found.start(2) + arg.start() + 1))
                    for arg in re.finditer(r"\S+", found[2])
                ],
                place,
            )
        try:
            (tree,) = _parser.parse(line).children
        except LarkError:
            self._report(place, f"cannot be read: {line.strip()[:80]!r}")
            return None
        kind = tree.data  # type: ignore[union-attr]
        tokens = [token for token in tree.children if isinstance(token, Token)]  # type: ignore[union-attr]
        args = [
            Argument(_unquoted(token), Place(place.file, place.line, token.column or 1))
            for token in tokens[1:]
        ]
        name = str(tokens[0]).lower()
        if kind == "close":
            return Node("/" + name, [], place)
        return Node(name, args, place, [] if kind == "open" else None)

    # ---- expansion

    def _expand(self, nodes: Sequence[Node], file: str, depth: int) -> Iterator[Node]:
        """Yield the nodes in effect: conditions evaluated, includes and macros replaced by their content."""
        for node in nodes:
            if depth > MAX_NESTING:
                self._report(
                    node.place, f"nested deeper than {MAX_NESTING}: includes or macros that never end?"
                )
                return
            yield from self._expand_node(node, file, depth)

    def _expand_node(self, node: Node, file: str, depth: int) -> Iterator[Node]:
        if node.name == "macro" and node.inner is not None:
            if node.args:
                self.macros[node.args[0].text.lower()] = ([arg.text for arg in node.args[1:]], node.inner)
            return
        node = self._substitute_variables(node)
        texts = node.texts()
        if node.name == "define" and texts:
            self.defined.add(texts[0])
            self.values[texts[0]] = texts[1] if len(texts) > 1 else ""
        elif node.name == "undefine" and texts:
            self.defined.discard(texts[0])
            self.values.pop(texts[0], None)
        elif node.name in ("ifdefine", "ifmodule") and node.inner is not None:
            if self._condition_holds(node, texts):
                yield from self._expand(node.inner, file, depth)
        elif node.name in ("include", "includeoptional") and texts:
            found = self.files(texts[0], file)
            if not found and node.name == "include":
                self._report(node.place, f"no file {texts[0]!r} to include")
            for name, text in found:
                yield from self._expand(self._parse(name, text), name, depth + 1)
        elif node.name == "use" and texts:
            yield from self._expand_macro(node, texts, file, depth)
        elif node.inner is not None:
            yield Node(node.name, node.args, node.place, list(self._expand(node.inner, file, depth)))
        else:
            yield node

    def _condition_holds(self, node: Node, texts: list[str]) -> bool:
        if not texts:
            self._report(node.place, f"<{node.name}> without a condition")
            return False
        wanted = texts[0].removeprefix("!")
        if node.name == "ifdefine":
            holds = wanted in self.defined
        else:
            holds = self.modules is None or wanted in self.modules
        return holds != texts[0].startswith("!")

    def _expand_macro(self, node: Node, texts: list[str], file: str, depth: int) -> Iterator[Node]:
        macro = self.macros.get(texts[0].lower())
        if macro is None:
            self._report(node.place, f"no macro {texts[0]!r}")
            return
        names, body = macro
        if len(names) != len(texts) - 1:
            self._report(
                node.place, f"macro {texts[0]} has {len(names)} arguments, {len(texts) - 1} are given"
            )
            return
        replacements = sorted(zip(names, texts[1:], strict=True), key=lambda pair: -len(pair[0]))
        via = f"macro {texts[0]} used at {node.place.file}:{node.place.line}"
        yield from self._expand([_substitute(inner, replacements, via) for inner in body], file, depth + 1)

    def _substitute_variables(self, node: Node) -> Node:
        if not any("${" in arg.text for arg in node.args):
            return node

        def value(found: re.Match[str]) -> str:
            if found[1] not in self.values:
                self._report(node.place, f"${{{found[1]}}} is not defined")
                return found[0]
            return self.values[found[1]]

        args = [Argument(re.sub(r"\$\{([^}]*)\}", value, arg.text), arg.place) for arg in node.args]
        return Node(node.name, args, node.place, node.inner)

    def _report(self, place: Place, message: str) -> None:
        self.problems.append(Problem(place, message))


def _logical_lines(text: str) -> Iterator[tuple[int, str]]:
    """Yield each line joined with its continuations, stripped; comments and empty lines are left out."""
    continued, start = "", 0
    for number, line in enumerate(text.splitlines(), 1):
        if not continued:
            start = number
        if line.endswith("\\") and not line.endswith("\\\\"):
            continued += line[:-1]
            continue
        logical, continued = continued + line, ""
        if logical.strip() and not logical.lstrip().startswith("#"):
            yield start, logical.strip()
    if continued.strip():
        yield start, continued.strip()


def _unquoted(token: Token) -> str:
    text = str(token)
    if token.type in ("QUOTED", "SINGLE"):
        return re.sub(r"\\(.)", lambda found: found[1] if found[1] in "\"'\\" else found[0], text[1:-1])
    return text


def _substitute(node: Node, replacements: Sequence[tuple[str, str]], via: str) -> Node:
    def text(value: str) -> str:
        for name, replacement in replacements:
            value = value.replace(name, replacement)
        return value

    place = Place(node.place.file, node.place.line, node.place.column, via)
    args = [
        Argument(text(arg.text), Place(arg.place.file, arg.place.line, arg.place.column, via))
        for arg in node.args
    ]
    inner = None if node.inner is None else [_substitute(child, replacements, via) for child in node.inner]
    return Node(node.name, args, place, inner)
