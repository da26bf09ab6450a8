"""Leader election of the scheduling entry by a lease in one row of the store."""

import math
import threading
from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.decoding import decode_msgpack
from bergamotshore.core.work.echoes import (
    EarlierProcess,
    EchoBound,
    bound_earlier,
    bound_holder,
    describe_earlier,
)
from bergamotshore.core.work.jobcost import HeldJobs
from bergamotshore.core.work.leases import (
    CANDIDACY_DELAY_SECONDS,
    HANDOVER_SECONDS,
    MAX_GRANT_SECONDS,
    RENEW_RETRY_SECONDS,
    RENEW_SECONDS,
    RENEW_TIMEOUT_SECONDS,
    LeaderLease,
    LeaseObservation,
    get_last_echo_time,
)
from bergamotshore.entry.countsmark import CountsMark
from bergamotshore.entry.permissions import EchoPermissions
from bergamotshore.exceptions import DecodingError
from bergamotshore.ports.rows import Expect, Put, RowId, RowsConflict

LEADER_ROW = RowId("leader", "", "scheduler")
# Time after the expiry of a lease at which its row is read, in seconds.
EXPIRY_MARGIN_SECONDS = 0.01
# Name and incarnation that stand for all processes of earlier terms that are not known.
UNKNOWN = ("", "")
# Name that stands for an entry that has resigned: the row doesn't keep its own.
RESIGNED_NAME = "(resigned)"


@dataclass(frozen=True, slots=True)
class LeaderRow:
    """Holder of the scheduling lease, as stored.

    :param name: Name of the entry; empty while nobody holds the lease.
    :param incarnation: Incarnation of its process.
    :param address: Address at which nodes connect to it.
    :param epoch: Number of the term.
    :param is_alone: Whether the entries of all earlier terms have stopped echoing the
        clocks of nodes, which grants renewals of worker leases.
    :param earlier: Name and incarnation of each process of an earlier term that may
        still echo; empty if they are not known.
    :param required_permissions: Names of the entries without whose permission the
        holder doesn't echo after its lease; None in rows of holders that ask for none.
    :param awaited: Until when the processes of earlier terms may echo; None in rows of
        former builds.
    :param counts: What the holder says of the published numbers of waiting jobs; None
        if it can't say or in rows of former builds.
    :param held: What it holds of accepted jobs, with the lowest limit of all holders.
    """

    name: str
    incarnation: str
    address: str
    epoch: int
    is_alone: bool = False
    earlier: tuple[tuple[str, str], ...] = ()
    required_permissions: tuple[str, ...] | None = None
    awaited: tuple[EarlierProcess, ...] | None = None
    counts: CountsMark | None = None
    held: HeldJobs | None = None

    def is_same_term(self, other):
        """Return whether another row was written by the same process in this term."""
        return other is not None and (self.incarnation, self.epoch) == (
            other.incarnation,
            other.epoch,
        )


class Election:
    """Acquire, renew and release the lease of the scheduling entry.

    :param store: ``RowStore``.
    :param name: Name of this entry.
    :param incarnation: Incarnation of this process.
    :param address: Address at which nodes connect to this entry.
    :param clock: ``Clock``.
    :param log: ``EventLog``.
    :param candidacy_delay: How long a free lease is left to other entries, in seconds.
    :param can_schedule: Function that returns whether this entry could schedule now.
    :param grant_seconds: Duration of a node's renewal grant, in seconds.
    :param get_counts_mark: Function that returns what this entry, while it schedules,
        says of the published numbers of waiting jobs.
    :param get_held_jobs: Function that returns the ``HeldJobs`` of this entry while it
        schedules, or None.
    """

    def __init__(
        self,
        store,
        name,
        incarnation,
        address,
        clock,
        log,
        candidacy_delay=0.0,
        can_schedule=lambda: True,
        grant_seconds=MAX_GRANT_SECONDS,
        get_counts_mark=lambda: None,
        get_held_jobs=lambda: None,
    ):
        self.lease = LeaderLease()
        self.row = None
        self._store = store
        self.name = name
        self._incarnation = incarnation
        self._address = address
        self._clock = clock
        self._log = log
        self._candidacy_delay = candidacy_delay
        self._can_schedule = can_schedule
        self._grant_seconds = grant_seconds
        self._get_counts_mark = get_counts_mark
        self._get_held_jobs = get_held_jobs
        self._permissions = EchoPermissions(clock)
        self._free_since = None
        self._bound_by_process = {}
        self._started_at = clock.now()
        self._lock = threading.Lock()
        self._heard_by_name = {}
        self._read_at_by_process = {}
        self._ended_at_by_process = {}
        self._superseded_from_by_process = {}
        self._acquired_at = 0.0
        self._stands_back_until = 0.0
        self._abandoned_epoch = 0
        self._version = 0
        # Version and time of the first write under it that got no answer.
        self._unanswered = (-1, 0.0)
        self._is_unreadable = False
        self._observation = LeaseObservation()

    @property
    def leader_address(self):
        """Return the address of the scheduling entry; empty if unknown."""
        return self.row.address if self.row is not None and self.row.name else ""

    def get_observed_counts_mark(self):
        """Return the ``CountsMark`` in the row that was read or written last, or None.

        May be called from any thread.
        """
        row = self.row
        return row.counts if row is not None else None

    def get_observed_held_jobs(self):
        """Return the ``HeldJobs`` in the row that was read or written last, or None.

        May be called from any thread.
        """
        row = self.row
        return row.held if row is not None else None

    @property
    def superseded_epoch(self):
        """Return the newest term of another process, if this one holds none, or 0.

        This process has stopped echoing for all terms before that one.
        """
        row = self.row
        if row is None or row.incarnation == self._incarnation or self.lease.epoch:
            return 0
        return row.epoch

    def step(self):
        """Renew the lease if held; otherwise acquire it if it is free.

        :returns: Time until the next step, in seconds.
        """
        if not self.lease.epoch:
            self._observe()
            remaining = self._observation.get_remaining(self._clock.now())
            if remaining <= 0.0:
                return RENEW_SECONDS
            return min(RENEW_SECONDS, remaining + EXPIRY_MARGIN_SECONDS)
        started_at = self._clock.now()
        pause = RENEW_SECONDS if self._renew() else 0.0
        elapsed = self._clock.now() - started_at
        return max(RENEW_RETRY_SECONDS, pause - elapsed)

    def _observe(self):
        match self._read():
            case Success(stored):
                self._permissions.record_read(has_failed=False)
            case Failure(failure):
                self._permissions.record_read(has_failed=True)
                self._log.write("store-failed", "leader-row", why=str(failure))
                return False
        version = stored.version if stored is not None else 0
        now = self._clock.now()
        if version != self._observation.version:
            self._permissions.record_claim(is_open=False)
        has_lapsed = self._observation.observe(version, now)
        self._note_processes(now)
        if not (has_lapsed or self._is_free()):
            self._free_since = None
            return True
        if now < self._stands_back_until:
            return True
        if self._free_since is None:
            self._free_since = now
        delay = self._candidacy_delay
        if not self._is_free() and self._is_unnamed():
            delay += CANDIDACY_DELAY_SECONDS
        if self._can_schedule() and now - self._free_since >= delay:
            # Each term begins with a write, so the number of a term in a row that can't
            # be read is at most the version of that row. Without a row, it is 0.
            epoch = 1 + (self.row.epoch if self.row is not None else version)
            # Messages that arrive meanwhile are judged by the time of this claim.
            self._acquired_at = now
            if not self._is_own_row():
                self._bound_predecessors(version, now)
            return self._write(epoch, version, "free" if self._is_free() else "lapsed")
        return True

    def _is_unnamed(self):
        """Return whether the row names other entries that need not wait for echoes."""
        named = self.row.required_permissions if self.row is not None else None
        return bool(named) and self.name not in named

    def _is_own_row(self):
        """Return whether the row is from a call of this process without an answer."""
        return self.row is not None and (self.row.name, self.row.incarnation) == (
            self.name,
            self._incarnation,
        )

    @property
    def last_echo_at(self):
        """Return when all processes of earlier terms have stopped echoing, in seconds.

        A shortened grant counts like a whole one that was given earlier.
        """
        with self._lock:
            return max(
                map(self._get_awaited_until, self._bound_by_process), default=0.0
            )

    def _get_awaited_until(self, process):
        # An earlier process of this name may have permitted echoes as well.
        permitted_at = max(
            self._permissions.get_last_given_at(*process), self._started_at
        )
        return self._bound_by_process[process].get_until(self.name, permitted_at)

    def _bound_predecessors(self, version, now):
        """Find out which processes of earlier terms may still echo, and until when.

        :param version: Version of the row; 0 if there is none.
        """
        row, read_at = self.row, self._observation.first_seen
        if row is None:
            latest = get_last_echo_time(now) if version else now
            bound_by_process = {UNKNOWN: EchoBound(latest, latest)}
        else:
            bound_by_process = _bound_earlier_terms(row, read_at)
            # A holder that resigned has written the row after its last echo.
            if row.name:
                bound_by_process[row.name, row.incarnation] = bound_holder(
                    read_at, self._grant_seconds, row.required_permissions
                )
            else:
                resigned = (RESIGNED_NAME, row.incarnation)
                bound_by_process[resigned] = EchoBound(read_at, read_at)
        with self._lock:
            self._bound_by_process = {
                process: bound.end_at(self._get_ended_at(process))
                for process, bound in bound_by_process.items()
            }
            awaited = [
                (process[0], self._get_awaited_until(process) - now)
                for process in sorted(self._bound_by_process)
            ]
        epoch = row.epoch if row is not None else 0
        for name, seconds in awaited:
            self._log_awaited(name or "unknown", epoch, seconds)

    def _get_ended_at(self, process):
        """Return when a process has ended, in seconds; infinite if it may be there."""
        if process[0] == self.name:
            return self._started_at
        return self._ended_at_by_process.get(process, math.inf)

    def _log_awaited(self, name, epoch, seconds):
        if seconds > 0.0:
            self._log.write("echoes-awaited", name, epoch=epoch, seconds=seconds)

    def _note_processes(self, now):
        """Note when the processes that the row names were first read of."""
        row = self.row
        epoch_by_process = {}
        if row is not None:
            epoch_by_process = dict.fromkeys(_bound_earlier_terms(row, now), row.epoch)
        if row is not None and row.name:
            epoch_by_process[(row.name, row.incarnation)] = row.epoch + 1
        processes = epoch_by_process.keys()
        with self._lock:
            former, self._superseded_from_by_process = (
                self._superseded_from_by_process,
                epoch_by_process,
            )
            self._read_at_by_process = {
                process: self._read_at_by_process.get(process, now)
                for process in processes
            }
            self._ended_at_by_process = {
                process: at
                for process, at in self._ended_at_by_process.items()
                if process in processes
                # A process that holds another term may echo again.
                and former.get(process, 0) >= epoch_by_process[process]
            }
            if row is not None and row.name == self.name and not self._is_own_row():
                self._note_ended_before_start()

    def _note_ended_before_start(self):
        """Note the processes in a row of a former process that have been replaced.

        They were there before this process started, so another process of their name
        that has answered this one since proves their end.
        """
        for process in self._read_at_by_process:
            incarnation, echo, heard_at = self._heard_by_name.get(
                process[0], (process[1], 0.0, 0.0)
            )
            if incarnation != process[1] and echo >= self._started_at:
                self._ended_at_by_process.setdefault(process, heard_at)

    def record_entry(
        self, name, incarnation, echo, superseded_epoch=0, permits_echo=False
    ):
        """Record a message from another entry.

        A process that has the name of one of an earlier term and another incarnation
        proves that the earlier one has ended, and so have its echoes.

        :param name: Name of the entry.
        :param incarnation: Incarnation of its process.
        :param echo: Reading of this entry's clock that it received last, in seconds; a
            message that it sent before the earlier process was read of proves nothing.
        :param superseded_epoch: Term before which the sender has stopped echoing.
        :param permits_echo: Whether it permits this entry to echo after its lease.
        """
        self._permissions.record_message(name, incarnation, echo, permits_echo)
        self._note_ended(name, incarnation, echo, superseded_epoch)
        now = self._clock.now()
        with self._lock:
            self._heard_by_name[name] = (incarnation, echo, now)
            ended = {
                process: bound.end_at(now)
                for process, bound in self._bound_by_process.items()
                if process[0] == name
                and bound.latest_until > now
                and (
                    echo >= self._acquired_at
                    if process[1] != incarnation
                    else superseded_epoch
                    >= self._superseded_from_by_process.get(process, math.inf)
                )
            }
            self._bound_by_process.update(ended)
        if ended:
            self._log.write("predecessor-ended", name, epoch=self.lease.epoch)

    def permit_echo(self, name, incarnation):
        """Return whether a message to an entry permits it to echo after its lease."""
        return self._permissions.give(name, incarnation)

    def get_echo(self, reading, received_at):
        """Return the clock reading of a node to echo to it, or None for no echo.

        A grant lasts from the reading that is echoed, so an earlier reading than the
        one that was received lets it end with the lease.

        :param reading: Last clock reading received, in seconds; 0 for none.
        :param received_at: When it was received, in seconds.
        """
        now = self._clock.now()
        if not self.lease.may_echo(now):
            return None
        if self._permissions.are_held(now):
            return reading
        if not self.lease.is_valid(now):
            return None
        granted_seconds = self.lease.valid_until + HANDOVER_SECONDS - received_at
        return max(0.0, reading - max(0.0, self._grant_seconds - granted_seconds))

    def _note_ended(self, name, incarnation, echo, superseded_epoch):
        """Note a process that has ended, or knows that its term has."""
        now = self._clock.now()
        with self._lock:
            for process, read_at in self._read_at_by_process.items():
                if process[0] == name and (
                    echo >= read_at
                    if process[1] != incarnation
                    else superseded_epoch >= self._superseded_from_by_process[process]
                ):
                    self._ended_at_by_process.setdefault(process, now)

    def _is_free(self):
        """Return whether no process can hold the lease, regardless of its age.

        An unreadable row may be that of a holder that is at work.

        A row of this process, which doesn't hold the lease, was written by a call
        without an answer.
        """
        if self.row is None:
            return not self._is_unreadable
        return self.row.name in ("", self.name)

    def _read(self):
        outcome = self._store.read(
            LEADER_ROW.table, LEADER_ROW.part, LEADER_ROW.key, limit=1
        )
        return outcome.map(self._decode_page)

    def _decode_page(self, page):
        stored = next((row for row in page.rows if row.id == LEADER_ROW), None)
        self.row = None
        self._is_unreadable = False
        if stored is not None:
            try:
                self.row = decode_leader_row(stored)
            except DecodingError as error:
                self._is_unreadable = True
                self._log.write("leader-row-invalid", "leader", why=str(error))
        return stored

    def _renew(self):
        return self._write(self.lease.epoch, self._version, "renewal")

    def _write(self, epoch, version, reason):
        sent_at = self._clock.now()
        row = LeaderRow(
            self.name,
            self._incarnation,
            self._address,
            epoch,
            *self._describe_earlier_terms(sent_at),
            required_permissions=self._permissions.add_required(),
            awaited=self._list_awaited(sent_at),
            counts=self._get_counts_mark(),
            held=self._describe_held_jobs(),
        )
        if not self.lease.epoch:
            self._permissions.record_claim(is_open=True)
        outcome = self._store.transact(
            [Expect(LEADER_ROW, version)],
            [Put(LEADER_ROW, msgspec.msgpack.encode(row))],
            [],
            timeout=RENEW_TIMEOUT_SECONDS,
        )
        match outcome:
            case Success(new_version):
                self._permissions.record_claim(is_open=False)
                self._record_term(row, new_version, sent_at, reason)
                return True
            case Failure(RowsConflict()):
                return self._resolve_conflict(row, version, reason)
            case Failure(failure):
                if self._unanswered[0] != version:
                    self._unanswered = (version, sent_at)
                self._log.write("store-failed", "leader-row", why=str(failure))
                return False

    def _describe_held_jobs(self):
        """Return the ``HeldJobs`` for the row of the lease.

        The limit is that of the smallest entry that ever held the lease, as any entry
        may have to take over. A holder that hasn't read the jobs passes on what the one
        before has told.
        """
        earlier = self.row.held if self.row is not None else None
        held = self._get_held_jobs()
        if held is None or earlier is None:
            return held or earlier
        return replace(held, limit=min(held.limit, earlier.limit))

    def _list_awaited(self, now):
        """Return each ``EarlierProcess`` that a successor has to reckon with."""
        with self._lock:
            return tuple(
                describe_earlier(process, bound, now)
                for process, bound in sorted(self._bound_by_process.items())
                if now < bound.latest_until
            )

    def _describe_earlier_terms(self, now):
        """Return the same for former builds: ``is_alone`` and ``earlier`` of a row."""
        earlier = self._list_awaited(now)
        processes = tuple((item.name, item.incarnation) for item in earlier)
        return not processes, () if UNKNOWN in processes else processes

    def _resolve_conflict(self, row, version, reason):
        """Check whether an earlier write succeeded although its answer was lost.

        :returns: Whether the next renewal may wait.
        """
        match self._read():
            case Success(stored) if (
                row.is_same_term(self.row) and stored.version != version
            ):
                # The stored renewal was sent no earlier than the first one that got no
                # answer.
                since = self._unanswered[1] if self._unanswered[0] == version else 0.0
                self._version = stored.version
                self._record_term(self.row, stored.version, since, reason)
                return False
            case Success(_):
                if self.lease.epoch:
                    self._log.write("term-lost", self.name, epoch=self.lease.epoch)
                self.lease.resign()
                return True
            case Failure(failure):
                self._log.write("store-failed", "leader-row", why=str(failure))
                return False

    def _record_term(self, row, version, sent_at, reason):
        if row.epoch <= self._abandoned_epoch:
            # A renewal that was in flight.
            return
        if self.lease.epoch != row.epoch:
            self._log.write("term-taken", self.name, epoch=row.epoch, reason=reason)
        self._version = version
        self.row = row
        self._permissions.set_required(row.required_permissions)
        self.lease.extend(row.epoch, sent_at)

    def stand_back(self, seconds):
        """Abandon the term and leave the next one to other entries for some time.

        The lease lapses, as after the end of the process.
        """
        self._stands_back_until = self._clock.now() + seconds
        self._abandoned_epoch = max(self._abandoned_epoch, self.lease.epoch)
        self.lease.resign()

    def resign(self):
        """Release the lease, so that another entry can acquire it without waiting."""
        if not self.lease.epoch:
            return
        epoch, version = self.lease.epoch, self._version
        self._abandoned_epoch = max(self._abandoned_epoch, epoch)
        self.lease.resign()
        now = self._clock.now()
        vacant = LeaderRow(
            "",
            self._incarnation,
            "",
            epoch,
            *self._describe_earlier_terms(now),
            awaited=self._list_awaited(now),
            held=self.row.held if self.row is not None else None,
        )
        outcome = self._store.transact(
            [Expect(LEADER_ROW, version)],
            [Put(LEADER_ROW, msgspec.msgpack.encode(vacant))],
            [],
        )
        self._log.write("term-resigned", self.name, epoch=epoch, outcome=str(outcome))


def _bound_earlier_terms(row, read_at):
    """Return the ``EchoBound`` of processes of terms before that of a row.

    :param read_at: When the row was read first, in seconds.
    """
    if row.awaited is not None:
        return {
            (item.name, item.incarnation): bound_earlier(read_at, item)
            for item in row.awaited
        }
    if row.is_alone:
        return {}
    # The holder claimed its term after their leases had expired.
    latest = get_last_echo_time(read_at)
    return dict.fromkeys(row.earlier or (UNKNOWN,), EchoBound(latest, latest))


def decode_leader_row(stored):
    """Return the ``LeaderRow`` in a row.

    :raises DecodingError: if it is invalid, or names a term that can't have begun:
        each term begins with a write.
    """
    row = decode_msgpack(stored.value, LeaderRow)
    if row.epoch > stored.version:
        raise DecodingError(f"term {row.epoch} in version {stored.version}")
    return row
