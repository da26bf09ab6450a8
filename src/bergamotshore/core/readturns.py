"""Order in which an HTTP server reads its connections.

Answers a crowd whose requests are costly to parse, such as bodies in chunks of one
byte: an ordinary request is read before them, and they take turns.
"""

from dataclasses import dataclass

# Work is counted in reads: what one costs whatever it brings. So much framing of chunks
# and so many header fields cost as much again, and so does so much content.
FRAMING_BYTES_PER_READ = 512
FIELDS_PER_READ = 10
CONTENT_BYTES_PER_READ = 64 * 1024
# Work of an ordinary request: a job of some steps, in a few pieces.
ORDINARY_WORK = 8
# Work on other requests in one turn.
TURN_WORK = 32


@dataclass(slots=True)
class ReadingWork:
    """Work that a connection has taken, in reads.

    :param total: Work since it was opened.
    :param before_request: Work when its current request began.
    :param turn: Number of the turn in which it was last read as a costly one.
    """

    total: float = 0.0
    before_request: float = 0.0
    turn: int = 0

    @property
    def is_costly(self):
        """Return whether the current request takes more than an ordinary one."""
        return self.total - self.before_request > ORDINARY_WORK

    def record(self, content=0, framing=0, fields=0):
        """Record one read.

        :param content: Bytes that were read besides the framing.
        :param framing: Bytes of the framing of chunks.
        :param fields: Header fields.
        """
        self.total += (
            1
            + framing / FRAMING_BYTES_PER_READ
            + fields / FIELDS_PER_READ
            + content / CONTENT_BYTES_PER_READ
        )

    def start_request(self):
        """Record that the next request begins."""
        self.before_request = self.total


class ReadTurns:
    """Choose the connections to read, turn by turn."""

    def __init__(self):
        self.turn = 0

    def take(self, work_by_key):
        """Yield the keys of the connections to read in the next turn, in their order.

        The caller reads a connection, and records its work, before it takes the next
        one.

        :param work_by_key: ``ReadingWork`` by key, of connections that can be read.
        """
        self.turn += 1
        costly = []
        for key, work in work_by_key.items():
            if work.is_costly:
                costly.append((work, key))
            else:
                yield key
        costly.sort(key=lambda pair: pair[0].turn)
        spent = 0.0
        for work, key in costly:
            if spent >= TURN_WORK:
                return
            work.turn, before = self.turn, work.total
            yield key
            spent += work.total - before
