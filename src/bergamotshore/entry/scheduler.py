"""Task scheduling at an entry: claims, ended attempts, evictions, lapsed sessions."""

from dataclasses import dataclass

from returns.result import Failure, Success

from bergamotshore.adapters.rowwrites import (
    create_operation_id,
)
from bergamotshore.core.backoff import Backoff
from bergamotshore.core.capacity import get_size
from bergamotshore.core.configuration import CONFIG_KEY
from bergamotshore.core.jobs import (
    cancel_job,
    claim_tasks,
    create_job,
    get_bucket,
    get_job_id,
    list_buckets,
    list_pending,
    release_attempt,
    set_pending_reason,
)
from bergamotshore.core.placement import TeamBudget, get_misfit_reason, place_tasks
from bergamotshore.core.quarantine import Quarantine
from bergamotshore.core.reclaim import Victim, choose_victims
from bergamotshore.entry.ends import AttemptEndRecorder
from bergamotshore.entry.sessionwatch import SessionMonitor
from bergamotshore.exceptions import Conflict
from bergamotshore.generated.messages import (
    AttemptId,
    StartTask,
    StopTask,
    TaskSpec,
)
from bergamotshore.ports.table import Check

STOP_RESEND_INTERVAL_SECONDS = 2.0
RESCANS_PER_FULL_RESCAN = 12
RECLAIM_INTERVAL_SECONDS = 1.0


@dataclass(slots=True)
class ClaimObservation:
    """Time of the first observation of a claim, on both clocks.

    :param observed_at: Clock of the entry at the first observation.
    :param node_clock_bound: Upper bound of the node's clock at the first observation;
        None until known.
    """

    observed_at: float
    node_clock_bound: float | None = None

    def record_inventory(self, inventory):
        """Bound the node's clock by the first inventory taken after the observation."""
        if self.node_clock_bound is None and inventory.echo >= self.observed_at:
            self.node_clock_bound = inventory.taken_at

    def is_start_expired(self, inventory, within):
        """Return whether every start had expired when the inventory was taken.

        :param within: Time after which a node refuses a start, in seconds.
        """
        return (
            self.node_clock_bound is not None
            and inventory.taken_at > self.node_clock_bound + within
        )


class TaskScheduler:
    """Schedule tasks by job rows, sessions, gates and node inventories.

    All methods but ``report`` and ``request_rescan`` run in the scheduler's thread.

    :param table: ``Table``.
    :param jobs: ``JobStore``.
    :param configuration: ``ConfigurationStore``.
    :param directory: ``NodeDirectory``.
    :param owns: Returns whether this entry is responsible for a bucket of jobs.
    :param settings: ``settings.Entry``.
    :param clock: ``Clock``.
    :param recorder: ``Recorder``.
    :param registry: ``Registry``.
    :param random: ``random.Random``.
    """

    def __init__(
        self,
        table,
        jobs,
        configuration,
        directory,
        owns,
        settings,
        clock,
        recorder,
        registry,
        random,
    ):
        self.random = random
        self.table = table
        self.jobs = jobs
        self.configuration = configuration
        self.directory = directory
        self.owns = owns
        self.settings = settings
        self.clock = clock
        self.recorder = recorder
        self.registry = registry
        self.quarantine = Quarantine()
        self.backoff = Backoff()
        self.reconciled_version = 0
        self.end_recorder = AttemptEndRecorder(
            jobs,
            directory,
            self.quarantine,
            self.backoff,
            clock,
            recorder,
            registry,
        )
        self.sessions = SessionMonitor(
            table, settings.rescan_sessions, clock, recorder, registry
        )
        self._observation_by_attempt = {}
        self._stop_sent_by_attempt = {}
        self._next_rescan = 0.0
        self._next_reclaim = 0.0
        self._rescan_count = 0

    def report(self, node, ended):
        """Queue a node's report of an ended attempt; thread-safe."""
        self.end_recorder.report(node, ended)

    def request_rescan(self):
        """Request a rescan at the next step; thread-safe."""
        self._next_rescan = 0.0

    def step(self, may_place=True):
        """Run one scheduling pass.

        :param may_place: False while the entry drains; it then only records ended
            attempts.
        """
        self.end_recorder.record_all()
        if not may_place:
            return
        if self.clock.now() >= self._next_rescan:
            self._rescan()
            self._request_stops()
            self._release_lost_starts()
            self._record_misfit_reasons()
        self._reconcile()
        self._place()

    def _rescan(self):
        self._next_rescan = self.clock.now() + self.settings.rescan
        outcome = self.jobs.rescan(self._choose_buckets()).bind(
            lambda _: self.sessions.scan()
        )
        match outcome:
            case Failure(failure):
                self.sessions.record_outage()
                self.registry.count("table_failures_total", code=failure.code)
                return
        self._track_claims()
        self._release_orphaned_claims()

    def _choose_buckets(self):
        """Return this entry's own buckets, or periodically those of every entry."""
        self._rescan_count += 1
        if self._rescan_count % RESCANS_PER_FULL_RESCAN == 1:
            return list_buckets()
        return [bucket for bucket in list_buckets() if self.owns(bucket)]

    def _track_claims(self):
        now = self.clock.now()
        claimed_keys = {
            _get_attempt_key(stored_job.row, task)
            for stored_job in list(self.jobs.job_by_id.values())
            for task in stored_job.row.tasks
            if task.state == "claimed"
        }
        self._observation_by_attempt = {
            key: self._observation_by_attempt.get(key) or ClaimObservation(now)
            for key in claimed_keys
        }
        self._stop_sent_by_attempt = {
            key: sent_at
            for key, sent_at in self._stop_sent_by_attempt.items()
            if key in claimed_keys
        }

    def _release_orphaned_claims(self):
        """Release the claims of sessions that ended.

        A node opens a newer session only after the old one has provably ended or its
        worker has listed the running attempts; those that continue are in the node's
        inventory. Once the newest session has ended, so have all earlier ones.
        """
        for stored_job in list(self.jobs.job_by_id.values()):
            row = stored_job.row
            for task in stored_job.row.tasks:
                if task.state == "claimed" and self._is_session_ended(
                    stored_job.row, task
                ):
                    row = release_attempt(row, task.index, task.attempt, "session-over")
                    self._record_release(row, task, "session-over")
            if row is not stored_job.row:
                self.jobs.replace(stored_job, row)

    def _is_session_ended(self, row, task):
        session = self.sessions.session_by_node.get(task.node)
        if session is None:
            return False
        if session.state != "live":
            return True
        is_newer = session.session != task.session
        return is_newer and not self._may_be_adopted(row, task)

    def _may_be_adopted(self, row, task):
        """Return whether the node's newer session may still run the attempt."""
        view = self.directory.get(task.node)
        if view is None or view.inventory is None:
            return True
        session = self.sessions.session_by_node[task.node]
        if view.inventory.session != session.session:
            return True
        return self._is_listed(row, task)

    def _record_release(self, row, task, reason):
        self.registry.count("tasks_released_total")
        self.recorder.record(
            "task-released", _get_attempt_subject(get_job_id(row), task), reason
        )

    def _reconcile(self):
        """Create newly declared jobs and cancel those no longer declared.

        Every write is conditional on the configuration being the newest, so that an
        entry with an older one can't cancel jobs that a newer one declares.
        """
        configuration = self.configuration.configuration
        if configuration.version <= self.reconciled_version:
            return
        checks = [Check(CONFIG_KEY, configuration.row_version)]
        declared = {get_job_id(row): row for row in list_declared(configuration)}
        is_complete = True
        for job_id, row in declared.items():
            if job_id not in self.jobs.job_by_id:
                is_complete &= self._create_declared(row, checks)
        for stored_job in list(self.jobs.job_by_id.values()):
            is_removed = get_job_id(stored_job.row) not in declared
            if is_removed and stored_job.row.origin == "declared":
                is_complete &= self._cancel_removed(stored_job, checks)
        if is_complete:
            self.reconciled_version = configuration.version

    def _create_declared(self, row, checks):
        match self.jobs.create(row, checks):
            case Success(_):
                self.recorder.record("job-created", f"job/{get_job_id(row)}")
                return True
            case Failure(failure):
                return failure.code == "job-exists"

    def _cancel_removed(self, stored_job, checks):
        """Cancel a job; return False when the write has to be retried."""
        if stored_job.row.is_cancelled:
            return True
        if isinstance(
            self.jobs.replace(stored_job, cancel_job(stored_job.row), checks), Success
        ):
            return True
        self.jobs.read(get_job_id(stored_job.row))
        return False

    def _request_stops(self):
        """Request eviction from unusable nodes and the stop of cancelled tasks."""
        for stored_job in list(self.jobs.job_by_id.values()):
            for task in stored_job.row.tasks:
                if task.state != "claimed":
                    continue
                if stored_job.row.is_cancelled:
                    self._send_stop(stored_job.row, task, "cancel")
                elif not self.configuration.is_usable(task.zone, task.node):
                    self._send_stop(stored_job.row, task, "evict")

    def _send_stop(self, row, task, mode):
        job_id = get_job_id(row)
        key = _get_attempt_key(row, task)
        now = self.clock.now()
        sent_at = self._stop_sent_by_attempt.get(key)
        view = self.directory.get(task.node)
        is_recently_sent = (
            sent_at is not None and now - sent_at < STOP_RESEND_INTERVAL_SECONDS
        )
        if view is None or is_recently_sent:
            return
        self._stop_sent_by_attempt[key] = now
        attempt = AttemptId(job=job_id, index=task.index, attempt=task.attempt)
        if sent_at is None:
            self.recorder.record(
                "task-stop-asked", _get_attempt_subject(job_id, task), mode
            )
        view.stream.send(StopTask(attempt=attempt, mode=mode))

    def _release_lost_starts(self):
        """Release claims whose start message was lost or refused.

        A node refuses a start whose echo is too old. A claim that is missing from an
        inventory taken after every start of it expired will never start.
        """
        for stored_job in list(self.jobs.job_by_id.values()):
            row = stored_job.row
            for task in stored_job.row.tasks:
                if task.state == "claimed" and self._is_start_lost(
                    stored_job.row, task
                ):
                    row = release_attempt(row, task.index, task.attempt, "start-lost")
                    self._record_release(row, task, "start-lost")
            if row is not stored_job.row:
                self.jobs.replace(stored_job, row)

    def _is_start_lost(self, row, task):
        view = self.directory.get(task.node)
        observation = self._observation_by_attempt.get(_get_attempt_key(row, task))
        if view is None or view.inventory is None or observation is None:
            return False
        inventory = view.inventory
        if inventory.session != task.session:
            return False
        observation.record_inventory(inventory)
        if not observation.is_start_expired(inventory, self.settings.start_within):
            return False
        return not self._is_listed(row, task)

    def _place(self):
        placeable_jobs = [
            self.jobs.job_by_id[job_id]
            for job_id in list(self.jobs.claims.pending_jobs)
            if job_id in self.jobs.job_by_id and self._is_responsible_for(job_id)
        ]
        if not placeable_jobs:
            return
        capacities = self.directory.list_capacities(
            self._is_schedulable, self.jobs.claims
        )
        placeable_jobs.sort(
            key=lambda stored_job: (not stored_job.row.urgent, stored_job.version)
        )
        for stored_job in placeable_jobs:
            is_placed = self._place_job(stored_job, capacities)
            if stored_job.row.urgent and not is_placed:
                self._reclaim_capacity(stored_job.row, capacities)

    def _is_schedulable(self, zone, node):
        is_usable = self.configuration.may_place(zone, node)
        return is_usable and self.quarantine.may_place(node, self.clock.now())

    def _list_due(self, row):
        """Return the pending tasks of a job that are not delayed by a back-off."""
        job_id = get_job_id(row)
        now = self.clock.now()
        return [
            index
            for index in list_pending(row)
            if not self.backoff.is_delayed((job_id, index), now)
        ]

    def _reclaim_capacity(self, row, capacities):
        """Request the eviction of non-urgent tasks to free capacity."""
        now = self.clock.now()
        if now < self._next_reclaim or not self._list_due(row):
            return
        self._next_reclaim = now + RECLAIM_INTERVAL_SECONDS
        for victim in choose_victims(
            get_size(row.spec), capacities, self._list_victims()
        ):
            stored_job = self.jobs.job_by_id[victim.job]
            self._send_stop(stored_job.row, stored_job.row.tasks[victim.index], "evict")
            self.registry.count("tasks_reclaimed_total")

    def _list_victims(self):
        return [
            Victim(
                get_job_id(stored_job.row),
                task.index,
                task.attempt,
                task.node,
                get_size(stored_job.row.spec),
            )
            for stored_job in list(self.jobs.job_by_id.values())
            if stored_job.row.kind == "batch" and not stored_job.row.urgent
            for task in stored_job.row.tasks
            if task.state == "claimed"
        ]

    def _record_misfit_reasons(self):
        """Set the pending reason of jobs that are too large for every worker."""
        capacities = self.directory.list_capacities(
            self.configuration.is_usable, self.jobs.claims
        )
        for job_id in list(self.jobs.claims.pending_jobs):
            stored_job = self.jobs.job_by_id.get(job_id)
            if stored_job is None or not self._is_responsible_for(job_id):
                continue
            reason = get_misfit_reason(stored_job.row, capacities)
            row = (
                set_pending_reason(stored_job.row, reason) if reason else stored_job.row
            )
            if row is not stored_job.row:
                self.jobs.replace(stored_job, row)
                self.recorder.record("job-can-not-run", f"job/{job_id}", reason)

    def _is_responsible_for(self, job_id):
        return job_id in self.jobs.locally_created_ids or self.owns(get_bucket(job_id))

    def _is_listed(self, row, task):
        view = self.directory.get(task.node)
        return view is not None and _get_attempt_key(row, task) in view.listed_attempts

    def _place_job(self, stored_job, capacities):
        """Claim the due tasks that fit; return False when none of them fits."""
        due = self._list_due(stored_job.row)
        if not due:
            return True
        team = stored_job.row.team
        quota = self.configuration.configuration.get_quota(team)
        budget = TeamBudget(quota, self.jobs.claims.get_used(team))
        free_by_node = {capacity.node: capacity.free for capacity in capacities}
        placements = place_tasks(stored_job.row, due, capacities, budget, self.random)
        if not placements:
            return False
        clock_by_node = self._capture_node_clocks(placements)
        row = claim_tasks(stored_job.row, placements, create_operation_id())
        zones = sorted({placement.zone for placement in placements})
        match self.jobs.replace(stored_job, row, self._check_gates(zones)):
            case Success(claimed):
                self._start(claimed.row, placements, clock_by_node)
            case Failure(failure):
                for capacity in capacities:
                    capacity.free = free_by_node[capacity.node]
                self.registry.count("claims_failed_total", code=failure.code)
                if not isinstance(failure, Conflict):
                    self.sessions.record_outage()
                self.request_rescan()
        return True

    def _capture_node_clocks(self, placements):
        """Return each node's latest known clock, read before the transaction."""
        clock_by_node = {}
        for placement in placements:
            view = self.directory.get(placement.node)
            if view is not None:
                clock_by_node[placement.node] = view.stream.peer_clock
        return clock_by_node

    def _check_gates(self, zones):
        gates = [self.configuration.gate_by_zone.get(zone) for zone in zones]
        return [
            Check(f"gate/{zone}", gate.version if gate else 0)
            for zone, gate in zip(zones, gates, strict=True)
        ]

    def _start(self, row, placements, clock_by_node):
        job_id = get_job_id(row)
        now = self.clock.now()
        for placement in placements:
            task = row.tasks[placement.index]
            self.quarantine.record_start(placement.node, now)
            self._observation_by_attempt[_get_attempt_key(row, task)] = (
                ClaimObservation(now)
            )
            self.registry.count("tasks_claimed_total")
            self.recorder.record(
                "task-claimed", _get_attempt_subject(job_id, task), placement.node
            )
            view = self.directory.get(placement.node)
            if view is None or placement.node not in clock_by_node:
                continue
            attempt = AttemptId(job=job_id, index=task.index, attempt=task.attempt)
            start = StartTask(
                attempt=attempt,
                session=placement.session,
                echo=clock_by_node[placement.node],
                spec=row.spec,
                checkpoint=task.checkpoint,
            )
            view.stream.send(start)


def list_declared(configuration):
    """Return the rows of the batch jobs and watchers in a configuration.

    :param configuration: ``Configuration``.
    """
    rows = []
    for team, section in configuration.teams.items():
        for name, job in section.jobs.items():
            rows.append(build_job(team, name, job, "declared"))
        for name, watcher in section.watchers.items():
            spec = TaskSpec(
                command=watcher.command,
                processors=watcher.processors,
                memory_gb=watcher.memory_gb,
            )
            rows.append(create_job(team, name, "watcher", "declared", spec, 1))
    return rows


def build_job(team, name, job, origin):
    """Return the row of a batch job.

    :param job: ``document.Job``.
    :param origin: 'declared' or 'submitted'.
    """
    spec = TaskSpec(
        command=job.command,
        processors=job.processors,
        memory_gb=job.memory_gb,
        accelerators=job.accelerators,
        work_seconds=job.work_seconds,
    )
    return create_job(team, name, "batch", origin, spec, job.tasks, job.urgent)


def _get_attempt_key(row, task):
    """Return the key of a task's newest attempt as (job, index, attempt)."""
    return (get_job_id(row), task.index, task.attempt)


def _get_attempt_subject(job_id, task):
    return f"task/{job_id}/{task.index}#{task.attempt}"
