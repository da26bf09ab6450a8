"""Builds the scheduling entry's transactions, one for all changes of a partition."""

from collections import OrderedDict
from dataclasses import dataclass, field

from bergamotshore.core.work.progress import encode_crashes, encode_progress
from bergamotshore.entry.jobrows import (
    CLOSED,
    CRASHES,
    JOBS,
    RUNS,
    ClosedJob,
    encode_closed,
    get_cancel_id,
    get_fence_id,
    get_part,
    get_row_id,
)
from bergamotshore.ports.rows import Expect, Put, RowsConflict

# The store accepts 100 entries per call; closing a job needs up to six.
MAX_BATCH_ENTRIES = 90
# The store accepts 1 MB per call, and encoding enlarges values by a third.
MAX_BATCH_BYTES = 500_000
MAX_CLOSED_KEYS = 20_000


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
    """

    epoch: int
    expects: list
    puts: list
    deletes: list
    revision_by_key: dict
    closing: list
    crashes_by_key: dict = field(default_factory=dict)


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

    def set_fence(self, part, version):
        """Set the version of the fence row of a partition."""
        self._fence_version_by_part[part] = version

    def record_restored(self, key, version):
        """Record the version of the row that a job was restored from."""
        self._row_version_by_key[key] = version

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
        for key, progress in self._board.job_by_key.items():
            if not self._is_dirty(key, progress) or get_part(key) != part:
                continue
            with self._collector.containing("writing", key):
                if progress.outcome or progress.is_cancelled:
                    self._add_closing(batch, key, progress)
                else:
                    size += self._add_progress(batch, key, progress)
            entries = len(batch.expects) + len(batch.puts) + len(batch.deletes)
            if entries >= MAX_BATCH_ENTRIES or size >= MAX_BATCH_BYTES:
                break
        if not batch.expects:
            return None
        fence = get_fence_id(part)
        batch.expects.append(Expect(fence, self._fence_version_by_part[part]))
        return batch

    def _is_dirty(self, key, progress):
        return progress.revision > self._written_revision_by_key.get(key, 0)

    def _add_progress(self, batch, key, progress):
        row_id = get_row_id(RUNS, key)
        value = encode_progress(progress)
        batch.expects.append(Expect(row_id, self._row_version_by_key.get(key, 0)))
        batch.puts.append(Put(row_id, value))
        batch.revision_by_key[key] = progress.revision
        return len(value) + self._add_crashes(batch, key, progress)

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
        self._crashes_by_key.update(batch.crashes_by_key)
        for key in batch.closing:
            self._crashes_by_key.pop(key, None)
            self._row_version_by_key.pop(key, None)
            self._written_revision_by_key.pop(key, None)
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
