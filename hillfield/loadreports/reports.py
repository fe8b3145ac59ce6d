"""What a gate tells of its target's room, and how that is coded."""

from enum import IntEnum
from hashlib import blake2b
from hmac import compare_digest
from typing import Final

from msgspec import MsgspecError, Struct
from msgspec.msgpack import Decoder, Encoder

from hillfield.model import Address, TargetId

MAC_LENGTH: Final = 8
KEY_LIMIT: Final = 64


class Held(IntEnum):
    """Say which work a gate holds back from its target.

    `ONCE`: work that runs once; `USUAL`: all but a trial; `ALL`: all.
    """

    NOTHING = 0
    ONCE = 1
    USUAL = 2
    ALL = 3


class LoadReport(Struct, frozen=True, array_like=True):
    """Say how much room one life of a target has.

    `number` grows with each report of a life, `free` is its free slots,
    `waiting` how many requests wait at its gate, `held` what work the gate
    holds back.
    """

    service: str
    ip: str
    port: int
    incarnation: int
    number: int
    free: int
    waiting: int = 0
    held: Held = Held.NOTHING

    @property
    def target(self) -> TargetId:
        """Return the life of the target that is told of."""
        address = Address(self.ip, self.port)
        return TargetId(self.service, address, self.incarnation)


class ReportCodec:
    """Seal reports with the cluster's key, and open them.

    >>> codec = ReportCodec(b'key')
    >>> report = LoadReport('fees', '10.0.0.1', 80, 7, 1, 4)
    >>> codec.open(codec.seal(report)) == report
    True
    >>> ReportCodec(b'other').open(codec.seal(report)) is None
    True
    """

    def __init__(self, key: bytes) -> None:
        """Derive the key of the MAC."""
        self._key = blake2b(key, digest_size=KEY_LIMIT).digest()
        self._encoder = Encoder()
        self._decoder = Decoder(LoadReport)

    def seal(self, report: LoadReport) -> bytes:
        """Return the datagram: a keyed MAC of 8 bytes, then the report."""
        body = self._encoder.encode(report)
        return self._sign(body) + body

    def open(self, datagram: bytes) -> LoadReport | None:
        """Return the report, or None if it isn't of this cluster."""
        mac, body = datagram[:MAC_LENGTH], datagram[MAC_LENGTH:]
        if not compare_digest(mac, self._sign(body)):
            return None
        try:
            return self._decoder.decode(body)
        except (MsgspecError, UnicodeDecodeError):
            return None

    def _sign(self, body: bytes) -> bytes:
        return blake2b(body, digest_size=MAC_LENGTH, key=self._key).digest()
