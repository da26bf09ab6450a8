"""What an accepted job takes of the memory of the entry that schedules it.

The number of its tasks counts for a bit each. What a run takes is bounded apart, see
``runslots``.
"""

from dataclasses import dataclass

# Most that a job and each of its steps takes while a planning pass looks at it, in
# bytes; ``bench/jobcost.py`` shows what they take.
JOB_BYTES = 2500
STEP_BYTES = 1250
DEPENDENCY_BYTES = 48
# A letter of a text takes up to four bytes, and a task that is done a bit.
LETTER_BYTES = 4
TASKS_IN_BYTE = 8
# Share of the memory of an entry that accepted jobs may take.
MEMORY_SHARE = 0.25
BYTES_PER_MB = 1_000_000
# Share of it that is left to small jobs, and the most that these take, in bytes: some
# large ones don't keep all others out.
RESERVED_SHARE = 0.25
SMALL_JOB_BYTES = 20_000


@dataclass(frozen=True, slots=True)
class HeldJobs:
    """What the scheduling entry tells of the jobs that it holds.

    :param memory: Memory that they take, in bytes.
    :param limit: Memory that they may take, in bytes.
    :param version: Version of the store up to which accepted jobs are counted.
    """

    memory: int
    limit: int
    version: int


def estimate_job_memory(spec):
    """Return the memory that a job takes at most, in bytes.

    :param spec: ``JobSpec``.
    """
    letters = len(spec.payload)
    dependencies = tasks = 0
    for step in spec.steps:
        tasks += step.tasks
        letters += len(step.label) + len(step.rack) + len(step.image)
        dependencies += len(step.after)
    return (
        JOB_BYTES
        + len(spec.steps) * STEP_BYTES
        + dependencies * DEPENDENCY_BYTES
        + letters * LETTER_BYTES
        + max(1, spec.repeats) * tasks // TASKS_IN_BYTE
    )


def get_memory_limit(memory_mb):
    """Return the memory that accepted jobs may take, in bytes.

    :param memory_mb: Memory of the entry, in MB.
    """
    return int(memory_mb * BYTES_PER_MB * MEMORY_SHARE)


def has_room(held, limit, unseen, entries, memory):
    """Return whether an entry may accept a further job.

    Each entry uses up no more than its part of what is free: none knows what the others
    have accepted since the scheduling entry counted.

    :param held: ``HeldJobs``; None if nothing was told yet.
    :param limit: Limit of this entry, in bytes.
    :param unseen: Memory of the jobs that it accepted since, in bytes.
    :param entries: Number of entries.
    :param memory: Memory of the further job, in bytes.
    """
    taken = entries * unseen + memory
    if held is not None:
        limit = min(limit, held.limit)
        taken += held.memory
    if memory > SMALL_JOB_BYTES:
        limit *= 1.0 - RESERVED_SHARE
    return taken <= limit
