"""Decoding of bytes that others have written, with one exception for all that can be wrong."""

from typing import TypeVar

import msgspec

T = TypeVar("T")

ERRORS = (msgspec.DecodeError, RecursionError, ValueError, OverflowError)
"""What decoders raise for invalid, deeply nested or too large input."""


def decode_json(data: bytes, kind: type[T]) -> T:
    """Return a value that is encoded as JSON.

    Raises
    ------
    msgspec.DecodeError
        The bytes are no such value, or are too large or too deeply nested to decode.

    Examples
    --------
    >>> decode_json(b"[1, 2]", list[int])
    [1, 2]
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except ERRORS as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_msgpack(data: bytes, decoder: msgspec.msgpack.Decoder[T]) -> T:
    """Return a value that is encoded as MessagePack.

    Raises
    ------
    msgspec.DecodeError
        The bytes are no such value, or are too large or too deeply nested to decode.
    """
    try:
        return decoder.decode(data)
    except ERRORS as error:
        raise msgspec.DecodeError(str(error)) from error
