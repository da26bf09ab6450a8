"""Bodies of requests that are still arriving, kept in memory.

They take the place of waitress's receivers, whose chunked one takes microseconds for
each chunk, however small it is.
"""

from io import BytesIO

import httptools
from waitress.utilities import BadRequest

# A chunked body ends with an empty line, and so does everything that is split here.
END = b"\r\n\r\n"
# The parser gets chunks as the body of a request that it has seen begin.
CHUNKED_HEAD = (
    b"POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
)
# Shortest framing of a chunk: its size, two ends of lines.
MIN_FRAMING_BYTES = 5
# Framing of a body beyond its largest size, for each byte of content: chunks of one
# byte with a size of four digits.
MAX_FRAMING_PER_BYTE = 8


class Body:
    """Content of a body, with the interface of waitress's receivers and buffers.

    ``framing`` is the number of bytes on the wire besides the content, ``pending`` the
    number of those since the latest content, which the parser may hold.
    """

    completed = False
    error = None
    framing = 0
    pending = 0

    def __init__(self):
        self._content = bytearray()
        self._file = None
        self._length = 0

    def __len__(self):
        return len(self._content) if self._file is None else self._length

    @property
    def content(self):
        """Return the content received so far; only until ``getfile`` is called."""
        return self._content

    def getfile(self):
        """Return the content as a file; the body receives no more."""
        if self._file is None:
            self._file, self._length = BytesIO(self._content), len(self._content)
            self._content = bytearray()
        return self._file

    def getbuf(self):
        """Return the buffer, which waitress closes at the end of the request."""
        return self

    def close(self):
        """Forget the content."""
        self._content = bytearray()
        self._file = BytesIO()


class SizedBody(Body):
    """Body with an announced length.

    :param length: The length, in bytes; more than 0.
    """

    def __init__(self, length):
        super().__init__()
        self._remaining = length

    def received(self, data):
        """Take received bytes; return how many of them belong to the body."""
        if len(data) > self._remaining:
            data = data[: self._remaining]
        self._content += data
        self._remaining -= len(data)
        self.completed = not self._remaining
        return len(data)


class ChunkEvents:
    """Callbacks of the parser.

    They don't refer to the parser: a cycle would keep the content of ended requests
    until the garbage collector runs.

    :param content: ``bytearray`` that takes the content.
    """

    def __init__(self, content):
        self.on_body = content.extend
        self.is_complete = False

    def on_message_complete(self):
        """Record the end of the body."""
        self.is_complete = True


class ChunkedBody(Body):
    """Body in chunks."""

    def __init__(self):
        super().__init__()
        self._events = ChunkEvents(self._content)
        self._parser = httptools.HttpRequestParser(self._events)
        self._parser.feed_data(CHUNKED_HEAD)
        # Latest bytes received, which may be the beginning of an ``END``.
        self._tail = b""

    def received(self, data):
        """Take received bytes; return how many of them belong to the body.

        The parser doesn't tell where the body ended, so it gets bytes up to each place
        where the body may end.
        """
        text = self._tail + data
        offset = start = len(self._tail)
        while start < len(text) and not (self.completed or self.error):
            found = text.find(END, max(0, start - len(END) + 1))
            end = len(text) if found < 0 else found + len(END)
            self._feed(text[start:end])
            start = end
        self._tail = text[max(0, start - len(END) + 1) : start]
        return start - offset

    def close(self):
        """Forget the content, and the parser, whose callbacks hold it."""
        super().close()
        self._events = self._parser = None

    def _feed(self, data):
        length = len(self._content)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.error = BadRequest(f"Invalid chunk: {error}")
            return
        added = len(self._content) - length
        self.framing += len(data) - added
        self.pending = 0 if added else self.pending + len(data)
        self.completed = self._events.is_complete

    def getfile(self):
        """Return the content as a file; the body receives no more."""
        file = super().getfile()
        self._events = self._parser = None
        return file
