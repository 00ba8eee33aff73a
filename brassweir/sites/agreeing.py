"""The log's verdict on sites, of what copies say by their own endings. Pure: for the replicated machine."""

from __future__ import annotations

from collections.abc import Mapping

from brassweir.sites.facts import Copy, Word

MOST = 0.5  # share of a site's copies that speak, over which the site says so


def agree(word: Word, about: str, said: Mapping[str, Word], copies: tuple[Copy, ...]) -> Word:
    """The next agreed word on ``about``. Each site has one voice, that of most of its copies that speak (a
    copy without own calls there is not in ``said``); copies of one site share its fate and its cuts.

    Lost: all voices but at most one say so, and at least two do, or the only one there is. Returning: no
    voice says lost and one has seen it return. Well: all say well.
    """
    voices: dict[str, list[Word]] = {}
    for copy in copies:
        if copy.name in said:
            voices.setdefault(copy.site, []).append(said[copy.name])
    if not voices:
        return word
    lost = sum(_most(words, Word.LOST) for words in voices.values())
    if word in (Word.WELL, Word.SUSPECTED, Word.RETURNING):
        others = len([site for site in voices if site != about])
        if lost and (lost >= 2 or others <= 1) and lost >= len(voices) - 1:
            return Word.LOST
    if word is Word.LOST:
        return Word.RETURNING if not lost else Word.LOST
    if all(_most(words, Word.WELL) for words in voices.values()):
        return Word.WELL
    return word


def _most(words: list[Word], word: Word) -> bool:
    return sum(one is word for one in words) > MOST * len(words)
