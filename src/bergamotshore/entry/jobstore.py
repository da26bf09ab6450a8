"""Job rows as an entry knows them, and conditional writes to them."""

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
class HeldJob:
    """A job row with its version.

    :param row: ``JobRow``.
    :param version: Version of the row.
    """

    row: JobRow
    version: int


class JobStore:
    """Read and write job rows; the table service decides every race.

    :param table: ``Table``.
    :param lamport: ``LamportClock``.
    """

    def __init__(self, table, lamport):
        self._table = table
        self._lamport = lamport
        self._lock = threading.Lock()
        self.by_job_id = {}
        self.claims = ClaimIndex()
        self.created_here = set()

    def _put(self, job_id, held):
        """Hold a newer state of a job; None when it is not open any more."""
        with self._lock:
            known = self.by_job_id.pop(job_id, None)
            old = known.row if known is not None else None
            self.claims.replace(old, held.row if held is not None else None)
            if held is not None:
                self.by_job_id[job_id] = held
            else:
                self.created_here.discard(job_id)

    def rescan(self, buckets):
        """Read the open jobs of some buckets anew.

        :param buckets: Buckets to read.
        :returns: ``Result`` of None.
        """
        outcome = Success(None)
        for bucket in buckets:
            outcome = self._table.scan(f"{OPEN_PREFIX}{bucket}/")
            match outcome:
                case Success(rows):
                    self._take_scan(bucket, rows)
                case _:
                    return outcome
        return outcome.map(lambda _: None)

    def _take_scan(self, bucket, stored_rows):
        """Take in what changed; rows of a known version are not even decoded."""
        found = set()
        for stored in stored_rows:
            job_id = stored.key.split("/", 2)[2]
            found.add(job_id)
            known = self.by_job_id.get(job_id)
            if known is None or known.version < stored.version:
                for held in self._decode_all([stored]).values():
                    self._put(job_id, held)
        for job_id in set(self.by_job_id) - found:
            if get_bucket(job_id) == bucket:
                self._put(job_id, None)

    def _decode_all(self, stored_rows):
        by_job_id = {}
        for stored in stored_rows:
            match decode_row(stored, JobRow):
                case Success(JobRow() as row):
                    self._lamport.witness(row.clock)
                    by_job_id[get_job_id(row)] = HeldJob(row, stored.version)
        return by_job_id

    def read(self, job_id):
        """Read one open job anew.

        :returns: ``Result`` of ``HeldJob``, or of None when it is not open.
        """
        key = get_open_key(job_id)
        outcome = self._table.get([key]).bind(
            lambda rows: decode_row(rows[key], JobRow).map(
                lambda row: HeldJob(row, rows[key].version) if row else None
            )
        )
        match outcome:
            case Success(held):
                self._put(job_id, held)
        return outcome

    def create(self, row, checks=()):
        """Insert a job unless one of its name was ever created.

        :param checks: Further conditions.
        :returns: ``Result`` of ``HeldJob``, or of ``JobExists`` and other failures.
        """
        job_id = get_job_id(row)
        stamped = self._stamp(row)
        writes = [build_write(get_open_key(job_id), 0, stamped)]
        all_checks = [Check(get_done_key(job_id), 0), *checks]
        match write_rows(self._table, stamped.operation, all_checks, writes):
            case Success(versions):
                held = HeldJob(stamped, versions[get_open_key(job_id)])
                self._put(job_id, held)
                self.created_here.add(job_id)
                return Success(held)
            case Failure(Conflict(key=key)) if key.endswith(f"/{job_id}"):
                return Failure(JobExists(job_id))
            case failure:
                return failure

    def replace(self, held, row, checks=()):
        """Write a new state of a job; a job that is over moves to the done rows.

        :param held: ``HeldJob`` that the new state is based on.
        :param row: New ``JobRow``; its operation is kept when it was set anew.
        :param checks: Further conditions.
        :returns: ``Result`` of ``HeldJob``, or of ``Conflict`` and platform failures.
        """
        job_id = get_job_id(row)
        stamped = self._stamp(row, held.row.operation)
        open_key = get_open_key(job_id)
        done_key = get_done_key(job_id)
        if is_finished(stamped):
            writes = [
                build_write(open_key, held.version, None),
                build_write(done_key, 0, stamped),
            ]
        else:
            writes = [build_write(open_key, held.version, stamped)]
        outcome = write_rows(self._table, stamped.operation, list(checks), writes)
        match outcome:
            case Success(versions) if is_finished(stamped):
                self._put(job_id, None)
                return Success(HeldJob(stamped, versions[done_key]))
            case Success(versions):
                new = HeldJob(stamped, versions[open_key])
                self._put(job_id, new)
                return Success(new)
        return outcome

    def _stamp(self, row, old_operation=""):
        operation = row.operation
        if not operation or operation == old_operation:
            operation = create_operation_id()
        return replace(row, operation=operation, clock=self._lamport.tick())

    def find(self, job_id):
        """Read a job, open or done.

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
        """Return ``Result`` of all ``JobRow``, open and done."""
        return self._table.scan(OPEN_PREFIX).bind(
            lambda opened: self._table.scan(DONE_PREFIX).map(
                lambda done: [
                    held.row for held in self._decode_all([*opened, *done]).values()
                ]
            )
        )
