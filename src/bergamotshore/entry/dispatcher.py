"""The scheduling entry at work: facts in, decisions, rows written, orders out.

All state belongs to the dispatcher's thread; other threads hand it events. An order is
sent only after the claim behind it is written under the fence of the present term, and
an end is acknowledged only after it is written.
"""

import queue
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Success

from bergamotshore.core.work.cluster import ClusterState
from bergamotshore.core.work.decisions import make_plan
from bergamotshore.core.work.leases import get_lease_expiry_seconds
from bergamotshore.core.work.suspicion import WorkerQuarantine
from bergamotshore.core.work.waiting import PlanView
from bergamotshore.entry.advice import Advised, QuestionDesk
from bergamotshore.entry.jobrows import (
    CANCEL_SUFFIX,
    COUNTS_ROW,
    JOBS,
    LEARNED_ROW,
    PARTS,
    decode_job_row,
)
from bergamotshore.entry.jobwriter import JobWriter
from bergamotshore.entry.latestrow import LatestRow
from bergamotshore.entry.maintenance import WAVES_PART, UpkeepDesk, UpkeepEvent
from bergamotshore.entry.orders import OrderBatch, OrderSender
from bergamotshore.entry.reports import apply_report
from bergamotshore.entry.takeover import TakeoverFailed, read_open_jobs, write_fences
from bergamotshore.generated.messages import RunReport, RunResults

# Pause between two looks at the board when nothing happens, in seconds.
TICK_SECONDS = 0.05
# Time in which events are gathered before they are decided on together, in seconds.
GATHER_SECONDS = 0.004
# Nodes send a heartbeat each 0.5 s; one that misses two gets no new work, in seconds.
HEARD_SECONDS = 1.3
TAKEOVER_RETRY_SECONDS = 0.2
# Times of waiting jobs are told to callers at most this often, in seconds.
COUNT_SECONDS = 0.5
# What was learned is written at most this often, in seconds.
LEARNED_SECONDS = 4.0
# Workers list their progress each 0.4 s; looking twice as often for slow workers and
# for steps that lack room sees each list. In seconds.
LOOK_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class NodeMessage:
    """A message of a node.

    :param stream: ``Stream`` that it came on.
    :param message: ``RunReport`` or ``RunResults``.
    """

    stream: object
    message: object


@dataclass(frozen=True, slots=True)
class StreamClosed:
    """A stream to a node was lost."""

    stream: object


@dataclass(frozen=True, slots=True)
class RowsChanged:
    """Rows of the job table changed, or were read again as a whole.

    :param rows: Rows; none when nothing changed.
    :param asked_at: When the store was asked, on this entry's clock.
    :param epoch: Term in which it was asked.
    """

    rows: list
    asked_at: float
    epoch: int


@dataclass(frozen=True, slots=True)
class Written:
    """A transaction of the job writer was answered."""

    part: str
    batch: object
    outcome: object


class Dispatcher:
    """Schedule submitted work while this entry holds the lease.

    :param store: ``RowStore``.
    :param election: ``Election``.
    :param site: ``SiteState``.
    :param knowledge: ``StateFreshness``.
    :param directory: ``StreamDirectory``.
    :param right: Length of a node's right, in seconds.
    :param executor: Runs the writes.
    :param pause: Waits some seconds.
    :param clock: ``Clock``.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    :param retention: ``Retention`` of closed jobs.
    :param advisor: ``AdviceClient``; None without an advice service.
    :param advice_calls: Runs its calls, one after another.
    :param machines: ``MachineService``; None without one.
    :param machine_calls: Runs its calls, one after another.
    """

    def __init__(
        self,
        store,
        election,
        site,
        knowledge,
        directory,
        right,
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
    ):
        self.machines = machines
        self.machine_calls = machine_calls
        self.store = store
        self.election = election
        self.site = site
        self.knowledge = knowledge
        self._was_fresh = True
        self.directory = directory
        self.right = right
        self.executor = executor
        self.pause = pause
        self.clock = clock
        self.registry = registry
        self.log = log
        self.retention = retention
        self.questions = QuestionDesk(advisor, advice_calls, self.post, clock, log)
        self.events = queue.SimpleQueue()
        self.epoch = 0
        self.feed_version = 0
        self.taken_at = 0.0
        self.is_shutting_down = False
        self._reset()

    def _reset(self):
        self.cluster = ClusterState(
            lambda name: self.site.configuration.get_queue(name)
        )
        self.suspicion = WorkerQuarantine()
        self.writer = JobWriter(self.cluster, self.epoch, self.clock)
        self.sender = OrderSender(self.cluster, self.site, self.epoch, self.log)
        self.maintenance = self._build_upkeep(0)
        self.in_flight = set()
        self._retry_at_by_part = {}
        self._counted_at = 0.0
        self._learned_at = self.clock.now()
        self._counts_row = self._build_row(COUNTS_ROW)
        self._learned_row = self._build_row(LEARNED_ROW)
        self._looked_at = 0.0
        self._slow_keys = frozenset()

    def _build_row(self, row_id):
        return LatestRow(self.store, row_id, self.executor, self.clock, self.log)

    def _build_upkeep(self, fence_version):
        return UpkeepDesk(
            self.store,
            self.machines,
            self.machine_calls,
            self.post,
            self.clock,
            self.log,
            self.election.name,
            self.epoch,
            fence_version,
        )

    def post(self, event):
        """Hand an event over, from any thread."""
        self.events.put(event)

    def step(self, wait=TICK_SECONDS):
        """Wait for events, decide, write and send.

        :param wait: Longest wait for the first event, in seconds.
        """
        events = self._gather(wait)
        lease_epoch = self.election.lease.epoch
        if lease_epoch != self.epoch:
            self._change_term(lease_epoch)
        if not self.epoch:
            return
        for event in events:
            self._take(event)
        now = self.clock.now()
        if not self.election.lease.is_valid(now):
            return
        self._release_lost(now)
        self._decide(now)
        self._write(now)
        self._count(now)
        self._keep_learned(now)
        self._counts_row.step()
        self._learned_row.step()
        self.retention.sweep_if_due(now)

    def _gather(self, wait):
        events = []
        try:
            events.append(self.events.get(timeout=wait))
            until = self.clock.now() + GATHER_SECONDS
            while (left := until - self.clock.now()) > 0:
                events.append(self.events.get(timeout=left))
        except queue.Empty:
            pass
        return events

    def _change_term(self, epoch):
        """Begin or end a term of this entry."""
        self.epoch = 0
        self._reset()
        if not epoch:
            return
        began = self.clock.now()
        try:
            fences = write_fences(self.store, epoch, self.executor.map)
            found = read_open_jobs(self.store, self.executor.map)
        except TakeoverFailed as failure:
            self.log.write("takeover-failed", epoch, why=str(failure))
            self.registry.count("takeovers_failed_total")
            if failure.is_superseded:
                self.election.lease.resign()
            self.pause(TAKEOVER_RETRY_SECONDS)
            return
        self.epoch = epoch
        self.taken_at = self.clock.now()
        self.knowledge.jobs_confirmed_at = began
        self._reset()
        for part, version in fences.items():
            self.writer.set_fence(part, version)
        self.maintenance = self._build_upkeep(fences[WAVES_PART])
        self._restore(found)
        self.feed_version = found.version
        self.log.write(
            "takeover",
            epoch,
            jobs=len(self.cluster.job_by_key),
            seconds=self.taken_at - began,
        )
        self.directory.send_heartbeats()

    def _restore(self, found):
        now = self.clock.now()
        if found.learned is not None:
            self.cluster.interference.restore(found.learned)
        for spec in found.specs:
            progress = self.cluster.add_job(spec)
            if spec.key in found.progress_by_key:
                version, restore = found.progress_by_key[spec.key]
                restore(progress)
                self.writer.note_restored(spec.key, version)
            if spec.key in found.cancelled:
                progress.cancel()
            self.cluster.allocate_restored(progress, now)

    def _take(self, event):
        now = self.clock.now()
        match event:
            case NodeMessage(stream=stream, message=RunReport() as report):
                if self.directory.is_current(stream) and report.epoch == self.epoch:
                    self._take_report(stream, report, now)
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
            case RowsChanged(rows=rows, asked_at=asked_at, epoch=epoch):
                for row in rows:
                    self._take_row(row)
                if epoch == self.epoch:
                    self.knowledge.jobs_confirmed_at = asked_at
            case Written():
                self._take_written(event, now)
            case UpkeepEvent():
                if event.epoch == self.epoch:
                    self.maintenance.take(event, now)
            case Advised():
                if event.epoch == self.epoch:
                    self.questions.take(self.cluster, event)

    def _take_row(self, row):
        if row.id.table != JOBS or row.is_deleted:
            return
        key = row.id.key
        if key.endswith(CANCEL_SUFFIX):
            progress = self.cluster.job_by_key.get(key.removesuffix(CANCEL_SUFFIX))
            if progress is not None and not progress.is_cancelled:
                progress.cancel()
                self.log.write("job-cancelled", progress.spec.job_id)
            return
        if key in self.cluster.job_by_key or self.writer.is_closed(key):
            return
        spec = decode_job_row(row)
        if spec is None:
            self.registry.count("job_rows_invalid_total")
            self.log.write("job-row-invalid", key, version=row.version)
            return
        self.cluster.add_job(spec)

    def _take_report(self, stream, report, now):
        worker = self.cluster.get_worker(stream.peer.name, stream.peer.zone)
        if worker.stream is not stream:
            worker.stream = stream
            self.log.write("node-seen", worker.node, born=report.born)
        apply_report(self.cluster, worker, report, now)
        if report.is_lapsed:
            self._release_worker(worker, "worker-lapsed", now)

    def _release_worker(self, worker, reason, now):
        if worker.allocation_by_key:
            self.log.write(
                "runs-lost",
                worker.node,
                reason=reason,
                runs=len(worker.allocation_by_key),
            )
        self.cluster.release_all(worker, reason, now)

    def _release_lost(self, now):
        """Free the runs of nodes whose right has run out for certain."""
        lapse = get_lease_expiry_seconds(self.right)
        for worker in self.cluster.worker_by_node.values():
            last_heard = self.directory.get_last_heartbeat_at(worker.node)
            worker.is_reachable = now - last_heard < HEARD_SECONDS
            heard_at = max(self.taken_at, self.election.echoed_until, last_heard)
            if worker.allocation_by_key and now - heard_at > lapse:
                self._release_worker(worker, "node-silent", now)

    def _decide(self, now):
        for fact in self.cluster.pop_new_outcomes():
            self.suspicion.record_fact(fact)
            self.cluster.step_durations.record_fact(fact)
            self._log_fact(fact)
        for node, end in self.cluster.pop_unclaimed_completions():
            self.log.write(
                "end-unclaimed",
                end.task,
                run=end.number,
                node=node,
                outcome=end.outcome,
            )
        is_full_scan = now - self._looked_at >= LOOK_SECONDS
        if is_full_scan:
            self._looked_at = now
            self._look_at_speeds(now)
            self.maintenance.step(self.cluster, self.site.wave_by_number, now)
        view = PlanView(
            self.cluster,
            self.site,
            now,
            self.clock.wall(),
            self.suspicion.is_quarantined,
            is_urgent_by_draining_node=self.maintenance.list_clearing(
                self.cluster, now
            ),
            slow_keys=self._slow_keys,
        )
        orders_by_node = {}
        may_start = self._may_start(now) and not self.is_shutting_down
        plan = make_plan(view, may_start, is_full_scan)
        self._log_plan(plan)
        for question in plan.questions:
            self.questions.ask(self.cluster, question, self.epoch, now)
        for stop in plan.stops:
            batch = orders_by_node.setdefault(stop.node, OrderBatch())
            batch.stops.append((stop.name, stop.number))
        for pace in plan.paces:
            batch = orders_by_node.setdefault(pace.node, OrderBatch())
            batch.paces.append((pace.name, pace.number, pace.percent))
        for worker in self.cluster.worker_by_node.values():
            has_moved = self.cluster.advance_acknowledged(
                worker, self.writer.is_written
            )
            batch = orders_by_node.get(worker.node)
            if worker.stream is not None and (has_moved or batch is not None):
                self.sender.send(worker, batch or OrderBatch())

    def _may_start(self, now):
        """Tell whether what starts rest on is young enough; tells of changes."""
        is_fresh = self.knowledge.is_fresh(now)
        was_fresh, self._was_fresh = self._was_fresh, is_fresh
        age = self.site.get_age(now)
        jobs_age = now - self.knowledge.jobs_confirmed_at
        if was_fresh and not is_fresh:
            self.log.write("starts-held", self.epoch, age=age, jobs_age=jobs_age)
        elif is_fresh and not was_fresh:
            self.log.write("starts-resumed", self.epoch, age=age, jobs_age=jobs_age)
        return is_fresh

    def _look_at_speeds(self, now):
        """Keep new work away from workers that turned slow."""
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

    def _log_plan(self, plan):
        for stop in plan.stops:
            self.registry.count("run_stops_total", reason=stop.reason)
            self.log.write("run-stopped", stop.name, run=stop.number, why=stop.reason)
        for pace in plan.paces:
            self.log.write(
                "run-paced", pace.name, run=pace.number, percent=pace.percent
            )
        for late, worker, allocation in plan.copies:
            self.registry.count("run_copies_total", sign=late.sign)
            self.log.write(
                "run-copied",
                allocation.name,
                run=allocation.number,
                node=worker.node,
                first=late.allocation.number,
                first_node=late.worker.node,
                why=late.sign,
            )

    def _log_fact(self, fact):
        self.registry.count("runs_ended_total", outcome=fact.outcome)
        self.log.write(
            "run-ended",
            fact.allocation.name,
            run=fact.allocation.number,
            node=fact.node,
            outcome=fact.outcome,
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
        outcome = self.store.transact(batch.expects, batch.puts, batch.deletes)
        if epoch == self.epoch:
            self.post(Written(part, batch, outcome))

    def _take_written(self, written, now):
        if written.batch.epoch != self.epoch:
            return
        self.in_flight.discard(written.part)
        match written.outcome:
            case Success(version):
                self._retry_at_by_part.pop(written.part, None)
                self.writer.note_written(written.batch, version)
                hindrance = self._find_hindrance(now)
                self.sender.send_claims(self.writer.is_written, hindrance, now)
            case Failure(failure):
                self._retry_at_by_part[written.part] = now + TAKEOVER_RETRY_SECONDS
                self.log.write("write-failed", written.part, why=failure.code)
                if self.writer.record_failed(written.batch, failure):
                    self.log.write("fenced", written.part, epoch=self.epoch)
                    self.election.lease.resign()

    def _find_hindrance(self, now):
        """Return why no order may be sent at all now; empty when they may."""
        if not self.election.lease.is_valid(now):
            return "lease-over"
        return "" if self._may_start(now) else "old-knowledge"

    def _count(self, now):
        """Tell all entries how many jobs of each queue wait."""
        if now - self._counted_at < COUNT_SECONDS:
            return
        self._counted_at = now
        self.cluster.advice.prune(self.cluster.job_by_key)
        self.cluster.step_durations.prune(self.cluster.job_by_key)
        self.cluster.interference.prune(
            {
                key
                for worker in self.cluster.worker_by_node.values()
                for key in worker.allocation_by_key
            }
        )
        counts = {}
        for progress in self.cluster.job_by_key.values():
            if not progress.spec.repeats and progress.state == "pending":
                name = progress.spec.queue
                counts[name] = counts.get(name, 0) + 1
        self._counts_row.put(msgspec.msgpack.encode(counts))

    def _keep_learned(self, now):
        """Write what was learned, so that a successor need not begin anew."""
        if now - self._learned_at < LEARNED_SECONDS:
            return
        self._learned_at = now
        learned = self.cluster.interference.export()
        self._learned_row.put(msgspec.msgpack.encode(learned))
