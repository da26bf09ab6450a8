"""Index of claimed and pending tasks, kept up row by row."""

from bergamotshore.core.capacity import Size, get_size
from bergamotshore.core.jobs import get_job_id, list_pending


class ClaimIndex:
    """Sum up job rows without going through all of them again.

    A row costs time in proportion to its own tasks when it changes, and nothing else.
    """

    def __init__(self):
        self.sizes_by_node = {}
        self.used_by_team = {}
        self.pending_jobs = set()

    def replace(self, old, new):
        """Take a change of one row into account.

        :param old: ``JobRow`` before; None for a new one.
        :param new: ``JobRow`` after; None for one that is gone.
        """
        if old is not None:
            self._remove(old)
        if new is not None:
            self._add(new)

    def get_used(self, team):
        """Return the size of a team's claimed tasks."""
        return self.used_by_team.get(team, Size())

    def get_unlisted_size(self, node, listed):
        """Return the size of a node's claims that its inventory does not list.

        :param listed: Set of attempts as (job, index, attempt).
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
