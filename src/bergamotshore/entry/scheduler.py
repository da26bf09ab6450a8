"""The scheduling of tasks at an entry: claims, ends, evictions, lapses."""

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
from bergamotshore.entry.ends import EndRecorder
from bergamotshore.entry.sessionwatch import SessionWatch
from bergamotshore.exceptions import Conflict
from bergamotshore.generated.messages import (
    AttemptId,
    StartTask,
    StopTask,
    TaskSpec,
)
from bergamotshore.ports.table import Check

STOP_RESEND_SECONDS = 2.0
RESCANS_PER_WHOLE = 12
RECLAIM_SECONDS = 1.0


@dataclass(slots=True)
class ClaimObservation:
    """When a claim was first seen, on both clocks.

    :param observed_at: Clock of the entry when it first saw the claim.
    :param node_bound: Clock of the node at some moment after that; None until known.
    """

    observed_at: float
    node_bound: float | None = None

    def record_inventory(self, inventory):
        """Learn an upper bound of the node's clock at the first sight."""
        if self.node_bound is None and inventory.echo >= self.observed_at:
            self.node_bound = inventory.taken_at

    def is_start_expired(self, inventory, within):
        """Tell whether the node would have refused any start before an inventory."""
        return (
            self.node_bound is not None
            and inventory.taken_at > self.node_bound + within
        )


class TaskScheduler:
    """Decide on tasks from rows, sessions, gates and inventories.

    All methods but ``report`` and ``request_rescan`` run in the scheduler's thread.

    :param table: ``Table``.
    :param jobs: ``JobStore``.
    :param configuration: ``ConfigurationStore``.
    :param directory: ``NodeDirectory``.
    :param owns: Tells whether this entry looks after a bucket of jobs.
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
        self.ends = EndRecorder(
            jobs,
            directory,
            self.quarantine,
            self.backoff,
            clock,
            recorder,
            registry,
        )
        self.sessions = SessionWatch(
            table, settings.rescan_sessions, clock, recorder, registry
        )
        self._sight_by_attempt = {}
        self._stop_sent_by_attempt = {}
        self._next_rescan = 0.0
        self._next_reclaim = 0.0
        self._rescans = 0

    def report(self, node, ended):
        """Take a report of a node; from any thread."""
        self.ends.report(node, ended)

    def request_rescan(self):
        """Make the next step look at everything; from any thread."""
        self._next_rescan = 0.0

    def step(self, may_place=True):
        """Do all that is due.

        :param may_place: False while the entry leaves: ends are still recorded.
        """
        self.ends.record_all()
        if not may_place:
            return
        if self.clock.now() >= self._next_rescan:
            self._rescan()
            self._stop_unwanted()
            self._hand_back_lost_starts()
            self._explain_misfits()
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
        self._note_attempts()
        self._release_dead_sessions()

    def _choose_buckets(self):
        """Return this entry's own buckets, and now and then all of them."""
        self._rescans += 1
        if self._rescans % RESCANS_PER_WHOLE == 1:
            return list_buckets()
        return [bucket for bucket in list_buckets() if self.owns(bucket)]

    def _note_attempts(self):
        now = self.clock.now()
        current = {
            _get_key(held.row, task)
            for held in list(self.jobs.by_job_id.values())
            for task in held.row.tasks
            if task.state == "claimed"
        }
        self._sight_by_attempt = {
            key: self._sight_by_attempt.get(key) or ClaimObservation(now)
            for key in current
        }
        self._stop_sent_by_attempt = {
            key: sent
            for key, sent in self._stop_sent_by_attempt.items()
            if key in current
        }

    def _release_dead_sessions(self):
        """Make tasks eligible again whose session is over.

        A newer session of the same node opens only after the old one is proven over or
        its worker listed what runs; what runs on is in the node's inventory. Once the
        newest session is over, all earlier ones are.
        """
        for held in list(self.jobs.by_job_id.values()):
            row = held.row
            for task in held.row.tasks:
                if task.state == "claimed" and self._is_session_over(held.row, task):
                    row = release_attempt(row, task.index, task.attempt, "session-over")
                    self._record_release(row, task, "session-over")
            if row is not held.row:
                self.jobs.replace(held, row)

    def _is_session_over(self, row, task):
        session = self.sessions.by_node.get(task.node)
        if session is None:
            return False
        if session.state != "live":
            return True
        is_newer = session.session != task.session
        return is_newer and not self._may_be_adopted(row, task)

    def _may_be_adopted(self, row, task):
        """Tell whether the node's newer session may hold the attempt still."""
        view = self.directory.get(task.node)
        if view is None or view.inventory is None:
            return True
        session = self.sessions.by_node[task.node]
        if view.inventory.session != session.session:
            return True
        return self._is_listed(row, task)

    def _record_release(self, row, task, reason):
        self.registry.count("tasks_released_total")
        self.recorder.record(
            "task-released", _name_attempt(get_job_id(row), task), reason
        )

    def _reconcile(self):
        """Create the jobs that the document declares and cancel those it dropped.

        Every write is conditional on the configuration being the newest: an entry that
        lags must not cancel what a newer one declares.
        """
        configuration = self.configuration.configuration
        if configuration.version <= self.reconciled_version:
            return
        checks = [Check(CONFIG_KEY, configuration.row_version)]
        declared = {get_job_id(row): row for row in list_declared(configuration)}
        is_whole = True
        for job_id, row in declared.items():
            if job_id not in self.jobs.by_job_id:
                is_whole &= self._create_declared(row, checks)
        for held in list(self.jobs.by_job_id.values()):
            is_dropped = get_job_id(held.row) not in declared
            if is_dropped and held.row.origin == "declared":
                is_whole &= self._cancel_dropped(held, checks)
        if is_whole:
            self.reconciled_version = configuration.version

    def _create_declared(self, row, checks):
        match self.jobs.create(row, checks):
            case Success(_):
                self.recorder.record("job-created", f"job/{get_job_id(row)}")
                return True
            case Failure(failure):
                return failure.code == "job-exists"

    def _cancel_dropped(self, held, checks):
        """Cancel a job; True when nothing is left to do."""
        if held.row.is_cancelled:
            return True
        if isinstance(self.jobs.replace(held, cancel_job(held.row), checks), Success):
            return True
        self.jobs.read(get_job_id(held.row))
        return False

    def _stop_unwanted(self):
        """Ask nodes to evict from closed data centres and to stop cancelled work."""
        for held in list(self.jobs.by_job_id.values()):
            for task in held.row.tasks:
                if task.state != "claimed":
                    continue
                if held.row.is_cancelled:
                    self._send_stop(held.row, task, "cancel")
                elif not self.configuration.is_usable(task.zone, task.node):
                    self._send_stop(held.row, task, "evict")

    def _send_stop(self, row, task, mode):
        job_id = get_job_id(row)
        key = _get_key(row, task)
        now = self.clock.now()
        sent = self._stop_sent_by_attempt.get(key)
        view = self.directory.get(task.node)
        is_waiting = sent is not None and now - sent < STOP_RESEND_SECONDS
        if view is None or is_waiting:
            return
        self._stop_sent_by_attempt[key] = now
        attempt = AttemptId(job=job_id, index=task.index, attempt=task.attempt)
        if sent is None:
            self.recorder.record("task-stop-asked", _name_attempt(job_id, task), mode)
        view.stream.send(StopTask(attempt=attempt, mode=mode))

    def _hand_back_lost_starts(self):
        """Release claims whose start was never carried out.

        A start is refused once its echo is too old. A claim that an inventory does not
        list, taken later than any start of it could be obeyed, will never start.
        """
        for held in list(self.jobs.by_job_id.values()):
            row = held.row
            for task in held.row.tasks:
                if task.state == "claimed" and self._is_start_lost(held.row, task):
                    row = release_attempt(row, task.index, task.attempt, "start-lost")
                    self._record_release(row, task, "start-lost")
            if row is not held.row:
                self.jobs.replace(held, row)

    def _is_start_lost(self, row, task):
        view = self.directory.get(task.node)
        sight = self._sight_by_attempt.get(_get_key(row, task))
        if view is None or view.inventory is None or sight is None:
            return False
        inventory = view.inventory
        if inventory.session != task.session:
            return False
        sight.record_inventory(inventory)
        if not sight.is_start_expired(inventory, self.settings.start_within):
            return False
        return not self._is_listed(row, task)

    def _place(self):
        waiting = [
            self.jobs.by_job_id[job_id]
            for job_id in list(self.jobs.claims.pending_jobs)
            if job_id in self.jobs.by_job_id and self._may_place_job(job_id)
        ]
        if not waiting:
            return
        rooms = self.directory.list_capacities(self._may_use, self.jobs.claims)
        waiting.sort(key=lambda held: (not held.row.urgent, held.version))
        for held in waiting:
            is_placed = self._place_job(held, rooms)
            if held.row.urgent and not is_placed:
                self._reclaim(held.row, rooms)

    def _may_use(self, zone, node):
        is_usable = self.configuration.may_place(zone, node)
        return is_usable and self.quarantine.may_place(node, self.clock.now())

    def _list_due(self, row):
        """Return the pending tasks of a job that need not wait after a failure."""
        job_id = get_job_id(row)
        now = self.clock.now()
        return [
            index
            for index in list_pending(row)
            if not self.backoff.is_delayed((job_id, index), now)
        ]

    def _reclaim(self, row, rooms):
        """Ask for the eviction of tasks that are not urgent to make room."""
        now = self.clock.now()
        if now < self._next_reclaim or not self._list_due(row):
            return
        self._next_reclaim = now + RECLAIM_SECONDS
        for victim in choose_victims(get_size(row.spec), rooms, self._list_victims()):
            held = self.jobs.by_job_id[victim.job]
            self._send_stop(held.row, held.row.tasks[victim.index], "evict")
            self.registry.count("tasks_reclaimed_total")

    def _list_victims(self):
        return [
            Victim(
                get_job_id(held.row),
                task.index,
                task.attempt,
                task.node,
                get_size(held.row.spec),
            )
            for held in list(self.jobs.by_job_id.values())
            if held.row.kind == "batch" and not held.row.urgent
            for task in held.row.tasks
            if task.state == "claimed"
        ]

    def _explain_misfits(self):
        """Tell the owners of jobs that no worker could ever hold."""
        rooms = self.directory.list_capacities(
            self.configuration.is_usable, self.jobs.claims
        )
        for job_id in list(self.jobs.claims.pending_jobs):
            held = self.jobs.by_job_id.get(job_id)
            if held is None or not self._may_place_job(job_id):
                continue
            reason = get_misfit_reason(held.row, rooms)
            row = set_pending_reason(held.row, reason) if reason else held.row
            if row is not held.row:
                self.jobs.replace(held, row)
                self.recorder.record("job-can-not-run", f"job/{job_id}", reason)

    def _may_place_job(self, job_id):
        return job_id in self.jobs.created_here or self.owns(get_bucket(job_id))

    def _is_listed(self, row, task):
        view = self.directory.get(task.node)
        return view is not None and _get_key(row, task) in view.listed_attempts

    def _place_job(self, held, rooms):
        """Claim what fits; True when some task was placed or none was due."""
        due = self._list_due(held.row)
        if not due:
            return True
        team = held.row.team
        quota = self.configuration.configuration.get_quota(team)
        budget = TeamBudget(quota, self.jobs.claims.get_used(team))
        before = {room.node: room.free for room in rooms}
        placements = place_tasks(held.row, due, rooms, budget, self.random)
        if not placements:
            return False
        clock_by_node = self._hold_node_clocks(placements)
        row = claim_tasks(held.row, placements, create_operation_id())
        zones = sorted({placement.zone for placement in placements})
        match self.jobs.replace(held, row, self._check_gates(zones)):
            case Success(claimed):
                self._start(claimed.row, placements, clock_by_node)
            case Failure(failure):
                for room in rooms:
                    room.free = before[room.node]
                self.registry.count("claims_failed_total", code=failure.code)
                if not isinstance(failure, Conflict):
                    self.sessions.record_outage()
                self.request_rescan()
        return True

    def _hold_node_clocks(self, placements):
        """Return the newest clock heard of each node, before the transaction."""
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
            self._sight_by_attempt[_get_key(row, task)] = ClaimObservation(now)
            self.registry.count("tasks_claimed_total")
            self.recorder.record(
                "task-claimed", _name_attempt(job_id, task), placement.node
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
    """Return the rows of the jobs and watchers that a configuration declares.

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


def _get_key(row, task):
    """Return the identity of a task's newest attempt."""
    return (get_job_id(row), task.index, task.attempt)


def _name_attempt(job_id, task):
    return f"task/{job_id}/{task.index}#{task.attempt}"
