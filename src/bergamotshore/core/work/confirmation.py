"""Freshness of polled state, so that declared changes take effect in time.

A poll of a feed confirms the state as of the time when the poll was sent. State that
was not confirmed for as long as a change may take to be in force is no longer used for
decisions, whatever happened to later polls.
"""

import math
from dataclasses import dataclass

# Share of the allowed time that a poll waits for a change. Two polls in a row wait for
# less than half of it, so that a poll without an answer leaves time for another.
WAIT_SHARE = 0.2
# Further share for the answer. Of a limit of 2 s it is 0.6 s, enough for a slow store,
# which answers in under 0.4 s.
ANSWER_SHARE = 0.3
# A node refuses an order whose echoed clock reading is older than this, in seconds: a
# data centre or worker may have been closed, or a job cancelled, since the decision.
MAX_ORDER_AGE_SECONDS = 1.5
# Time from a node's last check of an order to the start by its worker, in seconds.
ORDER_TRANSIT_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class PollTimes:
    """Time limits of one poll of a feed.

    :param wait: Longest wait for a change, in seconds.
    :param timeout: Timeout of the whole poll, in seconds.
    """

    wait: float
    timeout: float


def get_poll_times(within):
    """Return the ``PollTimes`` of a feed.

    :param within: Time within which a change has to take effect, in seconds.
    """
    return PollTimes(WAIT_SHARE * within, (WAIT_SHARE + ANSWER_SHARE) * within)


def get_max_age(within):
    """Return how old the state behind an order may be when it is sent, in seconds.

    :param within: Time after which a declared change must hold for all starts, in
        seconds.
    """
    return within - MAX_ORDER_AGE_SECONDS - ORDER_TRANSIT_SECONDS


@dataclass(slots=True)
class StateFreshness:
    """Actual and allowed age of the state on which decisions to start tasks are based.

    :param site: ``SiteState``.
    :param max_site_age: Largest allowed age of the operator's rows, in seconds.
    :param max_jobs_age: Largest allowed age of the table of jobs, in seconds.
    :param jobs_confirmed_at: A time up to which all rows of jobs are known, on the
        entry's clock, in seconds.
    """

    site: object
    max_site_age: float
    max_jobs_age: float
    jobs_confirmed_at: float = -math.inf

    def is_fresh(self, now):
        """Return whether the state is recent enough to decide on and order starts."""
        return (
            self.site.get_age(now) < self.max_site_age
            and now - self.jobs_confirmed_at < self.max_jobs_age
        )
