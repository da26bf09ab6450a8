"""How old the published numbers of waiting jobs are."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CountsMark:
    """Statement of the scheduling entry that the published numbers are right.

    :param version: Version of the row of the numbers that it has written last.
    :param measured_at: Time on the store's clock at which they were right, in seconds.
    """

    version: int
    measured_at: float


@dataclass(frozen=True, slots=True)
class PublishedCounts:
    """The published numbers as read from the store.

    :param version: Version of their row; 0 if there is none.
    :param count_by_queue: Number of waiting jobs by queue.
    :param read_at: Time on the store's clock, in seconds; 0 if it didn't tell.
    """

    version: int
    count_by_queue: dict
    read_at: float


class StoreClock:
    """The store's clock, as told by its answers.

    It is never ahead of the real one: an answer is on its way for a moment.

    :param clock: ``Clock`` of this entry.
    """

    def __init__(self, clock):
        self._clock = clock
        self._offset = None

    def observe(self, now):
        """Record the time in an answer that just arrived, in seconds; 0 for none."""
        if now:
            self._offset = now - self._clock.now()

    def now(self):
        """Return the time on the store's clock, in seconds; 0 while it isn't known."""
        return 0.0 if self._offset is None else self._offset + self._clock.now()


def get_age(published, mark):
    """Return the age of published numbers, in seconds; None if it isn't known.

    Whoever has written the row since has measured its numbers later.

    :param published: ``PublishedCounts``.
    :param mark: ``CountsMark``; None if there is none.
    """
    if mark is None or not mark.version or not mark.measured_at:
        return None
    if not published.read_at or published.version < mark.version:
        return None
    return max(0.0, published.read_at - mark.measured_at)
