"""Decision on arrival whether a job can still end while it is of use.

A refusal needs proof from what the scheduling entry has counted; what this entry knows
and guesses beyond that only adds to it. Without it, jobs are accepted.
"""

from dataclasses import dataclass
from zlib import crc32

from bergamotshore.core.work.backlog import (
    USE_FACTOR,
    get_drained_cores,
    get_idle_share,
    get_work_ahead,
)
from bergamotshore.core.work.model import get_critical_path_seconds

# Age at which an estimate is too old to refuse by, in seconds. It is made every quarter
# of a second and passed on with three heartbeats of half a second at most.
MAX_AGE_SECONDS = 3.0
# Part of the time within which a job is of use that its wait and chain may take. While
# jobs keep coming, the wait settles at this limit: without a margin, half of those that
# are accepted would end too late.
USE_MARGIN = 0.8
# Least part of the longest wait that known work fills: what the scheduling entry has
# counted and this entry has accepted since. The guess about the others must not refuse
# where there is hardly a backlog.
MIN_KNOWN_SHARE = 0.25
# Share of the cores that is idle only where the work ahead can't use it: narrow chains,
# or steps that wait for something else. Such work keeps no job waiting.
MAX_IDLE_SHARE = 0.1
# Bounds of the time after which a refused caller may return, in seconds.
MIN_RETRY_SECONDS, MAX_RETRY_SECONDS = 1, 30
HASH_RANGE = 2**32


@dataclass(frozen=True, slots=True)
class Refusal:
    """A job can't end while it is of use.

    :param wait: Expected time to its first start, in seconds.
    :param limit: Longest wait after which it is of use, in seconds.
    :param ahead: Work ahead that the scheduling entry has told, in core-seconds.
    :param accepted: Work accepted since by this entry, in core-seconds.
    :param others: Guess of the work accepted since by others, in core-seconds.
    :param cores: Cores that do the work.
    :param epoch: Term of the estimate.
    :param age: Age of the estimate, in seconds.
    :param retry: When to come back, in seconds.
    """

    wait: float
    limit: float
    ahead: float
    accepted: float
    others: float
    cores: float
    epoch: int
    age: float
    retry: int


def get_longest_wait(spec, queue):
    """Return the longest wait after which a job is of use, in seconds."""
    chain = get_critical_path_seconds(spec)
    return USE_MARGIN * USE_FACTOR * (queue.stretch * chain + queue.slack) - chain


def guess_others(count, work, entries):
    """Return the work that other entries have accepted meanwhile, in core-seconds.

    The balancer gives all entries about as many jobs. A few jobs here say little of the
    others: with n of them, as many as their square root may be chance.

    :param count: Number of jobs that this entry has accepted.
    :param work: Their work, in core-seconds.
    :param entries: Number of entries.
    """
    return (entries - 1) * work * (1.0 - count**-0.5) if count else 0.0


def find_refusal(backlog, age, arrival, limit, accepted, entries, job_id):
    """Return the ``Refusal`` of a job, None if it may be of use.

    :param backlog: ``Backlog``.
    :param age: Its age, in seconds.
    :param arrival: ``Arrival``.
    :param limit: See ``get_longest_wait``.
    :param accepted: Number of jobs ahead of it that this entry has accepted since the
        estimate was made, and their work in core-seconds.
    :param entries: Number of entries.
    :param job_id: Identifier of the job, which spreads the times to come back.
    """
    cores = get_drained_cores(backlog, arrival)
    if cores <= 0.0 or limit <= 0.0:
        # How fast work is done isn't known, or the objective is none.
        return None
    if get_idle_share(backlog, arrival) > MAX_IDLE_SHARE:
        return None
    ahead = get_work_ahead(backlog, arrival, limit)
    done = cores * age
    count, own = accepted
    # The balancer's share may be uneven, so that a guess never outweighs what is known.
    others = min(guess_others(count, own, entries), ahead + own)
    wait = (ahead + own + others - done) / cores
    if wait <= limit or ahead + own < MIN_KNOWN_SHARE * limit * cores:
        return None
    full_wait = max(wait, get_work_ahead(backlog, arrival, MAX_RETRY_SECONDS) / cores)
    return Refusal(
        wait,
        limit,
        ahead,
        own,
        others,
        cores,
        backlog.epoch,
        age,
        choose_retry_seconds(full_wait - limit, job_id),
    )


def choose_retry_seconds(excess, job_id):
    """Return when a refused caller may return, in whole seconds.

    The backlog needs ``excess`` seconds to become short enough. Callers are spread over
    as much time again, and two seconds more, so that they don't return together.
    """
    share = crc32(job_id.encode()) / HASH_RANGE
    seconds = excess + share * (excess + 2.0)
    return round(min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds)))
