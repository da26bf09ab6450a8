"""Main loop of the scheduling entry: handle events, decide, write rows, send orders.

Only the dispatcher's thread accesses the state; other threads post events to its queue.
An order is sent only after its claim is written under the fence of the current term,
and the completion of a run is acknowledged only after it is written.
"""

import math
import queue

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.work.backlog import BacklogTracker
from bergamotshore.core.work.cluster import DEFAULT_MAX_RUNS, ClusterState
from bergamotshore.core.work.containment import ErrorCollector
from bergamotshore.core.work.crashes import LostRun, record_crash
from bergamotshore.core.work.decisions import make_plan
from bergamotshore.core.work.durations import SampleAccepted
from bergamotshore.core.work.fullspeed import UnusableDuration
from bergamotshore.core.work.jobcost import HeldJobs, get_memory_limit
from bergamotshore.core.work.jobstate import restore_crashes
from bergamotshore.core.work.leases import get_lease_expiry_seconds
from bergamotshore.core.work.presence import get_reported_runs
from bergamotshore.core.work.progress import JobProgress
from bergamotshore.core.work.suspicion import WorkerQuarantine
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.entry.advice import AdviceReceived, AdviceRequester
from bergamotshore.entry.background import run_background_call
from bergamotshore.entry.countsmark import StoreClock
from bergamotshore.entry.decisionlog import DecisionLog
from bergamotshore.entry.dispatchevents import (
    JobCancelled,
    NodeMessage,
    RowsChanged,
    StreamClosed,
    WriteFinished,
)
from bergamotshore.entry.jobrows import (
    CANCEL_SUFFIX,
    COUNTS_ROW,
    INTERFERENCE_ROW,
    JOBS,
    PARTS,
    decode_job_row,
)
from bergamotshore.entry.jobwriter import JobWriter
from bergamotshore.entry.latestrow import LatestRow
from bergamotshore.entry.maintenance import (
    WAVES_PART,
    MaintenanceEvent,
    MaintenanceManager,
)
from bergamotshore.entry.orders import OrderBatch, OrderSender
from bergamotshore.entry.reports import apply_report
from bergamotshore.entry.takeover import (
    TakeoverFailed,
    read_open_jobs,
    restore_job,
    write_fences,
)
from bergamotshore.entry.waitlog import log_place_waits
from bergamotshore.exceptions import DecodingError, RowsRefused, StateError
from bergamotshore.generated.messages import RunReport, RunResults
from bergamotshore.generated.settings import Scheduling
from bergamotshore.utils.eventlog import describe_error

# Longest wait for an event before the next scheduling pass, in seconds.
TICK_SECONDS = 0.05
# Events that arrive within this time are handled in one scheduling pass, in seconds.
BATCH_WINDOW_SECONDS = 0.004
# Nodes send a heartbeat every 0.5 s; a node that misses two gets no new work.
HEARTBEAT_TIMEOUT_SECONDS = 1.3
TAKEOVER_RETRY_SECONDS = 0.2
# Shortest interval between two writes of the queue backlogs, in seconds.
COUNTS_INTERVAL_SECONDS = 0.5
# Shortest interval between two writes of the interference model, in seconds.
INTERFERENCE_INTERVAL_SECONDS = 4.0
# Interval of the checks for slow workers and for steps that lack capacity, in seconds.
# Workers list their progress every 0.4 s; checking twice as often misses no list.
CHECK_INTERVAL_SECONDS = 0.2
# Interval of the estimates of the work ahead of new jobs, in seconds: half of that of
# the heartbeats that tell them.
BACKLOG_INTERVAL_SECONDS = 0.25
# Time from the begin of a term until it tells its first estimate, in seconds: nodes
# report within two heartbeats, and workers that are not known yet look like lost ones.
BACKLOG_DELAY_SECONDS = 2.0
# A job or worker that caused an unexpected error is left out of planning for this time,
# in seconds. It bounds the repeated work and the log.
LEFT_OUT_SECONDS = 1.0
# An entry whose term ended by an unexpected error leaves the next one to others for
# this time, in seconds.
STAND_BACK_SECONDS = 4.0
NO_DECISIONS_UNDER_LOAD = Scheduling()
DEFAULT_JOB_MEMORY_LIMIT = get_memory_limit(160)


class Dispatcher:
    """Schedule submitted jobs while this entry holds the scheduling lease.

    :param store: ``RowStore``.
    :param election: ``Election``.
    :param site: ``SiteState``.
    :param freshness: ``StateFreshness``: age of the state that starts depend on.
    :param directory: ``StreamDirectory``.
    :param grant_seconds: Duration of a node's renewal grant, in seconds.
    :param executor: Executor of the writes to the store.
    :param pause: Function that sleeps for a number of seconds.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    :param retention: ``Retention`` of closed jobs.
    :param advisor: ``AdviceClient``; None without an advice service.
    :param advice_calls: Executor that runs its calls one at a time.
    :param machines: ``MachineService``; None without one.
    :param machine_calls: Executor that runs its calls one at a time.
    :param scheduling: ``Scheduling``: the decisions under load that are switched on.
    :param spread_factor: Factor by which tasks take longer away from their data or
        their group.
    :param on_backlog: Called with each ``Backlog`` that this entry estimates.
    :param max_runs: Number of runs that this entry has memory for.
    :param job_memory_limit: Memory that accepted jobs may take here, in bytes.
    """

    def __init__(
        self,
        store,
        election,
        site,
        freshness,
        directory,
        grant_seconds,
        executor,
        pause,
        clock,
        registry,
        log,
        retention,
        advisor=None,
        advice_calls=None,
        machines=None,
        machine_calls=None,
        scheduling=NO_DECISIONS_UNDER_LOAD,
        spread_factor=1.0,
        on_backlog=lambda backlog: None,
        max_runs=DEFAULT_MAX_RUNS,
        job_memory_limit=DEFAULT_JOB_MEMORY_LIMIT,
    ):
        self.scheduling = scheduling
        self.spread_factor = spread_factor
        self._on_backlog = on_backlog
        self._max_runs = max_runs
        self._job_memory_limit = job_memory_limit
        self.decision_log = DecisionLog(registry, log)
        self.machines = machines
        self.machine_calls = machine_calls
        self.store = store
        self.election = election
        self.site = site
        self.freshness = freshness
        self._was_fresh = True
        self.store_clock = StoreClock(clock)
        self.directory = directory
        self.grant_seconds = grant_seconds
        self.executor = executor
        self.pause = pause
        self.clock = clock
        self.registry = registry
        self.log = log
        self.retention = retention
        self.questions = AdviceRequester(advisor, advice_calls, self.post, clock, log)
        self.events = queue.SimpleQueue()
        self.epoch = 0
        self.feed_version = 0
        self.term_started_at = 0.0
        self.is_shutting_down = False
        # Counts passes, events and parts of a pass, for the detection of stalls.
        self.progress = 0
        self.is_taking_over = False
        self._reset()

    def _reset(self):
        self.cluster = ClusterState(
            lambda name: self.site.configuration.get_queue(name), self._max_runs
        )
        self.cluster.durations.is_enabled = self.scheduling.durations
        self.suspicion = WorkerQuarantine()
        self.collector = ErrorCollector()
        self._left_out_until_by_subject = {}
        self._excluded_jobs = set()
        self.writer = JobWriter(self.cluster, self.epoch, self.clock, self.collector)
        self.sender = OrderSender(
            self.cluster, self.site, self.epoch, self.log, self.collector
        )
        self.maintenance = self._build_maintenance(0)
        self.in_flight = set()
        self._retry_at_by_part = {}
        self._counts_published_at = 0.0
        self._interference_stored_at = self.clock.now()
        self._counts_row = self._build_row(COUNTS_ROW)
        self._interference_row = self._build_row(INTERFERENCE_ROW)
        self._checked_at = 0.0
        self._slow_keys = frozenset()
        self.decision_log.begin_term(self.epoch)
        self._backlog = BacklogTracker(self.epoch)
        self._backlog_measured_at = 0.0
        # Version of the store up to which the open jobs are known.
        self._jobs_version = 0

    def _build_row(self, row_id):
        return LatestRow(self.store, row_id, self.executor, self.clock, self.log)

    def _build_maintenance(self, fence_version):
        epoch, lease = self.epoch, self.election.lease
        return MaintenanceManager(
            self.store,
            self.machines,
            self.machine_calls,
            self.post,
            self.clock,
            self.log,
            self.election.name,
            epoch,
            fence_version,
            lambda: lease.epoch == epoch and lease.is_valid(self.clock.now()),
        )

    def post(self, event):
        """Queue an event; may be called from any thread."""
        self.events.put(event)

    def step(self, wait=TICK_SECONDS):
        """Wait for events, handle them, decide, write rows and send orders.

        An unexpected error ends the term, not the process: the state is discarded, and
        the next term begins with what is stored and what nodes report.

        :param wait: Longest wait for the first event, in seconds.
        """
        self.progress += 1
        events = self._collect_events(wait)
        try:
            self._step(events)
        except Exception as error:
            self._abandon_term(error)

    def _abandon_term(self, error):
        self.log.write("term-abandoned", self.epoch, why=describe_error(error))
        self.registry.count("terms_abandoned_total")
        self.election.stand_back(STAND_BACK_SECONDS)
        self.epoch = 0
        self._reset()

    def _step(self, events):
        held_epoch = self.election.lease.epoch
        if held_epoch != self.epoch:
            self._change_term(held_epoch)
        if not self.epoch:
            return
        for event in events:
            self.progress += 1
            with self.collector.containing("events", type(event).__name__):
                self._handle_event(event)
        now = self.clock.now()
        if not self.election.lease.is_valid(now):
            return
        self._release_expired(now)
        self.progress += 1
        self._decide(now)
        self.progress += 1
        self._write(now)
        self._publish_counts(now)
        self._store_interference(now)
        self._counts_row.step()
        self._interference_row.step()
        self.retention.sweep_if_due(now)
        self._record_errors(self.collector, now)

    def _record_errors(self, collector, now):
        """Log contained errors and leave out their subjects for a while."""
        errors, collector.errors = collector.errors, []
        collector.left_out.clear()
        for contained in errors:
            self.registry.count("contained_errors_total", part=contained.part)
            if now < self._left_out_until_by_subject.get(contained.subject, 0.0):
                continue
            self._left_out_until_by_subject[contained.subject] = now + LEFT_OUT_SECONDS
            self.log.write(
                "left-out",
                contained.subject,
                part=contained.part,
                why=describe_error(contained.error),
            )

    def _list_left_out(self, now):
        """Return the subjects that are left out at present."""
        self._left_out_until_by_subject = {
            subject: until
            for subject, until in self._left_out_until_by_subject.items()
            if now < until
        }
        return set(self._left_out_until_by_subject)

    def _collect_events(self, wait):
        events = []
        try:
            events.append(self.events.get(timeout=wait))
            deadline = self.clock.now() + BATCH_WINDOW_SECONDS
            while (remaining := deadline - self.clock.now()) > 0:
                events.append(self.events.get(timeout=remaining))
        except queue.Empty:
            pass
        return events

    def _change_term(self, epoch):
        """Start or end a term of this entry as the scheduling entry."""
        self.epoch = 0
        self._reset()
        if not epoch:
            return
        takeover_started_at = self.clock.now()
        self.is_taking_over = True
        try:
            fences = write_fences(self.store, epoch, self.executor.map)
            open_jobs = read_open_jobs(self.store, self.executor.map)
        except TakeoverFailed as failure:
            self.log.write("takeover-failed", epoch, why=str(failure))
            self.registry.count("takeovers_failed_total")
            if failure.is_superseded:
                self.election.lease.resign()
            self.pause(TAKEOVER_RETRY_SECONDS)
            return
        finally:
            self.is_taking_over = False
        # The thread that follows the feed reads the version once it sees the epoch.
        self.feed_version = open_jobs.version
        self.epoch = epoch
        self.term_started_at = self.clock.now()
        self.freshness.jobs_confirmed_at = takeover_started_at
        self._reset()
        for part, version in fences.items():
            self.writer.set_fence(part, version)
        self.maintenance = self._build_maintenance(fences[WAVES_PART])
        self._restore(open_jobs)
        self._jobs_version = open_jobs.version
        self.log.write(
            "takeover",
            epoch,
            jobs=len(self.cluster.job_by_key),
            seconds=self.term_started_at - takeover_started_at,
        )
        self.directory.send_heartbeats()

    def _restore(self, open_jobs):
        now = self.clock.now()
        if open_jobs.interference_state is not None:
            self.cluster.interference.restore(open_jobs.interference_state)
        for key, version in open_jobs.unreadable:
            self._exclude_job(key, version, "unreadable")
        for spec in open_jobs.specs:
            version, row = open_jobs.progress_by_key.get(spec.key, (0, None))
            try:
                self._restore_job(open_jobs, spec, version, row, now)
            except StateError:
                raise
            except Exception as error:
                self._exclude_job(spec.key, version, describe_error(error))

        self._restore_groups(open_jobs)

    def _restore_groups(self, open_jobs):
        """Record the rows of groups of tasks; those of no open job are obsolete."""
        stored_keys = {spec.key for spec in open_jobs.specs}
        stored_keys.update(key for key, _ in open_jobs.unreadable)
        for key, rows in open_jobs.group_rows_by_key.items():
            if key in self.cluster.job_by_key or key not in stored_keys:
                groups = [group for group, _ in rows]
                self.writer.record_restored_groups(rows[0][1].id.part, key, groups)

    def _restore_job(self, open_jobs, spec, version, row, now):
        progress = JobProgress(spec)
        if row is not None:
            group_rows = open_jobs.group_rows_by_key.get(spec.key, ())
            if restore_job(progress, row, group_rows):
                self.writer.record_restored_in_one_row(spec.key, row.value)
            self.writer.record_restored(spec.key, version)
            self._restore_crashes(progress, open_jobs.crashes_by_key.get(spec.key))
        if spec.key in open_jobs.cancelled:
            progress.cancel()
        self.cluster.add_progress(progress)
        self.cluster.allocate_restored(progress, now)

    def _restore_crashes(self, progress, content):
        """Restore the crashes counted for a job; an unreadable row counts none."""
        if content is None:
            return
        self.writer.record_restored_crashes(progress.key, content)
        try:
            restore_crashes(progress, content)
        except DecodingError as error:
            self.log.write(
                "crashes-unreadable", progress.key, why=describe_error(error)
            )

    def _exclude_job(self, key, version, why):
        """Leave out a job whose state can't be read: tasks of it may have run."""
        self.registry.count("job_rows_invalid_total")
        self.log.write("job-row-invalid", key, version=version, why=why)
        self._excluded_jobs.add(key)

    def _handle_event(self, event):
        now = self.clock.now()
        match event:
            case NodeMessage(stream=stream, message=RunReport() as report):
                if self.directory.is_current(stream) and report.epoch == self.epoch:
                    self._handle_report(stream, report, now)
            case NodeMessage(stream=stream, message=RunResults(results=results)):
                worker = self.cluster.worker_by_node.get(stream.peer.name)
                for task, number, outcome in results if worker is not None else ():
                    self.cluster.record_order_result(
                        worker, (task, number), outcome, now
                    )
            case StreamClosed(stream=stream):
                worker = self.cluster.worker_by_node.get(stream.peer.name)
                if worker is not None and worker.stream is stream:
                    worker.stream = None
                    self.log.write("node-lost", worker.node, reason=stream.close_reason)
            case RowsChanged(rows=rows, requested_at=requested_at, epoch=epoch):
                if epoch == self.epoch:
                    for row in rows:
                        with self.collector.containing("rows", row.id.key):
                            self._handle_row(row)
                    self.freshness.jobs_confirmed_at = requested_at
                    self._jobs_version = max(self._jobs_version, event.version)
            case JobCancelled(key=key):
                self._cancel_job(key)
            case WriteFinished():
                self._handle_write_result(event, now)
            case MaintenanceEvent():
                if event.epoch == self.epoch:
                    self.maintenance.handle_event(event, now)
            case AdviceReceived():
                if event.epoch == self.epoch:
                    self.questions.handle_answer(self.cluster, event)

    def _handle_row(self, row):
        if row.id.table != JOBS or row.is_deleted:
            return
        key = row.id.key
        if key.endswith(CANCEL_SUFFIX):
            self._cancel_job(key.removesuffix(CANCEL_SUFFIX))
            return
        is_known = key in self.cluster.job_by_key or key in self._excluded_jobs
        if is_known or self.writer.is_closed(key):
            return
        spec = decode_job_row(row)
        if spec is None:
            self.registry.count("job_rows_invalid_total")
            self.log.write("job-row-invalid", key, version=row.version)
            return
        self.cluster.add_job(spec)

    def _cancel_job(self, key):
        progress = self.cluster.job_by_key.get(key)
        if progress is not None and not progress.is_cancelled:
            progress.cancel()
            self.log.write("job-cancelled", progress.spec.job_id)

    def _handle_report(self, stream, report, now):
        worker = self.cluster.get_worker(stream.peer.name, stream.peer.zone)
        lost_by_key = {
            **self.directory.get_lost_runs(worker.node),
            **self._find_unseen_losses(worker, report),
        }
        self._record_crash(worker, lost_by_key, now)
        if not report.born:
            # A node that restarted tells only that its worker's leases have expired,
            # and doesn't know of those that its former process has told of.
            if report.is_gone or now > self.directory.leases.get_end(worker.node):
                self._release_worker(worker, "worker-lapsed", now)
            return
        if worker.stream is not stream:
            worker.stream = stream
            worker.forget_limits()
            self.log.write("node-seen", worker.node, born=report.born)
        with self.collector.containing("reports", worker.node):
            self.collector.errors += apply_report(self.cluster, worker, report, now)
        if report.is_lapsed:
            self._release_worker(worker, "worker-lapsed", now)

    def _find_unseen_losses(self, worker, report):
        """Return ``LostRun`` by key of runs that no process of the node saw end.

        A process that ends beside its worker can't tell what was there, and the next
        one sees only that the worker is gone. What the former one had reported or been
        sent was there, unless it may have lost power together with the worker.
        """
        restart = self.directory.get_restart(worker.node)
        if restart is None or not report.has_missed_end or worker.is_draining:
            return {}
        present = get_reported_runs(report)
        runs = [
            run
            for run in worker.allocation_by_key.values()
            if run.born != report.born
            and not present.may_include(run.key)
            and run.sent_at
            and not run.is_crash_recorded
        ]
        if runs and not restart.has_kept_power:
            self._log_uncounted(worker, "node-restarted", runs)
            return {}
        return {
            run.key: LostRun(_get_worked_seconds(worker, run), was_away=False)
            for run in runs
        }

    def _record_crash(self, worker, lost_by_key, now):
        """Count a crash for the runs that were on a worker that is lost.

        A node that was away as well has lost its machine, and a worker that drains or
        is down for maintenance ends by a decision of the operator.

        :param lost_by_key: ``LostRun`` by name and number of what was there.
        """
        runs = [
            run
            for run in worker.allocation_by_key.values()
            if run.key in lost_by_key and not run.is_crash_recorded
        ]
        if not runs:
            return
        if any(lost_by_key[run.key].was_away for run in runs):
            self._log_uncounted(worker, "node-away", runs)
            return
        if worker.node in self.maintenance.get_evacuating_nodes(self.cluster, now):
            self._log_uncounted(worker, "maintenance", runs)
            return
        for run in record_crash(self.cluster, worker, lost_by_key):
            self.registry.count("run_crashes_total")
            self.log.write(
                "crash-counted",
                run.name,
                run=run.number,
                node=worker.node,
                crashes=run.crashes,
            )
            if run.is_given_up:
                self.registry.count("tasks_given_up_total")
                self.log.write("task-given-up", run.name, crashes=run.crashes)

    def _log_uncounted(self, worker, reason, runs):
        self.log.write("crash-uncounted", worker.node, why=reason, runs=len(runs))

    def _release_worker(self, worker, reason, now):
        uncounted = [
            run
            for run in worker.allocation_by_key.values()
            if not run.is_crash_recorded
        ]
        if uncounted:
            self._log_uncounted(worker, reason, uncounted)
        if worker.allocation_by_key:
            self.log.write(
                "runs-lost",
                worker.node,
                reason=reason,
                runs=len(worker.allocation_by_key),
            )
        self.cluster.release_all(worker, reason, now)

    def _release_expired(self, now):
        """Release the runs of nodes whose renewal grant has certainly expired."""
        lapse_seconds = get_lease_expiry_seconds(self.grant_seconds)
        for worker in self.cluster.worker_by_node.values():
            last_heard = self.directory.get_last_heartbeat_at(worker.node)
            worker.is_reachable = now - last_heard < HEARTBEAT_TIMEOUT_SECONDS
            if worker.allocation_by_key:
                self._release_ended(worker, now)
            lapses_at, counted = max(
                (self.election.last_echo_at + lapse_seconds, "echoes"),
                (last_heard + lapse_seconds, "node"),
                (self.directory.leases.get_end(worker.node), "lease"),
            )
            if worker.allocation_by_key and now > lapses_at:
                heard_at = max(self.election.last_echo_at, last_heard)
                self.log.write(
                    "node-silent", worker.node, counted=counted, seconds=now - heard_at
                )
                self._release_worker(worker, "node-silent", now)

    def _release_ended(self, worker, now):
        """Release the runs of incarnations of a worker that are gone.

        The node may have told so before this term, and have left since.
        """
        last_heard = self.directory.get_last_heartbeat_at(worker.node)
        heard_at = max(self.term_started_at, last_heard)
        ended = self.directory.ends.get_ended_incarnations(
            worker.node, is_node_heard=now - heard_at < HEARTBEAT_TIMEOUT_SECONDS
        )
        runs = [run for run in worker.allocation_by_key.values() if run.born in ended]
        if runs:
            lost_by_key = self.directory.get_lost_runs(worker.node)
            self._record_crash(worker, lost_by_key, now)
            uncounted = [run for run in runs if not run.is_crash_recorded]
            if uncounted:
                self._log_uncounted(worker, "worker-gone", uncounted)
            self.log.write(
                "runs-lost", worker.node, reason="worker-gone", runs=len(runs)
            )
        for run in runs:
            self.cluster.release(worker, run, "worker-gone", now)

    def _decide(self, now):
        for completion in self.cluster.pop_new_outcomes():
            self._record_outcome(completion)
        for node, ended_run in self.cluster.pop_unclaimed_completions():
            self.log.write(
                "end-unclaimed",
                ended_run.task,
                run=ended_run.number,
                node=node,
                outcome=ended_run.outcome,
            )
        is_check_due = now - self._checked_at >= CHECK_INTERVAL_SECONDS
        if is_check_due:
            self._checked_at = now
            with self.collector.containing("speed", "workers"):
                self._update_slow_workers(now)
            with self.collector.containing("maintenance", "waves"):
                self.maintenance.step(self.cluster, self.site.wave_by_number, now)
            with self.collector.containing("outlasting", "runs"):
                self.decision_log.log_outlasting(self.cluster, now)
        view = PlanView(
            self.cluster,
            self.site,
            now,
            self.clock.wall(),
            self.suspicion.is_quarantined,
            is_urgent_by_draining_node=self.maintenance.get_evacuating_nodes(
                self.cluster, now
            ),
            slow_keys=self._slow_keys,
            scheduling=self.scheduling,
            spread_factor=self.spread_factor,
            collector=ErrorCollector(left_out=self._list_left_out(now)),
        )
        orders_by_node = {}
        may_start = self._may_start(now) and not self.is_shutting_down
        plan = make_plan(view, may_start, is_check_due)
        self._record_errors(view.collector, now)
        self.decision_log.log_plan(plan)
        log_place_waits(self.cluster.place_waits, self.registry, self.log)
        self.decision_log.log_order(self.cluster.job_order)
        self.decision_log.log_downtime(view)
        with self.collector.containing("backlog", "estimate"):
            self._measure_backlog(view)
        for question in plan.questions:
            self.questions.ask(self.cluster, question, self.epoch, now)
        for stop in plan.stops:
            batch = orders_by_node.setdefault(stop.node, OrderBatch())
            batch.stops.append((stop.name, stop.number))
        for throttle in plan.paces:
            batch = orders_by_node.setdefault(throttle.node, OrderBatch())
            batch.paces.append((throttle.name, throttle.number, throttle.percent))
        for worker in self.cluster.worker_by_node.values():
            has_advanced = self.cluster.advance_acknowledged(
                worker, self.writer.is_written
            )
            batch = orders_by_node.get(worker.node)
            if worker.stream is not None and (has_advanced or batch is not None):
                self.sender.send(worker, batch or OrderBatch())

    def _record_drain(self, completion):
        if self.scheduling.admission:
            service = self.cluster.get_worker(completion.node, "").service
            self._backlog.record_outcome(completion, service, self.cluster.durations)

    def _measure_backlog(self, view):
        """Estimate the work ahead of new jobs, which all entries admit jobs by."""
        now = view.now
        if (
            not self.scheduling.admission
            or now - self.term_started_at < BACKLOG_DELAY_SECONDS
            or now - self._backlog_measured_at < BACKLOG_INTERVAL_SECONDS
        ):
            return
        self._backlog_measured_at = now
        backlog = self._backlog.measure(view)
        self._on_backlog(backlog)
        for expected, real in self._backlog.compare_starts(view, backlog):
            sign = "later" if real > expected else "sooner"
            self.registry.measure(
                "admission_error_seconds", abs(real - expected), sign=sign
            )

    def _may_start(self, now):
        """Return whether the state that starts depend on is fresh; log changes."""
        is_fresh = self.freshness.is_fresh(now)
        was_fresh, self._was_fresh = self._was_fresh, is_fresh
        age = self.site.get_age(now)
        jobs_age = now - self.freshness.jobs_confirmed_at
        if was_fresh and not is_fresh:
            self.log.write("starts-held", self.epoch, age=age, jobs_age=jobs_age)
        elif is_fresh and not was_fresh:
            self.log.write("starts-resumed", self.epoch, age=age, jobs_age=jobs_age)
        return is_fresh

    def _update_slow_workers(self, now):
        """Mark workers that have become slow, so that they get no new work."""
        slow = self.cluster.step_durations.find_slow_workers(
            self.cluster.worker_by_node.values()
        )
        for worker in slow:
            if self.suspicion.record_slow(worker.node, now):
                self.log.write(
                    "worker-slow",
                    worker.node,
                    ratio=round(worker.ratio, 1),
                    runs=len(worker.runs_to_move),
                )
        self._slow_keys = frozenset(
            allocation.key for worker in slow for allocation in worker.runs_to_move
        )

    def _record_outcome(self, completion):
        """Log the end of a run, and learn from it.

        What is learned for the decisions under load tells nothing against the worker,
        so an error in it doesn't leave out the worker.
        """
        with self.collector.containing("outcomes", completion.node):
            self._log_completion(completion)
        with self.collector.containing("outcomes", completion.node):
            self.suspicion.record_fact(completion)
            self.cluster.step_durations.record_fact(completion)
        with self.collector.containing("outcomes", "durations"):
            self._record_duration(completion)
        with self.collector.containing("outcomes", "tails"):
            self._record_tail(completion)
        with self.collector.containing("outcomes", "backlog"):
            self._record_drain(completion)

    def _record_duration(self, completion):
        """Learn the duration of a finished task, and log figures that can't be used."""
        run, places = completion.allocation, self.cluster.places
        is_slow_place = places.is_slow(completion.node, completion.at)
        match self.cluster.durations.record_outcome(completion, is_slow_place):
            case SampleAccepted(estimate=estimate) as sample:
                self.registry.measure(
                    "task_duration_error_seconds",
                    sample.error_seconds,
                    source=estimate.source,
                )
                places.record_duration(
                    completion.node, run.ref.job, completion.at, sample
                )
            case UnusableDuration(reason=reason):
                self.registry.count("task_durations_unusable_total", reason=reason)
                self.log.write("duration-unusable", run.name, why=reason)

    def _record_tail(self, completion):
        """Count the work of a run that another run of its task made unneeded."""
        if not self.scheduling.tails:
            return
        match self.cluster.tails.record_outcome(completion):
            case (sign, core_seconds):
                run = completion.allocation
                self.registry.count(
                    "run_copies_unneeded_core_seconds_total", core_seconds, sign=sign
                )
                self.log.write(
                    "copy-unneeded",
                    run.name,
                    run=run.number,
                    node=completion.node,
                    core_seconds=round(core_seconds, 2),
                )

    def _log_completion(self, completion):
        self.registry.count("runs_ended_total", outcome=completion.outcome)
        self.log.write(
            "run-ended",
            completion.allocation.name,
            run=completion.allocation.number,
            node=completion.node,
            outcome=completion.outcome,
        )

    def _write(self, now):
        for part in PARTS:
            if part in self.in_flight or now < self._retry_at_by_part.get(part, 0.0):
                continue
            batch = self.writer.build_batch(part)
            if batch is None:
                continue
            self.in_flight.add(part)
            self.executor.submit(self._run_write, part, batch, self.epoch)

    def _run_write(self, part, batch, epoch):
        outcome = run_background_call(
            lambda: self.store.transact(batch.expects, batch.puts, batch.deletes),
            part,
            self.log,
        )
        if epoch == self.epoch:
            self.post(WriteFinished(part, batch, outcome))

    def _handle_write_result(self, written, now):
        if written.batch.epoch != self.epoch:
            return
        self.in_flight.discard(written.part)
        match written.outcome:
            case Success(version):
                self._retry_at_by_part.pop(written.part, None)
                self.writer.record_written(written.batch, version)
                blocking_reason = self._find_blocking_reason(now)
                self.sender.send_claims(self.writer.is_written, blocking_reason, now)
            case Failure(failure):
                self._retry_at_by_part[written.part] = now + TAKEOVER_RETRY_SECONDS
                self.log.write("write-failed", written.part, why=failure.code)
                if isinstance(failure, RowsRefused):
                    self._log_refused(written.batch, failure)
                if self.writer.record_failed(written.batch, failure):
                    self.log.write("fenced", written.part, epoch=self.epoch)
                    self.election.lease.resign()

    def _log_refused(self, batch, failure):
        """Log the job whose changes the store refuses, once it is found."""
        self.registry.count("writes_refused_total")
        if culprit := self.writer.find_culprit(batch):
            self.log.write("job-unwritable", culprit, why=failure.detail)

    def _find_blocking_reason(self, now):
        """Return why no order may be sent at present; empty if orders are allowed."""
        if not self.election.lease.is_valid(now):
            return "lease-over"
        return "" if self._may_start(now) else "old-knowledge"

    def _publish_counts(self, now):
        """Write the number of waiting jobs of each queue, which all entries read."""
        if now - self._counts_published_at < COUNTS_INTERVAL_SECONDS:
            return
        self._counts_published_at = now
        self.cluster.advice.prune(self.cluster.job_by_key)
        self.cluster.step_durations.prune(self.cluster.job_by_key)
        self.cluster.interference.prune(
            {
                key
                for worker in self.cluster.worker_by_node.values()
                for key in worker.allocation_by_key
            },
            self.cluster.job_by_key,
        )
        counts = {}
        for progress in self.cluster.job_by_key.values():
            is_open = not (progress.outcome or progress.is_cancelled)
            if is_open and not progress.spec.repeats and not progress.has_run():
                name = progress.spec.queue
                counts[name] = counts.get(name, 0) + 1
        measured_at = self.store_clock.now()
        self._counts_row.put(msgspec.msgpack.encode(counts), measured_at)

    def get_counts_mark(self):
        """Return the ``CountsMark`` of this term; may be called from any thread."""
        return self._counts_row.confirmed if self.epoch else None

    def get_held_jobs(self):
        """Return the ``HeldJobs`` of this term, or None; called from any thread."""
        # Read first: jobs that are added meanwhile are counted too early, never late.
        version = self._jobs_version
        if not version:
            return None
        return HeldJobs(self.cluster.job_memory, self._job_memory_limit, version)

    def _store_interference(self, now):
        """Write the interference model, so that a successor can continue with it."""
        if now - self._interference_stored_at < INTERFERENCE_INTERVAL_SECONDS:
            return
        self._interference_stored_at = now
        interference_state = self.cluster.interference.export()
        self._interference_row.put(msgspec.msgpack.encode(interference_state))


def _get_worked_seconds(worker, run):
    """Return how long a run had worked when its worker was last reported.

    :returns: Seconds; infinite if no node has told this entry.
    """
    if run.is_started:
        return max(0.0, worker.reported_at - run.started_at)
    return math.inf if run.stream is None else 0.0
