"""Builds the scheduling entry's transactions, one for all changes of a partition."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bergamotshore.core.work.jobstate import encode_crashes, encode_progress
from bergamotshore.core.work.taskgroups import encode_group
from bergamotshore.entry.jobrows import (
    CLOSED,
    CRASHES,
    JOBS,
    RUNS,
    ClosedJob,
    encode_closed,
    get_cancel_id,
    get_fence_id,
    get_group_id,
    get_part,
    get_row_id,
)
from bergamotshore.entry.taskgrouprows import TaskGroupRows
from bergamotshore.exceptions import RowsRefused
from bergamotshore.ports.rows import Expect, Put, RowsConflict

# The store accepts 100 entries per call; closing a job needs up to six.
MAX_BATCH_ENTRIES = 90
# The store accepts 1 MB per call, and encoding enlarges values by a third.
MAX_BATCH_BYTES = 500_000
MAX_CLOSED_KEYS = 20_000
# A job whose changes the store refuses is written again after this time, in seconds.
REFUSED_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Batch:
    """One transaction and the job revisions that it writes.

    :param epoch: Term whose fence guards it.
    :param expects: List of ``Expect``.
    :param puts: List of ``Put``.
    :param deletes: List of ``RowId``.
    :param revision_by_key: Revision by job key, for jobs that stay open.
    :param closing: Keys of the jobs that it closes.
    :param crashes_by_key: Content of the rows of crashes that it changes, by job key.
    :param groups_by_key: ``TaskGroup`` objects that it writes, by key of a large job.
    :param finished_by_key: Finished occurrences that it writes, by key of a large job.
    :param obsolete: Ids of rows of groups that it deletes.
    """

    epoch: int
    expects: list
    puts: list
    deletes: list
    revision_by_key: dict
    closing: list
    crashes_by_key: dict = field(default_factory=dict)
    groups_by_key: dict = field(default_factory=dict)
    finished_by_key: dict = field(default_factory=dict)
    obsolete: list = field(default_factory=list)

    @property
    def entries(self):
        """Return the number of its entries."""
        return len(self.expects) + len(self.puts) + len(self.deletes)

    @property
    def keys(self):
        """Return the keys of the jobs that it writes."""
        return {*self.revision_by_key, *self.groups_by_key, *self.closing}


class JobWriter:
    """Build transactions of changed jobs and track the written revision of each job.

    :param cluster: ``ClusterState``.
    :param epoch: Current term of this entry.
    :param clock: ``Clock``.
    :param collector: ``ErrorCollector``: jobs that can't be written are left out.
    """

    def __init__(self, cluster, epoch, clock, collector):
        self._clock = clock
        self._collector = collector
        self._board = cluster
        self._epoch = epoch
        self._fence_version_by_part = {}
        self._row_version_by_key = {}
        self._written_revision_by_key = {}
        self._crashes_by_key = {}
        self._closed_keys = OrderedDict()
        self._group_rows = TaskGroupRows()
        self._moving_value_by_key = {}
        # Jobs that are written alone, as one of them makes the store refuse the rest.
        self._suspects = set()
        self._refused_until_by_key = {}

    def set_fence(self, part, version):
        """Set the version of the fence row of a partition."""
        self._fence_version_by_part[part] = version

    def record_restored(self, key, version):
        """Record the version of the row that a job was restored from."""
        self._row_version_by_key[key] = version

    def record_restored_groups(self, part, key, groups):
        """Record the groups of tasks that have rows, also those of a closed job."""
        self._group_rows.record_restored(
            part, key, groups, key in self._board.job_by_key
        )

    def record_restored_in_one_row(self, key, value):
        """Record that all tasks of a large job are in one row, as they used to be."""
        self._moving_value_by_key[key] = value

    def record_restored_crashes(self, key, content):
        """Record the content of a job's row of crashes."""
        self._crashes_by_key[key] = content

    def is_closed(self, key):
        """Return whether a job was closed in this term."""
        return key in self._closed_keys

    def is_written(self, key, revision):
        """Return whether a job is written up to a revision."""
        return (
            key in self._closed_keys
            or self._written_revision_by_key.get(key, 0) >= revision
        )

    def build_batch(self, part):
        """Return a ``Batch`` of the changes of a partition, None if there are none."""
        batch = Batch(self._epoch, [], [], [], {}, [])
        size = 0
        for key, progress in self._list_dirty(part):
            is_alone = key in self._suspects
            if is_alone and batch.expects:
                continue
            with self._collector.containing("writing", key):
                if progress.outcome or progress.is_cancelled:
                    self._add_closing(batch, key, progress)
                else:
                    size += self._add_progress(batch, key, progress)
            is_full = batch.entries >= MAX_BATCH_ENTRIES or size >= MAX_BATCH_BYTES
            if is_full or is_alone:
                break
        free = max(0, MAX_BATCH_ENTRIES - batch.entries)
        batch.obsolete.extend(self._group_rows.list_obsolete(part, free))
        batch.deletes.extend(batch.obsolete)
        if not batch.entries:
            return None
        fence = get_fence_id(part)
        batch.expects.append(Expect(fence, self._fence_version_by_part[part]))
        return batch

    def _list_dirty(self, part):
        now = self._clock.now()
        for key, progress in self._board.job_by_key.items():
            if not self._is_dirty(key, progress) or get_part(key) != part:
                continue
            if now >= self._refused_until_by_key.get(key, 0.0):
                yield key, progress

    def _is_dirty(self, key, progress):
        return progress.revision > self._written_revision_by_key.get(key, 0)

    def _add_progress(self, batch, key, progress):
        row_id = get_row_id(RUNS, key)
        if progress.is_grouped:
            return self._add_groups(batch, key, progress)
        value = encode_progress(progress)
        batch.expects.append(Expect(row_id, self._row_version_by_key.get(key, 0)))
        batch.puts.append(Put(row_id, value))
        batch.revision_by_key[key] = progress.revision
        return len(value) + self._add_crashes(batch, key, progress)

    def _add_groups(self, batch, key, progress):
        """Add rows of groups of a large job, as many as there is room for.

        The row of the job is written with each of them, so that a transaction that the
        store executes late conflicts. Until all groups of a job that was in one row are
        written, that row keeps its content.

        :returns: Size of the rows, in bytes.
        """
        row_id = get_row_id(RUNS, key)
        free = max(1, MAX_BATCH_ENTRIES - batch.entries - 3)
        groups, is_last = self._group_rows.begin(key, progress, free)
        value = encode_progress(progress)
        if not is_last:
            value = self._moving_value_by_key.get(key, value)
        batch.expects.append(Expect(row_id, self._row_version_by_key.get(key, 0)))
        batch.puts.append(Put(row_id, value))
        size = len(value)
        for group in groups:
            content = encode_group(progress, group)
            batch.puts.append(Put(get_group_id(key, group), content))
            size += len(content)
        batch.groups_by_key[key] = groups
        if is_last:
            batch.finished_by_key[key] = progress.finished_occurrences
            batch.revision_by_key[key] = self._group_rows.get_target(key)
        return size + self._add_crashes(batch, key, progress)

    def _add_crashes(self, batch, key, progress):
        """Add the row of counted crashes if it changes; return its size."""
        content = encode_crashes(progress)
        if content == self._crashes_by_key.get(key, b""):
            return 0
        row_id = get_row_id(CRASHES, key)
        if content:
            batch.puts.append(Put(row_id, content))
        else:
            batch.deletes.append(row_id)
        batch.crashes_by_key[key] = content
        # Unknown until the write is confirmed.
        self._crashes_by_key[key] = None
        return len(content)

    def _add_closing(self, batch, key, progress):
        row_id = get_row_id(RUNS, key)
        version = self._row_version_by_key.get(key, 0)
        closed = encode_closed(ClosedJob(progress.state, self._clock.wall()))
        batch.expects.append(Expect(row_id, version))
        batch.puts.append(Put(get_row_id(CLOSED, key), closed))
        batch.deletes.append(get_row_id(JOBS, key))
        if version:
            batch.deletes.append(row_id)
        if self._crashes_by_key.get(key, b"") != b"":
            batch.deletes.append(get_row_id(CRASHES, key))
        if progress.is_cancelled:
            batch.deletes.append(get_cancel_id(key))
        batch.closing.append(key)

    def record_written(self, batch, version):
        """Record that a transaction was committed."""
        for key, revision in batch.revision_by_key.items():
            self._row_version_by_key[key] = version
            self._written_revision_by_key[key] = revision
        for key, groups in batch.groups_by_key.items():
            self._row_version_by_key[key] = version
            self._group_rows.record_written(key, groups)
        for key, finished in batch.finished_by_key.items():
            self._moving_value_by_key.pop(key, None)
            self._group_rows.record_finished(get_part(key), key, finished)
        for key in batch.keys:
            self._refused_until_by_key.pop(key, None)
            self._suspects.discard(key)
        self._group_rows.record_deleted(batch.obsolete)
        self._crashes_by_key.update(batch.crashes_by_key)
        for key in batch.closing:
            self._crashes_by_key.pop(key, None)
            self._row_version_by_key.pop(key, None)
            self._written_revision_by_key.pop(key, None)
            self._moving_value_by_key.pop(key, None)
            self._group_rows.record_closed(get_part(key), key)
            self._closed_keys[key] = True
            self._board.remove_job(key)
        while len(self._closed_keys) > MAX_CLOSED_KEYS:
            self._closed_keys.popitem(last=False)

    def record_failed(self, batch, failure):
        """Record that a transaction failed or that its outcome is unknown.

        A conflict on the row of a job means that an earlier transaction of this term
        was committed although its answer was lost: nobody else writes under this fence.

        :returns: True if another term has started.
        """
        if isinstance(failure, RowsRefused):
            self._record_refused(batch)
        if not isinstance(failure, RowsConflict):
            return False
        found_by_id = {row.id: row for row in failure.rows}
        is_fenced = False
        for expect in batch.expects:
            row = found_by_id.get(expect.id)
            version = row.version if row is not None else 0
            if version == expect.version:
                continue
            if expect.id.table == RUNS:
                self._row_version_by_key[expect.id.key] = version
            else:
                is_fenced = True
        for key in batch.closing:
            if get_row_id(RUNS, key) not in found_by_id:
                self._row_version_by_key.pop(key, None)
        return is_fenced

    def _record_refused(self, batch):
        """Find the job whose changes the store refuses, and keep it from the others."""
        if len(batch.keys) > 1:
            self._suspects |= batch.keys
            return
        for key in batch.keys:
            self._refused_until_by_key[key] = self._clock.now() + REFUSED_SECONDS
            self._suspects.add(key)

    @staticmethod
    def find_culprit(batch):
        """Return the job that alone made the store refuse a batch; empty if unknown."""
        keys = batch.keys
        return next(iter(keys)) if len(keys) == 1 else ""
