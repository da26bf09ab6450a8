"""Slots for runs, which bound what runs cost the processes beside them.

Tasks may ask for next to nothing of a worker, so that its size allows any number of
them. Each run takes memory in the scheduling entry and in the node, and is listed by
the worker again and again. A job never takes the last slots of a worker: it may have as
many runs there as it leaves to others.
"""

# Most runs of a worker: a list of these takes 0.2 MB.
MAX_RUNS_PER_WORKER = 2000
# Least slots of a worker, however many workers there are.
MIN_RUNS_PER_WORKER = 20
# Runs of all workers per MB of the scheduling entry: each takes 0.8 kB of the state
# that is planned with, so that they take 8% of the memory there.
RUNS_PER_MB = 100


def get_slots(max_runs, workers):
    """Return the number of runs that each worker may have.

    :param max_runs: Runs that the scheduling entry has memory for.
    :param workers: Number of workers.
    """
    share = max_runs // max(1, workers)
    return max(MIN_RUNS_PER_WORKER, min(MAX_RUNS_PER_WORKER, share))


def has_slot(worker, job, slots):
    """Return whether a worker has a slot for a further run of a job.

    :param worker: ``WorkerState``.
    :param job: Key of the job.
    :param slots: Number of runs that the worker may have.
    """
    own = worker.runs_by_job.get(job, 0)
    return own < slots - len(worker.allocation_by_key)


def list_workers_with_slot(cluster, item, workers):
    """Return the workers that have a slot for a further run of a step.

    :param cluster: ``ClusterState``.
    :param item: ``WaitingStep``.
    """
    slots, job = cluster.slots, item.progress.key
    return [
        worker
        for worker in workers
        # A worker that is half empty has one for any job.
        if 2 * len(worker.allocation_by_key) < slots or has_slot(worker, job, slots)
    ]


def count_room(worker, step, job, slots):
    """Return how many tasks of a step a worker has room for at most."""
    room = [
        (size - used) // needed
        for size, used, needed in (
            (worker.size.cpu, worker.used_cpu, step.reserved_cpu),
            (worker.size.memory, worker.used_memory, step.memory),
            (worker.size.accelerators, worker.used_accelerators, step.accelerators),
        )
        if needed
    ]
    own = worker.runs_by_job.get(job, 0)
    free = slots - len(worker.allocation_by_key) - own
    # Each further run takes a slot and has to leave another one.
    room.append(-(-free // 2))
    if step.per_worker:
        room.append(step.per_worker)
    return max(0, min(room))
