"""Which rows of groups of tasks are written, are to be written, and are obsolete."""

from collections import defaultdict
from dataclasses import dataclass, field

from bergamotshore.entry.jobrows import get_group_id


@dataclass(slots=True)
class JobGroups:
    """Rows of the groups of one large job.

    The groups that had changed when a write began are written in one or more
    transactions; the job is written up to that revision with the last of them.

    :param target: Revision that the write in progress reaches.
    :param pending: Groups that it has not written yet.
    :param stored: Groups that may have a row.
    """

    target: int = 0
    pending: set = field(default_factory=set)
    stored: set = field(default_factory=set)


class TaskGroupRows:
    """Rows of the groups of all large jobs, during one term."""

    def __init__(self):
        self._groups_by_key = defaultdict(JobGroups)
        self._obsolete_by_part = defaultdict(list)

    def record_restored(self, part, key, groups, is_open):
        """Record the groups that have rows; those of a closed job are obsolete."""
        self._groups_by_key[key].stored.update(groups)
        if not is_open:
            self.record_closed(part, key)

    def begin(self, key, progress, limit):
        """Begin or continue to write the changed groups of a job.

        :param limit: Number of groups that fit into the transaction.
        :returns: Pair of the groups to write now, and whether no other is left.
        """
        groups = self._groups_by_key[key]
        if not groups.pending:
            groups.target = progress.revision
            groups.pending = progress.take_changed_groups()
        chosen = []
        for group in sorted(groups.pending):
            if not progress.is_open(group[0]):
                groups.pending.discard(group)
            elif len(chosen) < limit:
                chosen.append(group)
        groups.stored.update(chosen)
        return chosen, len(chosen) == len(groups.pending)

    def get_target(self, key):
        """Return the revision that the write in progress reaches."""
        return self._groups_by_key[key].target

    def record_written(self, key, groups):
        """Record that the rows of groups are written."""
        # Changes that were made after the write began are written by the next one.
        self._groups_by_key[key].pending.difference_update(groups)

    def record_finished(self, part, key, finished):
        """Record how many occurrences of a job are over, whose rows are obsolete."""
        job = self._groups_by_key[key]
        over = {group for group in job.stored if group[0] < finished}
        job.stored -= over
        self._obsolete_by_part[part] += [get_group_id(key, group) for group in over]

    def record_closed(self, part, key):
        """Record that a job was closed; all its rows are obsolete."""
        job = self._groups_by_key.pop(key, None)
        if job is not None:
            rows = [get_group_id(key, group) for group in job.stored]
            self._obsolete_by_part[part] += rows

    def list_obsolete(self, part, limit):
        """Return ids of obsolete rows to delete, at most as many as given."""
        return self._obsolete_by_part[part][:limit]

    def record_deleted(self, row_ids):
        """Record that obsolete rows were deleted."""
        if row_ids:
            rows = self._obsolete_by_part[row_ids[0].part]
            deleted = set(row_ids)
            rows[:] = [row_id for row_id in rows if row_id not in deleted]
