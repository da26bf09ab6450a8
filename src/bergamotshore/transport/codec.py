"""Messages as msgpack arrays of tag, Lamport clock and fields."""

from dataclasses import dataclass

import msgpack
import msgspec

from bergamotshore.exceptions import MalformedMessageError, UnknownMessageError
from bergamotshore.generated.messages import TYPES_BY_TAG

TAGS_BY_TYPE = {message_type: tag for tag, message_type in TYPES_BY_TAG.items()}
FRAME_PARTS = 3


@dataclass(frozen=True, slots=True)
class Frame:
    """A message with the Lamport clock of its sender.

    :param clock: Lamport clock.
    :param message: Message from ``generated.messages``.
    """

    clock: int
    message: object


def encode_message(message, clock):
    """Return the bytes of a message.

    :param message: Message from ``generated.messages``.
    :param clock: Lamport clock of the sender.
    """
    tag = TAGS_BY_TYPE[type(message)]
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    return msgpack.packb([tag, clock, fields])


class Decoder:
    """Cut a stream of bytes into messages.

    :param largest: Largest message, in bytes.
    """

    def __init__(self, largest):
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=largest, strict_map_key=True, raw=False
        )

    def feed(self, content):
        """Take bytes and return the whole messages in them.

        :param content: Bytes as received.
        :returns: List of ``Frame``.
        :raises MalformedMessageError: for bytes that are no message.
        :raises UnknownMessageError: for a tag that is not known.
        """
        try:
            self._unpacker.feed(content)
            parts = list(self._unpacker)
        except (msgpack.exceptions.UnpackException, ValueError) as error:
            raise MalformedMessageError(str(error)) from error
        return [_decode_frame(part) for part in parts]


def _decode_frame(part):
    if not isinstance(part, list) or len(part) != FRAME_PARTS:
        raise MalformedMessageError("not an array of tag, clock and fields")
    tag, clock, fields = part
    if not isinstance(tag, int) or not isinstance(clock, int) or clock < 0:
        raise MalformedMessageError("tag or clock is not a number")
    message_type = TYPES_BY_TAG.get(tag)
    if message_type is None:
        raise UnknownMessageError(f"tag {tag}")
    try:
        return Frame(clock, msgspec.convert(fields, type=message_type))
    except msgspec.ValidationError as error:
        raise MalformedMessageError(f"{message_type.__name__}: {error}") from error
