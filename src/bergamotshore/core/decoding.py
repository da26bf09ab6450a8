"""Decoding of content from outside the process, with one type of error."""

import msgspec

from bergamotshore.exceptions import DecodingError

# What decoders raise for content: RecursionError for deep nesting, also in a field that
# nobody reads, and subclasses of ValueError for text that is not UTF-8 or numbers with
# too many digits.
CONTENT_ERRORS = (msgspec.MsgspecError, ArithmeticError, RecursionError, ValueError)


def decode_json(content, target):
    """Return the value in JSON text.

    :param content: Bytes or text.
    :param target: Type of the value.
    :raises DecodingError: if the content is not such a value.
    """
    return call_decoder(msgspec.json.decode, content, type=target)


def decode_msgpack(content, target):
    """Return the value in msgpack bytes; see ``decode_json``."""
    return call_decoder(msgspec.msgpack.decode, content, type=target)


def convert(value, target):
    """Return a value of builtin types as another type; see ``decode_json``."""
    return call_decoder(msgspec.convert, value, type=target)


def call_decoder(function, *arguments, **options):
    """Return what a decoder returns.

    :raises DecodingError: for each error that content can make it raise.
    """
    try:
        return function(*arguments, **options)
    except DecodingError:
        raise
    except CONTENT_ERRORS as error:
        raise DecodingError(f"{type(error).__name__}: {error}") from error
