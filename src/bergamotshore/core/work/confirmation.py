"""How long looks at declared rows may take, so that changes are in force in time.

A look proves what was so when it was asked. Knowledge that was not proved for as long
as a change may take to be in force decides nothing more, whatever became of the looks
meanwhile.
"""

import math
from dataclasses import dataclass

# A look waits this share of the time for a change. Two looks in a row take less than
# half of it, so that one that gets no answer leaves time for another.
WAIT_SHARE = 0.2
# Further share for the answer: at 2 s it covers that of a slow store, under 0.4 s.
ANSWER_SHARE = 0.3
# An order whose echoed reading is older than this is refused by its node: a data
# centre, a worker or a job may have been taken out since it was decided. In seconds.
MAX_ORDER_AGE_SECONDS = 1.5
# Time from the last look of a node at an order to its start by the worker, in seconds.
ORDER_TRANSIT_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class PollTimes:
    """Times of one look at a feed.

    :param wait: Longest wait for a change, in seconds.
    :param timeout: Time until it is given up, in seconds.
    """

    wait: float
    timeout: float


def get_poll_times(within):
    """Return the ``PollTimes`` of a feed.

    :param within: Time after which a change has to be in force, in seconds.
    """
    return PollTimes(WAIT_SHARE * within, (WAIT_SHARE + ANSWER_SHARE) * within)


def get_max_age(within):
    """Return how old the knowledge behind an order may be when it is sent, in seconds.

    :param within: Time after which nothing may be started against a declaration, in
        seconds.
    """
    return within - MAX_ORDER_AGE_SECONDS - ORDER_TRANSIT_SECONDS


@dataclass(slots=True)
class StateFreshness:
    """How old the knowledge that starts rest on is, and may be.

    :param site: ``SiteState``.
    :param max_site_age: Longest age of the operator's rows, in seconds.
    :param max_jobs_age: Longest age of the table of jobs, in seconds.
    :param jobs_confirmed_at: A time up to which all rows of jobs are known, on the
        entry's clock.
    """

    site: object
    max_site_age: float
    max_jobs_age: float
    jobs_confirmed_at: float = -math.inf

    def is_fresh(self, now):
        """Tell whether starts may be decided and sent."""
        return (
            self.site.get_age(now) < self.max_site_age
            and now - self.jobs_confirmed_at < self.max_jobs_age
        )
