"""The sealed envelope that every message between copies travels in. Pure.

A datagram is one byte of version, 16 bytes of keyed digest over all the rest, and the envelope in msgpack.
What is too large, unknown, wrongly sealed or doubled raises Dropped with a reason that is counted.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter
from collections.abc import Collection, Sequence
from typing import Annotated

import msgspec

from brassweir.peers.replay_window import OLD, SEEN, ReplayWindow

VERSION = 1
MAX_BODY_BYTES = 8_000  # bytes of a body; a datagram stays in one UDP message on any loopback or jumbo path
MAX_DATAGRAM_BYTES = MAX_BODY_BYTES + 400  # bytes; the rest of an envelope with two names of the longest kind
DIGEST_BYTES = 16  # bytes
MIN_KEY_BYTES = 16  # bytes; fewer can be searched through
MAX_KEY_BYTES = 64  # bytes; what BLAKE2b takes, longer ones are hashed to it
Number = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """What is sealed. Fields that a later version adds at the end are passed over."""

    kind: str
    sender: str
    receiver: str
    generation: Number  # of the sender's process; later ones are greater
    number: Number  # of this message among those from this generation to this receiver, from 1
    body: bytes


class Dropped(Exception):
    """A datagram that is not for us; ``reason`` is a word that is counted."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class KeyFault(ValueError):
    """A key that cannot be used."""


def read_key(data: bytes, field: str) -> bytes:
    """A key file's bytes less white space at both ends. Raises KeyFault naming ``field``."""
    key = data.strip()
    if len(key) < MIN_KEY_BYTES:
        raise KeyFault(f"{field}: a key of {len(key)} bytes; at least {MIN_KEY_BYTES} are asked for")
    return key if len(key) <= MAX_KEY_BYTES else hashlib.blake2b(key).digest()


class Keys:
    """The keys of the fleet, newest first: the first one seals, all of them open."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise KeyFault("peers: keys: none")
        self.keys = tuple(read_key(key, f"peers: keys: number {at + 1}") for at, key in enumerate(keys))

    def seal(self, data: bytes) -> bytes:
        """The digest of ``data``."""
        return self._digest(self.keys[0], data)

    def verify(self, digest: bytes, data: bytes) -> bool:
        """Was ``data`` sealed with one of the keys?"""
        return any(hmac.compare_digest(digest, self._digest(key, data)) for key in self.keys)

    @staticmethod
    def _digest(key: bytes, data: bytes) -> bytes:
        return hashlib.blake2b(data, key=key, digest_size=DIGEST_BYTES, person=b"brassweir peers").digest()


class EnvelopeCodec:
    """One copy's end: seals what it sends, opens what it is sent."""

    def __init__(self, own: str, generation: int, keys: Keys) -> None:
        self.own, self.generation, self.keys = own, generation, keys
        self.sent: Counter[str] = Counter()  # messages to each receiver in this generation
        self.windows: dict[str, ReplayWindow] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def begin_generation(self, generation: int) -> None:
        """Go on as a later generation: numbers start anew."""
        self.generation = generation
        self.sent.clear()

    def forget_unlisted(self, names: Collection[str]) -> None:
        """Forget those that are no longer listed."""
        for name in [one for one in self.windows if one not in names]:
            del self.windows[name]

    def seal(self, to: str, kind: str, body: bytes) -> bytes:
        """One datagram. Raises Dropped("large")."""
        if len(body) > MAX_BODY_BYTES:
            raise Dropped("large")
        self.sent[to] += 1
        data = self._encoder.encode(Envelope(kind, self.own, to, self.generation, self.sent[to], body))
        version = bytes([VERSION])
        return version + self.keys.seal(version + data) + data

    def open(
        self, datagram: bytes, known: Collection[str], kinds: Collection[str], once: Collection[str]
    ) -> Envelope:
        """The envelope of a datagram from one of ``known``; those of kinds in ``once`` only once.

        Raises Dropped: large, short, version, seal, form, stranger, misdirected, old_life, kind, doubled,
        late.
        """
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise Dropped("large")
        if len(datagram) <= 1 + DIGEST_BYTES:
            raise Dropped("short")
        if datagram[0] != VERSION:
            raise Dropped("version")
        data = datagram[1 + DIGEST_BYTES :]
        if not self.keys.verify(datagram[1 : 1 + DIGEST_BYTES], datagram[:1] + data):
            raise Dropped("seal")
        try:
            envelope = self._decoder.decode(data)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            raise Dropped("form") from None
        if envelope.sender not in known or envelope.sender == self.own:
            raise Dropped("stranger")
        if envelope.receiver != self.own:
            raise Dropped("misdirected")
        if len(envelope.body) > MAX_BODY_BYTES:
            raise Dropped("large")
        self._number(envelope, once)
        if envelope.kind not in kinds:
            raise Dropped("kind")
        return envelope

    def _number(self, envelope: Envelope, once: Collection[str]) -> None:
        window = self.windows.get(envelope.sender)
        if window is None or envelope.generation > window.generation:
            window = self.windows[envelope.sender] = ReplayWindow(envelope.generation)
        elif envelope.generation < window.generation:
            raise Dropped("old_life")
        how = window.take(envelope.number)
        if envelope.kind in once and how in (SEEN, OLD):
            raise Dropped("doubled" if how == SEEN else "late")
