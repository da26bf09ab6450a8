"""Log lines and metrics of what the scheduling entry decides and notices."""

from bergamotshore.core.work.downtime import DowntimeTracker
from bergamotshore.core.work.order import Band
from bergamotshore.core.work.outlasting import OutlastingRunTracker

# Interval of the checks for long-running tasks without a run, in seconds.
DOWNTIME_INTERVAL_SECONDS = 1.0


class DecisionLog:
    """Log the plans of the scheduling entry, and what lasts for longer than it should.

    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """

    def __init__(self, registry, log):
        self._registry = registry
        self._log = log
        self._was_overloaded = False
        self.begin_term(0)

    def begin_term(self, epoch):
        """Forget what was noticed in the term before."""
        self._epoch = epoch
        self._downtime = DowntimeTracker()
        self._downtime_checked_at = 0.0
        self._outlasting = OutlastingRunTracker()

    def log_plan(self, plan):
        """Log the stops, speed limits and copies of a plan."""
        for stop in plan.stops:
            self._registry.count("run_stops_total", reason=stop.reason)
            self._log.write("run-stopped", stop.name, run=stop.number, why=stop.reason)
        for throttle in plan.paces:
            self._log.write(
                "run-paced",
                throttle.name,
                run=throttle.number,
                percent=throttle.percent,
            )
        for straggler, worker, allocation in plan.copies:
            self._registry.count("run_copies_total", sign=straggler.sign)
            self._log.write(
                "run-copied",
                allocation.name,
                run=allocation.number,
                node=worker.node,
                first=straggler.allocation.number,
                first_node=straggler.worker.node,
                why=straggler.sign,
            )
            if straggler.lateness is not None:
                self._log_lateness(straggler)

    def _log_lateness(self, straggler):
        lateness = straggler.lateness
        self._log.write(
            "run-past-high",
            straggler.allocation.name,
            run=straggler.allocation.number,
            node=straggler.worker.node,
            seconds=round(lateness.worked, 2),
            remaining=round(lateness.remaining, 2),
            expected=round(lateness.estimate.expected, 2),
            high=round(lateness.estimate.high, 2),
            basis=lateness.estimate.source,
            place=round(lateness.place.ratio, 2),
        )

    def log_order(self, order):
        """Log when jobs begin to be late, or all can be in time again."""
        if order.is_overloaded != self._was_overloaded:
            self._was_overloaded = order.is_overloaded
            timely, useful, rest = (order.jobs_by_band.get(band, 0) for band in Band)
            self._log.write(
                "jobs-ordered",
                self._epoch,
                timely=timely,
                useful=useful,
                rest=rest,
                fallbacks=order.fallbacks,
            )

    def log_downtime(self, view):
        """Log the long-running tasks that have been down for long, or run again."""
        if view.now - self._downtime_checked_at < DOWNTIME_INTERVAL_SECONDS:
            return
        self._downtime_checked_at = view.now
        downtimes, resumed = self._downtime.update(view)
        for downtime in downtimes:
            self._registry.count("tasks_down_total", reason=downtime.reason)
            self._log.write(
                "task-down",
                downtime.name,
                seconds=downtime.seconds,
                why=downtime.reason,
                node=downtime.node,
            )
        for name, seconds in resumed:
            self._log.write("task-up", name, seconds=seconds)

    def log_outlasting(self, cluster, now):
        """Log the runs that go on long after the end of their jobs, and their ends."""
        outlasting, gone = self._outlasting.update(cluster, now)
        for run in outlasting:
            self._registry.count("runs_outlasting_total", reason=run.reason)
            self._log.write(
                "run-outlasting",
                run.name,
                run=run.number,
                node=run.node,
                seconds=run.seconds,
                why=run.reason,
            )
        for run in gone:
            self._log.write(
                "run-gone",
                run.name,
                run=run.number,
                node=run.node,
                seconds=run.seconds,
            )
