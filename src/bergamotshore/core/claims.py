"""Incrementally maintained index of claimed and pending tasks."""

from bergamotshore.core.capacity import Size, get_size
from bergamotshore.core.jobs import get_job_id, list_pending


class ClaimIndex:
    """Aggregates job rows incrementally, without rescanning them.

    A change of a row costs time proportional to the number of its tasks.
    """

    def __init__(self):
        self.sizes_by_node = {}
        self.used_by_team = {}
        self.pending_jobs = set()

    def replace(self, old, new):
        """Update the index for a change of one row.

        :param old: ``JobRow`` before the change; None for a new row.
        :param new: ``JobRow`` after the change; None for a removed row.
        """
        if old is not None:
            self._remove(old)
        if new is not None:
            self._add(new)

    def get_used(self, team):
        """Return the total size of a team's claimed tasks."""
        return self.used_by_team.get(team, Size())

    def get_unlisted_size(self, node, listed):
        """Return the total size of a node's claims missing from its inventory.

        :param listed: Attempts in the inventory, as a set of (job, index, attempt).
        """
        size = Size()
        for key, claimed in self.sizes_by_node.get(node, {}).items():
            if key not in listed:
                size = size + claimed
        return size

    def _add(self, row):
        job_id = get_job_id(row)
        size = get_size(row.spec)
        if list_pending(row):
            self.pending_jobs.add(job_id)
        for task in row.tasks:
            if task.state == "claimed":
                key = (job_id, task.index, task.attempt)
                self.sizes_by_node.setdefault(task.node, {})[key] = size
                self.used_by_team[row.team] = self.get_used(row.team) + size

    def _remove(self, row):
        job_id = get_job_id(row)
        size = get_size(row.spec)
        self.pending_jobs.discard(job_id)
        for task in row.tasks:
            if task.state == "claimed":
                key = (job_id, task.index, task.attempt)
                self.sizes_by_node[task.node].pop(key)
                self.used_by_team[row.team] = self.get_used(row.team) - size
