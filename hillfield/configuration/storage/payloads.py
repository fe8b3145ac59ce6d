"""Payloads of the store: versioned, compressed msgpack."""

from typing import Final, TypeVar

from expression import Error, Ok, Result
from msgspec import DecodeError
from msgspec.msgpack import Decoder, Encoder
from zstandard import (
    ZstdCompressor,
    ZstdDecompressor,
    ZstdError,
    frame_content_size,
)

from hillfield.configuration.schema.accounts import ClientAccount
from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.configuration.storage.stored import (
    SCHEMA,
    SparseBucket,
    Stored,
    StoredBucket,
    StoredChanges,
    StoredSchema,
    StoredTemplate,
)

# The platform's values end at 1 MB; what unpacks to more is not ours.
MAXIMUM_UNPACKED: Final = 4_000_000
COMPRESSION_LEVEL: Final = 9
Body = TypeVar('Body')


ENCODER: Final = Encoder()
SCHEMA_DECODER: Final = Decoder(StoredSchema)
COMPRESSOR: Final = ZstdCompressor(level=COMPRESSION_LEVEL)
DECOMPRESSOR: Final = ZstdDecompressor()
TEMPLATE_DECODER: Final = Decoder(StoredTemplate)
BUCKET_DECODER: Final = Decoder(StoredBucket)
CHANGES_DECODER: Final = Decoder(StoredChanges)
SPARSE_DECODER: Final = Decoder(SparseBucket)
ACCOUNT_DECODER: Final = Decoder(ClientAccount)
_FIX: Final = 'write it by `hillfield config apply` of this version'


def encode_stored(stored: Stored) -> bytes:
    """Return the payload of a stored value."""
    compressed = COMPRESSOR.compress(ENCODER.encode(stored))
    # The library keeps the room for the worst case; a copy takes what it needs.
    return bytes(memoryview(compressed))


def decode_template(
    place: str,
    payload: bytes,
) -> Result[StoredTemplate, ConfigurationProblem]:
    """Decode a template; an empty payload is one that was removed."""
    if not payload:
        return Ok(StoredTemplate(SCHEMA, (), None))
    return _decode(place, payload, TEMPLATE_DECODER)


def decode_bucket(
    place: str,
    payload: bytes,
) -> Result[StoredBucket, ConfigurationProblem]:
    """Decode an account bucket; an empty payload holds no account."""
    if not payload:
        return Ok(StoredBucket(SCHEMA, (), {}))
    return _decode(place, payload, BUCKET_DECODER)


def decode_changes(
    place: str,
    payload: bytes,
) -> Result[StoredChanges, ConfigurationProblem]:
    """Decode a segment of the history; an empty payload holds no change."""
    if not payload:
        return Ok(StoredChanges(SCHEMA, ()))
    return _decode(place, payload, CHANGES_DECODER)


def decode_account(payload: bytes, name: str) -> ClientAccount | None:
    """Decode one account of a bucket that was found valid before.

    The bucket's other accounts are skipped unread, which makes the first
    request of an account some twenty times cheaper.
    """
    if not payload:
        return None
    raw = SPARSE_DECODER.decode(DECOMPRESSOR.decompress(payload))
    packed = raw.accounts.get(name)
    if packed is None:
        return None
    return ACCOUNT_DECODER.decode(packed)


def _decode(
    place: str,
    payload: bytes,
    decoder: Decoder[Body],
) -> Result[Body, ConfigurationProblem]:
    try:
        return Ok(decoder.decode(_unpack(payload)))
    except (DecodeError, ZstdError, ValueError) as error:
        return Error(
            ConfigurationProblem(place, 'payload', str(error), _FIX),
        )


def _unpack(payload: bytes) -> bytes:
    """Decompress a payload and check its schema before all else."""
    if not 0 <= frame_content_size(payload) <= MAXIMUM_UNPACKED:
        raise ValueError('a payload of unstated or too large size')
    unpacked = DECOMPRESSOR.decompress(payload)
    schema = SCHEMA_DECODER.decode(unpacked).schema
    if schema != SCHEMA:
        raise ValueError(f'schema {schema}; this version reads {SCHEMA}')
    return unpacked
