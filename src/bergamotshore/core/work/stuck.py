"""Runs that stand still although they may work, found by their progress."""

# Time without progress, at full pace, after which a run counts as stuck, in seconds.
# The longest tasks known make a hundredth of their progress in under 0.6 s.
STUCK_SECONDS = 2.5
# A lasting task that is not at work after this time is started elsewhere, in seconds.
STUCK_LASTING_SECONDS = 5.0
FULL_PERCENT = 100
# Slower paces than this count as this one, in percent.
SLOWEST_PACE = 20


def is_stuck(allocation, worker):
    """Tell whether a run stands still.

    It is judged at the time of the worker's last report: without reports nothing is
    known.

    :param allocation: ``Allocation``.
    :param worker: ``WorkerState``.
    """
    if (
        not allocation.is_started
        or allocation.stop_sent_at
        or allocation.throttle_percent == 0
        or allocation.step.is_gang
    ):
        return False
    still = worker.reported_at - allocation.progressed_at
    if allocation.percent >= FULL_PERCENT:
        return False
    if allocation.step.is_lasting:
        return still > STUCK_LASTING_SECONDS
    return still > STUCK_SECONDS * FULL_PERCENT / max(
        SLOWEST_PACE, allocation.throttle_percent
    )
