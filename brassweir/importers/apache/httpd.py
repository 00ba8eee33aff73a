"""Reads httpd configuration files into directives, through includes, conditions, definitions and macros.

Syntax: Apache HTTP Server documentation, "Configuration Files". A backslash ends a line that goes on;
arguments stand apart by blanks and may be quoted; ``<Name ...>`` opens a section and ``</Name>`` closes it;
names have no case. Files are given by a callable, so that nothing here opens one.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from lark import Lark, Token
from lark.exceptions import LarkError

from brassweir.importers.apache.places import Complaint, Place

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
_plain = re.compile(r"([A-Za-z_][A-Za-z0-9_:-]*)((?:[ \t]+[^\s\"'<>\\]+)*)[ \t]*\Z")
DEEPEST = 32  # includes and macros in one another

Files = Callable[[str, str], list[tuple[str, str]]]  # (pattern, from file) -> [(name, text)]; none found: []


@dataclass(frozen=True, slots=True)
class Word:
    """One argument, and where it stands."""

    text: str
    place: Place


@dataclass(slots=True)
class Node:
    """A directive, or a section with what is in it."""

    name: str  # in lower case
    words: list[Word]
    place: Place
    inner: list[Node] | None = None

    def texts(self) -> list[str]:
        """The arguments' texts."""
        return [word.text for word in self.words]


@dataclass(slots=True)
class Reader:
    """Reads files one after another. ``defined`` are names given on the command line (-D)."""

    files: Files
    defined: set[str] = field(default_factory=set)
    modules: set[str] | None = None  # loaded ones; None: all are taken to be
    values: dict[str, str] = field(default_factory=dict)
    macros: dict[str, tuple[list[str], list[Node]]] = field(default_factory=dict)
    complaints: list[Complaint] = field(default_factory=list)

    def read(self, name: str, text: str) -> list[Node]:
        """All directives of a file as they hold. What cannot be read is complained of and passed over."""
        tree = self._tree(name, text)
        return list(self._hold(tree, name, 0))

    # ---- lines to trees

    def _tree(self, name: str, text: str) -> list[Node]:
        root: list[Node] = []
        stack: list[tuple[Node | None, list[Node]]] = [(None, root)]
        for number, line in _logical(text):
            place = Place(name, number)
            node = self._line(line, place)
            if node is None:
                continue
            if node.name.startswith("/"):
                opened = stack[-1][0]
                if opened is None or opened.name != node.name[1:]:
                    self._complain(place, f"</{node.name[1:]}> closes nothing that is open")
                else:
                    stack.pop()
            else:
                stack[-1][1].append(node)
                if node.inner is not None:
                    stack.append((node, node.inner))
        for opened, _ in stack[1:]:
            assert opened is not None
            self._complain(opened.place, f"<{opened.name}> is never closed")
        return root

    def _line(self, line: str, place: Place) -> Node | None:
        found = _plain.match(line)
        if found is not None:  # most lines: no quote, no bracket, nothing escaped
            return Node(
                found[1].lower(),
                [
                    Word(one[0], Place(place.file, place.line, found.start(2) + one.start() + 1))
                    for one in re.finditer(r"\S+", found[2])
                ],
                place,
            )
        try:
            (tree,) = _parser.parse(line).children
        except LarkError:
            self._complain(place, f"cannot be read: {line.strip()[:80]!r}")
            return None
        kind = tree.data  # type: ignore[union-attr]
        tokens = [one for one in tree.children if isinstance(one, Token)]  # type: ignore[union-attr]
        words = [Word(_unquoted(one), Place(place.file, place.line, one.column or 1)) for one in tokens[1:]]
        name = str(tokens[0]).lower()
        if kind == "close":
            return Node("/" + name, [], place)
        return Node(name, words, place, [] if kind == "open" else None)

    # ---- what holds

    def _hold(self, nodes: Sequence[Node], file: str, depth: int) -> Iterator[Node]:
        for node in nodes:
            if depth > DEEPEST:
                self._complain(
                    node.place, f"nested deeper than {DEEPEST}: includes or macros that never end?"
                )
                return
            yield from self._one(node, file, depth)

    def _one(self, node: Node, file: str, depth: int) -> Iterator[Node]:
        if node.name == "macro" and node.inner is not None:
            if node.words:
                self.macros[node.words[0].text.lower()] = ([one.text for one in node.words[1:]], node.inner)
            return
        node = self._filled(node)
        texts = node.texts()
        if node.name == "define" and texts:
            self.defined.add(texts[0])
            self.values[texts[0]] = texts[1] if len(texts) > 1 else ""
        elif node.name == "undefine" and texts:
            self.defined.discard(texts[0])
            self.values.pop(texts[0], None)
        elif node.name in ("ifdefine", "ifmodule") and node.inner is not None:
            if self._condition(node, texts):
                yield from self._hold(node.inner, file, depth)
        elif node.name in ("include", "includeoptional") and texts:
            found = self.files(texts[0], file)
            if not found and node.name == "include":
                self._complain(node.place, f"no file {texts[0]!r} to include")
            for name, text in found:
                yield from self._hold(self._tree(name, text), name, depth + 1)
        elif node.name == "use" and texts:
            yield from self._use(node, texts, file, depth)
        elif node.inner is not None:
            yield Node(node.name, node.words, node.place, list(self._hold(node.inner, file, depth)))
        else:
            yield node

    def _condition(self, node: Node, texts: list[str]) -> bool:
        if not texts:
            self._complain(node.place, f"<{node.name}> without a condition")
            return False
        wanted = texts[0].removeprefix("!")
        if node.name == "ifdefine":
            holds = wanted in self.defined
        else:
            holds = self.modules is None or wanted in self.modules
        return holds != texts[0].startswith("!")

    def _use(self, node: Node, texts: list[str], file: str, depth: int) -> Iterator[Node]:
        known = self.macros.get(texts[0].lower())
        if known is None:
            self._complain(node.place, f"no macro {texts[0]!r}")
            return
        names, body = known
        if len(names) != len(texts) - 1:
            self._complain(
                node.place, f"macro {texts[0]} has {len(names)} arguments, {len(texts) - 1} are given"
            )
            return
        given = sorted(zip(names, texts[1:], strict=True), key=lambda pair: -len(pair[0]))
        via = f"macro {texts[0]} used at {node.place.file}:{node.place.line}"
        yield from self._hold([_replaced(one, given, via) for one in body], file, depth + 1)

    def _filled(self, node: Node) -> Node:
        if not any("${" in word.text for word in node.words):
            return node

        def value(found: re.Match[str]) -> str:
            if found[1] not in self.values:
                self._complain(node.place, f"${{{found[1]}}} is not defined")
                return found[0]
            return self.values[found[1]]

        words = [Word(re.sub(r"\$\{([^}]*)\}", value, word.text), word.place) for word in node.words]
        return Node(node.name, words, node.place, node.inner)

    def _complain(self, place: Place, what: str) -> None:
        self.complaints.append(Complaint(place, what))


def _logical(text: str) -> Iterator[tuple[int, str]]:
    """Lines with their continuations, without blanks at the ends, comments and empty ones."""
    held, start = "", 0
    for number, line in enumerate(text.splitlines(), 1):
        if not held:
            start = number
        if line.endswith("\\") and not line.endswith("\\\\"):
            held += line[:-1]
            continue
        whole, held = held + line, ""
        if whole.strip() and not whole.lstrip().startswith("#"):
            yield start, whole.strip()
    if held.strip():
        yield start, held.strip()


def _unquoted(token: Token) -> str:
    text = str(token)
    if token.type in ("QUOTED", "SINGLE"):
        return re.sub(r"\\(.)", lambda found: found[1] if found[1] in "\"'\\" else found[0], text[1:-1])
    return text


def _replaced(node: Node, given: Sequence[tuple[str, str]], via: str) -> Node:
    def text(value: str) -> str:
        for name, with_ in given:
            value = value.replace(name, with_)
        return value

    place = Place(node.place.file, node.place.line, node.place.column, via)
    words = [
        Word(text(word.text), Place(word.place.file, word.place.line, word.place.column, via))
        for word in node.words
    ]
    inner = None if node.inner is None else [_replaced(one, given, via) for one in node.inner]
    return Node(node.name, words, place, inner)
