"""Encoding of messages as msgpack arrays of tag, Lamport clock and fields."""

from dataclasses import dataclass

import msgpack
import msgspec

from bergamotshore.core.decoding import decode_msgpack
from bergamotshore.exceptions import (
    DecodingError,
    MalformedMessageError,
    UnknownMessageError,
)
from bergamotshore.generated.messages import TYPES_BY_TAG

TAG_BY_TYPE = {message_type: tag for tag, message_type in TYPES_BY_TAG.items()}
FrameParts = tuple[int, int, msgspec.Raw]
# Buffer that a decoder keeps between messages, in bytes.
KEPT_BUFFER_BYTES = 64 * 1024
# A process continues from the highest clock that it received, so there must be room for
# its own messages in 64 bits.
MAX_CLOCK = 2**53


@dataclass(frozen=True, slots=True)
class Frame:
    """A message with the Lamport clock of its sender.

    :param clock: Lamport clock.
    :param message: Message from ``generated.messages``.
    """

    clock: int
    message: object


def encode_message(message, clock):
    """Return the encoding of a message.

    :param message: Message from ``generated.messages``.
    :param clock: Lamport clock of the sender.
    """
    tag = TAG_BY_TYPE[type(message)]
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    return msgpack.packb([tag, clock, fields])


class Decoder:
    """Decode a stream of bytes into messages.

    Values are built only for the fields of whole messages: until then, a message takes
    no more than its bytes, whatever it nests.

    :param max_message_bytes: Maximum size of a message.
    :param limit: Maximum number of bytes that wait for the rest of their message; None
        for ``max_message_bytes``.
    """

    def __init__(self, max_message_bytes, limit=None):
        self.limit = limit or max_message_bytes
        self._max_message_bytes = max_message_bytes
        self._content = bytearray()
        self._start_reading()

    def _start_reading(self):
        self._unpacker = msgpack.Unpacker(
            read_size=min(KEPT_BUFFER_BYTES, self._max_message_bytes),
            max_buffer_size=self._max_message_bytes,
        )
        # Offset of the content in what the unpacker was fed.
        self._offset = self._fed = 0

    @property
    def waiting_bytes(self):
        """Return the number of bytes that wait for the rest of their message."""
        return len(self._content)

    def feed(self, content):
        """Add received bytes and return the messages that are now complete.

        :param content: Received bytes.
        :returns: List of ``Frame``.
        :raises MalformedMessageError: for bytes that are not a valid message.
        :raises UnknownMessageError: for an unknown tag.
        """
        self._content += content
        self._fed += len(content)
        frames = []
        try:
            self._unpacker.feed(content)
            while True:
                try:
                    self._unpacker.skip()
                except msgpack.OutOfData:
                    break
                frames.append(_decode_frame(self._take_message()))
        except (msgpack.UnpackException, ValueError) as error:
            raise MalformedMessageError(str(error)) from error
        if len(self._content) > self.limit:
            raise MalformedMessageError(f"over {self.limit} bytes without an end")
        if not self._content and self._fed > KEPT_BUFFER_BYTES:
            # The unpacker never gives back the buffer of its largest message.
            self._start_reading()
        return frames

    def _take_message(self):
        size = self._unpacker.tell() - self._offset
        message = bytes(self._content[:size])
        del self._content[:size]
        self._offset += size
        return message


def _decode_frame(content):
    try:
        tag, clock, fields = decode_msgpack(content, FrameParts)
    except DecodingError as error:
        detail = f"not an array of tag, clock and fields: {error}"
        raise MalformedMessageError(detail) from error
    if not 0 <= clock <= MAX_CLOCK:
        raise MalformedMessageError("clock is out of range")
    message_type = TYPES_BY_TAG.get(tag)
    if message_type is None:
        raise UnknownMessageError(f"tag {tag}")
    try:
        return Frame(clock, decode_msgpack(fields, message_type))
    except DecodingError as error:
        raise MalformedMessageError(f"{message_type.__name__}: {error}") from error
