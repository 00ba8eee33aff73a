"""The authenticated envelope of every message between copies. Pure.

A datagram is one version byte, a 16-byte keyed digest (BLAKE2b) over the version and the envelope, and the
envelope in msgpack. A datagram that is too large, malformed, not authentic, of an unknown sender or repeated
raises Dropped with a reason, which is counted.
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
MAX_BODY_BYTES = 8_000  # fits one UDP datagram on loopback and jumbo-frame links
MAX_DATAGRAM_BYTES = MAX_BODY_BYTES + 400  # an envelope with two names of maximum length
DIGEST_BYTES = 16
MIN_KEY_BYTES = 16  # shorter ones can be found by brute force
MAX_KEY_BYTES = 64  # the limit of BLAKE2b; longer ones are hashed
Number = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """The authenticated content. Decoding ignores fields that a later version adds at the end."""

    kind: str
    sender: str
    receiver: str
    generation: Number  # of the sender's process; a later process has a greater one
    number: Number  # counts messages of this generation to this receiver, from 1
    body: bytes


class Dropped(Exception):
    """A datagram that is not accepted, or not sent; ``reason`` is a label for counts."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class KeyFault(ValueError):
    """A shared key that cannot be used."""


def read_key(data: bytes, field: str) -> bytes:
    """The key in a key file, without white space around it. Raises KeyFault naming ``field``."""
    key = data.strip()
    if len(key) < MIN_KEY_BYTES:
        raise KeyFault(f"{field}: a key of {len(key)} bytes; at least {MIN_KEY_BYTES} are required")
    return key if len(key) <= MAX_KEY_BYTES else hashlib.blake2b(key).digest()


class Keys:
    """The shared keys of the group, newest first: the first authenticates, all of them verify."""

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise KeyFault("peers: keys: none")
        self.keys = tuple(read_key(key, f"peers: keys: number {index + 1}") for index, key in enumerate(keys))

    def seal(self, data: bytes) -> bytes:
        """The digest of ``data``."""
        return self._digest(self.keys[0], data)

    def verify(self, digest: bytes, data: bytes) -> bool:
        """Whether ``digest`` was made of ``data`` with one of the keys."""
        return any(hmac.compare_digest(digest, self._digest(key, data)) for key in self.keys)

    @staticmethod
    def _digest(key: bytes, data: bytes) -> bytes:
        return hashlib.blake2b(data, key=key, digest_size=DIGEST_BYTES, person=b"brassweir peers").digest()


class EnvelopeCodec:
    """Seals one copy's outgoing messages and opens its incoming ones."""

    def __init__(self, own: str, generation: int, keys: Keys) -> None:
        self.own, self.generation, self.keys = own, generation, keys
        self.sent: Counter[str] = Counter()  # messages to each receiver in this generation
        self.windows: dict[str, ReplayWindow] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)

    def begin_generation(self, generation: int) -> None:
        """Continue under a later generation: message numbers start again at 1."""
        self.generation = generation
        self.sent.clear()

    def forget_unlisted(self, names: Collection[str]) -> None:
        """Drop the replay windows of copies that are not among ``names``."""
        for name in [sender for sender in self.windows if sender not in names]:
            del self.windows[name]

    def seal(self, to: str, kind: str, body: bytes) -> bytes:
        """The datagram of a message. Raises Dropped("large")."""
        if len(body) > MAX_BODY_BYTES:
            raise Dropped("large")
        self.sent[to] += 1
        data = self._encoder.encode(Envelope(kind, self.own, to, self.generation, self.sent[to], body))
        version = bytes([VERSION])
        return version + self.keys.seal(version + data) + data

    def open(
        self, datagram: bytes, known: Collection[str], kinds: Collection[str], once: Collection[str]
    ) -> Envelope:
        """Verify and decode a datagram from one of the copies ``known``, of one of ``kinds``.

        A message of a kind in ``once`` is accepted a single time. Raises Dropped with one of the reasons
        large, short, version, seal, form, stranger, misdirected, old_life, kind, doubled (a repeated number)
        and late (a number below the replay window).
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
        self._check_number(envelope, once)
        if envelope.kind not in kinds:
            raise Dropped("kind")
        return envelope

    def _check_number(self, envelope: Envelope, once: Collection[str]) -> None:
        """Reject older generations of the sender and, for kinds in ``once``, repeated numbers."""
        window = self.windows.get(envelope.sender)
        if window is None or envelope.generation > window.generation:
            window = self.windows[envelope.sender] = ReplayWindow(envelope.generation)
        elif envelope.generation < window.generation:
            raise Dropped("old_life")
        number_state = window.record(envelope.number)
        if envelope.kind in once and number_state in (SEEN, OLD):
            raise Dropped("doubled" if number_state == SEEN else "late")
