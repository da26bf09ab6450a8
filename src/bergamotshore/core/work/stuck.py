"""Detection of stuck runs, which make no progress although they aren't paused."""

# Time without progress, at full speed, after which a run is considered stuck, in
# seconds. The longest known tasks advance by one percent in under 0.6 s.
STUCK_SECONDS = 2.5
# A long-running task that isn't fully started after this time is restarted on another
# worker, in seconds.
STUCK_LONG_RUNNING_SECONDS = 5.0
FULL_PERCENT = 100
# Lower bound of the speed limit by which the time is scaled, in percent.
MIN_SPEED_PERCENT = 20


def is_stuck(run, worker):
    """Return whether a run is stuck.

    Uses the time of the worker's last report instead of the current time, because
    missing reports say nothing about progress.

    :param run: ``Allocation``.
    :param worker: ``WorkerState``.
    """
    if (
        not run.is_started
        or run.stop_sent_at
        or not run.throttle_percent
        or run.step.is_gang
    ):
        return False
    stalled_seconds = worker.reported_at - run.progressed_at
    if run.percent >= FULL_PERCENT:
        return False
    if run.step.is_lasting:
        return stalled_seconds > STUCK_LONG_RUNNING_SECONDS
    return stalled_seconds > STUCK_SECONDS * FULL_PERCENT / max(
        MIN_SPEED_PERCENT, run.throttle_percent
    )
