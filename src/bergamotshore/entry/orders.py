"""Orders to nodes; a start is sent only after its claim is written."""

from dataclasses import dataclass, field

from bergamotshore.core.work.pacing import FULL_SPEED, limit_new_runs
from bergamotshore.generated.messages import RunOrders


@dataclass(slots=True)
class OrderBatch:
    """Orders to one node that are sent in one message.

    :param starts: Task, run number, checkpoint and ticket of each run to start.
    :param payload_by_job: Payload of the tasks to start, by job identifier.
    :param stops: Task and run number of each run to stop.
    :param paces: Task, run number and percent of full speed of each run to throttle.
    """

    starts: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    paces: list = field(default_factory=list)
    payload_by_job: dict = field(default_factory=dict)

    def add_start(self, cluster, allocation):
        """Add the start of a claimed run, with its speed limit.

        :param cluster: ``ClusterState``.
        :param allocation: ``Allocation``.
        """
        progress = cluster.job_by_key[allocation.ref.job]
        name, number = allocation.key
        task = progress.get_task(allocation.ref)
        start = (name, number, task.checkpoint, allocation.ticket)
        self.payload_by_job[progress.spec.job_id] = progress.spec.payload
        self.starts.append(start)
        if allocation.throttle_percent != FULL_SPEED:
            self.paces.append((name, number, allocation.throttle_percent))


class OrderSender:
    """Send the orders of one term to the nodes.

    :param cluster: ``ClusterState``.
    :param site: ``SiteState``.
    :param epoch: Number of the term.
    :param log: ``EventLog``.
    :param collector: ``ErrorCollector``: claims that can't be ordered are released.
    """

    def __init__(self, cluster, site, epoch, log, collector):
        self._collector = collector
        self._board = cluster
        self._site = site
        self._epoch = epoch
        self._log = log

    def send_claims(self, is_written, blocking_reason, now):
        """Send the starts whose claims are written; release those that can't be sent.

        :param is_written: Function of job key and revision that returns whether the
            job is written up to that revision.
        :param blocking_reason: Why no order may be sent at all; empty if allowed.
        """
        due = [
            (worker, allocation)
            for worker in self._board.worker_by_node.values()
            for allocation in worker.allocation_by_key.values()
            if not allocation.sent_at
            and is_written(allocation.ref.job, allocation.revision)
        ]
        due = self._release_blocked(due, blocking_reason, now)
        # A gang that lost a member in the first pass loses the others in the second.
        self._release_blocked(due, blocking_reason, now)
        for worker in self._board.worker_by_node.values():
            starts = [
                allocation
                for allocation in worker.allocation_by_key.values()
                if not allocation.sent_at
                and is_written(allocation.ref.job, allocation.revision)
            ]
            if starts:
                self._send_starts(worker, starts, now)

    def _send_starts(self, worker, starts, now):
        """Order starts in one message; release those for which it can't be built."""
        orders = OrderBatch()
        try:
            limit_new_runs(worker, self._board.interference, now)
        except Exception as error:
            self._collector.record("orders", worker.node, error)
            self._release_all(worker, starts, now)
            return
        for allocation in starts:
            try:
                orders.add_start(self._board, allocation)
            except Exception as error:
                self._collector.record("orders", allocation.ref.job, error)
                self._release_all(worker, [allocation], now)
                continue
            allocation.sent_at, allocation.stream = now, worker.stream
            self._log.write(
                "run-ordered", allocation.name, run=allocation.number, node=worker.node
            )
        if orders.starts:
            self.send(worker, orders)

    def _release_all(self, worker, allocations, now):
        for allocation in allocations:
            self._board.release_unstarted(worker, allocation, "order-failed", now)

    def _release_blocked(self, due, blocking_reason, now):
        """Release the claims whose orders may not be sent; return the others.

        :param due: Pairs of worker and ``Allocation``.
        """
        left = []
        for worker, allocation in due:
            reason = blocking_reason or "order-failed"
            with self._collector.containing("orders", allocation.ref.job):
                reason = blocking_reason or self._find_blocking_reason(
                    worker, allocation
                )
            if reason:
                self._board.release_unstarted(worker, allocation, reason, now)
            else:
                left.append((worker, allocation))
        return left

    def _find_blocking_reason(self, worker, allocation):
        progress = self._board.job_by_key.get(allocation.ref.job)
        if worker.size is None:
            return "size-unknown"
        if worker.unknown_runs:
            return "unknown-runs"
        if worker.is_overcommitted:
            return "no-room"
        if worker.stream is None or worker.incarnation.started_ms != allocation.born:
            return "node-away"
        if worker.is_draining:
            return "worker-draining"
        if worker.zone in self._site.closed_zones:
            return "zone-closed"
        if progress is None or progress.is_cancelled or progress.outcome:
            return "job-over"
        if progress.get_task(allocation.ref).is_done:
            return "done-elsewhere"
        if allocation.step.is_gang and progress.is_gang_incomplete(
            allocation.ref, allocation.number
        ):
            return "gang-incomplete"
        return ""

    def send(self, worker, orders):
        """Send an ``OrderBatch`` to the node of a worker."""
        worker.stream.send(
            RunOrders(
                epoch=self._epoch,
                echo=worker.stream.peer_clock,
                born=worker.incarnation.started_ms,
                starts=orders.starts,
                reserved=(
                    worker.used_cpu,
                    worker.used_memory,
                    worker.used_accelerators,
                ),
                payload_by_job=orders.payload_by_job,
                stops=orders.stops,
                paces=orders.paces,
                acknowledged=worker.acknowledged,
            )
        )
