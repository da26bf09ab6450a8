"""Cache of job rows at an entry, and conditional writes to the rows."""

import threading
from dataclasses import dataclass, replace

from returns.result import Failure, Success

from bergamotshore.adapters.rowwrites import (
    build_write,
    create_operation_id,
    decode_row,
    write_rows,
)
from bergamotshore.core.claims import ClaimIndex
from bergamotshore.core.jobs import (
    DONE_PREFIX,
    OPEN_PREFIX,
    get_bucket,
    get_done_key,
    get_job_id,
    get_open_key,
    is_finished,
)
from bergamotshore.exceptions import Conflict, JobExists, JobMissing
from bergamotshore.generated.rows import JobRow
from bergamotshore.ports.table import Check


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job row with its version.

    :param row: ``JobRow``.
    :param version: Version of the row.
    """

    row: JobRow
    version: int


class JobStore:
    """Read and write job rows; conditional writes in the table resolve all races.

    :param table: ``Table``.
    :param lamport: ``LamportClock``.
    """

    def __init__(self, table, lamport):
        self._table = table
        self._lamport = lamport
        self._lock = threading.Lock()
        self.job_by_id = {}
        self.claims = ClaimIndex()
        self.locally_created_ids = set()

    def _update_cache(self, job_id, stored_job):
        """Cache the newer state of a job; None removes a job that is no longer open."""
        with self._lock:
            cached_job = self.job_by_id.pop(job_id, None)
            old_row = cached_job.row if cached_job is not None else None
            self.claims.replace(
                old_row, stored_job.row if stored_job is not None else None
            )
            if stored_job is not None:
                self.job_by_id[job_id] = stored_job
            else:
                self.locally_created_ids.discard(job_id)

    def rescan(self, buckets):
        """Read the open jobs of some buckets from the table.

        :param buckets: Buckets to read.
        :returns: ``Result`` of None.
        """
        outcome = Success(None)
        for bucket in buckets:
            outcome = self._table.scan(f"{OPEN_PREFIX}{bucket}/")
            match outcome:
                case Success(rows):
                    self._apply_scan(bucket, rows)
                case _:
                    return outcome
        return outcome.map(lambda _: None)

    def _apply_scan(self, bucket, stored_rows):
        """Update the cache from a scan; rows of a cached version are not decoded."""
        found_ids = set()
        for stored in stored_rows:
            job_id = stored.key.split("/", 2)[2]
            found_ids.add(job_id)
            cached_job = self.job_by_id.get(job_id)
            if cached_job is None or cached_job.version < stored.version:
                for stored_job in self._decode_all([stored]).values():
                    self._update_cache(job_id, stored_job)
        for job_id in set(self.job_by_id) - found_ids:
            if get_bucket(job_id) == bucket:
                self._update_cache(job_id, None)

    def _decode_all(self, stored_rows):
        job_by_id = {}
        for stored in stored_rows:
            match decode_row(stored, JobRow):
                case Success(JobRow() as row):
                    self._lamport.witness(row.clock)
                    job_by_id[get_job_id(row)] = StoredJob(row, stored.version)
        return job_by_id

    def read(self, job_id):
        """Read one open job from the table.

        :returns: ``Result`` of ``StoredJob``, or of None when the job is not open.
        """
        key = get_open_key(job_id)
        outcome = self._table.get([key]).bind(
            lambda rows: decode_row(rows[key], JobRow).map(
                lambda row: StoredJob(row, rows[key].version) if row else None
            )
        )
        match outcome:
            case Success(stored_job):
                self._update_cache(job_id, stored_job)
        return outcome

    def create(self, row, checks=()):
        """Insert a job unless a job of this name was ever created.

        :param checks: Additional conditions of the write.
        :returns: ``Result`` of ``StoredJob``, or of ``JobExists`` and other failures.
        """
        job_id = get_job_id(row)
        stamped = self._stamp(row)
        writes = [build_write(get_open_key(job_id), 0, stamped)]
        all_checks = [Check(get_done_key(job_id), 0), *checks]
        match write_rows(self._table, stamped.operation, all_checks, writes):
            case Success(versions):
                stored_job = StoredJob(stamped, versions[get_open_key(job_id)])
                self._update_cache(job_id, stored_job)
                self.locally_created_ids.add(job_id)
                return Success(stored_job)
            case Failure(Conflict(key=key)) if key.endswith(f"/{job_id}"):
                return Failure(JobExists(job_id))
            case failure:
                return failure

    def replace(self, stored_job, row, checks=()):
        """Write a new state of a job; a finished job moves to the done rows.

        :param stored_job: ``StoredJob`` that the new state is based on.
        :param row: New ``JobRow``; its operation is kept if it differs from the old.
        :param checks: Additional conditions of the write.
        :returns: ``Result`` of ``StoredJob``, or of ``Conflict`` and platform failures.
        """
        job_id = get_job_id(row)
        stamped = self._stamp(row, stored_job.row.operation)
        open_key = get_open_key(job_id)
        done_key = get_done_key(job_id)
        if is_finished(stamped):
            writes = [
                build_write(open_key, stored_job.version, None),
                build_write(done_key, 0, stamped),
            ]
        else:
            writes = [build_write(open_key, stored_job.version, stamped)]
        outcome = write_rows(self._table, stamped.operation, list(checks), writes)
        match outcome:
            case Success(versions) if is_finished(stamped):
                self._update_cache(job_id, None)
                return Success(StoredJob(stamped, versions[done_key]))
            case Success(versions):
                new_job = StoredJob(stamped, versions[open_key])
                self._update_cache(job_id, new_job)
                return Success(new_job)
        return outcome

    def _stamp(self, row, old_operation=""):
        operation = row.operation
        if not operation or operation == old_operation:
            operation = create_operation_id()
        return replace(row, operation=operation, clock=self._lamport.tick())

    def find(self, job_id):
        """Read an open or finished job.

        :returns: ``Result`` of ``JobRow``, or of ``JobMissing``.
        """
        keys = [get_open_key(job_id), get_done_key(job_id)]
        match self._table.get(keys):
            case Success(row_by_key):
                stored = max(row_by_key.values(), key=lambda item: item.version)
                return decode_row(stored, JobRow).bind(
                    lambda row: Success(row) if row else Failure(JobMissing(job_id))
                )
            case failure:
                return failure

    def list_all(self):
        """Return ``Result`` of the ``JobRow`` of every job, open or finished."""
        return self._table.scan(OPEN_PREFIX).bind(
            lambda open_rows: self._table.scan(DONE_PREFIX).map(
                lambda done_rows: [
                    stored_job.row
                    for stored_job in self._decode_all(
                        [*open_rows, *done_rows]
                    ).values()
                ]
            )
        )
