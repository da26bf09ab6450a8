"""Decoding of the bodies of calls and answers into a ``Result``."""

from typing import Annotated

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.decoding import call_decoder, decode_json
from bergamotshore.exceptions import DecodingError

# Numbers from outside are bounded, so that they can be passed on in messages.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=2**53)]
Rank = Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]


def read_json(content, target):
    """Return ``Result`` of the value in JSON text, or of a ``DecodingError``.

    :param content: Bytes or text.
    :param target: Type of the value.
    """
    return read_value(decode_json, content, target)


def read_value(decoder, *arguments):
    """Return ``Result`` of what a decoder returns, or of a ``DecodingError``."""
    try:
        return Success(call_decoder(decoder, *arguments))
    except DecodingError as error:
        return Failure(error)
