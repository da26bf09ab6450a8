"""Interference of best-effort with latency-critical tasks, learned per pair of images.

A latency-critical task is modelled as a queue: its tail latency is its unloaded latency
divided by one minus its load. Best-effort tasks on the same worker add to that load in
proportion to the share of the worker's processors that they use; the factor depends on
both images. The remaining load is the task's own. The tasks of one step serve the same
users, so their own loads rise and fall together: the figures of all of them show it,
and what one of them has beyond it is due to its neighbours.

Each figure corrects the own load of the step, with its trend, and the factors of the
best-effort images beside the task. As in a Kalman filter, the error of the prediction
is split by how uncertain each of these is.
"""

from dataclasses import dataclass, field

from bergamotshore.core.work.stepload import StepLoad
from bergamotshore.core.work.workers import USAGE_WINDOW_SECONDS

# Factor assumed for a pair without measurements, that of a pair with strong
# interference, and the variance of this guess.
DEFAULT_FACTOR = 1.5
DEFAULT_VARIANCE = 1.0
# Variance of a factor that a former scheduler learned.
RESTORED_VARIANCE = 0.1
# Lower bound of the variance of a factor, so that it keeps following changes.
MIN_VARIANCE = 0.01
MAX_FACTOR = 4.0
# Shares below this one of a worker's processors are too small to learn from.
MIN_SHARE = 0.01
# The unloaded latency can't be measured; the lowest measured latency occurred at about
# this load.
LOAD_AT_LOWEST_LATENCY = 0.2
# Unloaded latency assumed before lower ones are measured, as a share of the goal.
UNLOADED_GOAL_SHARE = 0.25
# Standard deviation of a load derived from one latency figure.
LOAD_NOISE = 0.05
# Errors of more standard deviations are cut to this: a single figure, such as that of a
# stalled worker, must not outweigh all others.
MAX_ERROR_DEVIATIONS = 3.0
# Weight of a new figure in the moving averages of a run.
RUN_WEIGHT = 0.3
# A speed limit takes effect after this time, and the next one after another report of
# the worker. In seconds.
ORDER_SECONDS = 0.2
REPORT_SECONDS = 0.4
# Share of its latency goal that a latency-critical task may use; the rest is headroom
# for errors of the model.
GOAL_SHARE = 0.9


@dataclass(slots=True)
class RunRecord:
    """Moving averages of one latency-critical run.

    :param latency: Tail latency, in ms.
    :param excess: Load beyond what the model predicted.
    """

    latency: float
    excess: float = 0.0


@dataclass(slots=True)
class Interference:
    """Learned interference factors and the current load of latency-critical steps.

    :param factor_by_pair: Factor by pair of latency-critical and best-effort image.
    :param variance_by_pair: Variance of that factor by pair.
    :param lowest_latency_by_image: Lowest tail latency, averaged over some figures, by
        latency-critical image, in ms.
    :param load_by_step: ``StepLoad`` by key of a latency-critical step.
    :param record_by_run: ``RunRecord`` by name and number of a latency-critical run.
    """

    factor_by_pair: dict = field(default_factory=dict)
    variance_by_pair: dict = field(default_factory=dict)
    lowest_latency_by_image: dict = field(default_factory=dict)
    load_by_step: dict = field(default_factory=dict)
    record_by_run: dict = field(default_factory=dict)

    def export(self):
        """Return the learned state as lists, for ``restore``."""
        factors = [
            [critical, best_effort, round(factor, 3)]
            for (critical, best_effort), factor in sorted(self.factor_by_pair.items())
        ]
        return [factors, sorted(self.lowest_latency_by_image.items())]

    def restore(self, learned):
        """Load the state that another instance exported."""
        factors, lowest_latency = learned
        self.factor_by_pair = {
            (critical, best_effort): factor for critical, best_effort, factor in factors
        }
        self.lowest_latency_by_image = dict(lowest_latency)

    def get_factor(self, critical_image, best_effort_image):
        """Return the interference factor of a pair of images."""
        return self.factor_by_pair.get(
            (critical_image, best_effort_image), DEFAULT_FACTOR
        )

    def _get_variance(self, pair):
        is_known = pair in self.factor_by_pair
        return self.variance_by_pair.get(
            pair, RESTORED_VARIANCE if is_known else DEFAULT_VARIANCE
        )

    def record_report(self, worker, now):
        """Update loads and factors from a worker's report, once its size is known."""
        if worker.size is None:
            return
        shares = _sum_shares(worker, now)
        for run in worker.allocation_by_key.values():
            if run.step.goal_ms and run.usage > 0 and run.percent >= 100:
                self._record_latency(run)
                self._record_load(run, shares, now - USAGE_WINDOW_SECONDS / 2)

    def _record_latency(self, run):
        """Update the averages that tell the unloaded latency of an image."""
        record = self.record_by_run.setdefault(run.key, RunRecord(run.usage))
        record.latency += RUN_WEIGHT * (run.usage - record.latency)
        lowest = self.lowest_latency_by_image.get(run.step.image, record.latency)
        self.lowest_latency_by_image[run.step.image] = min(lowest, record.latency)

    def _record_load(self, run, shares, at):
        """Correct the model by the load that a tail latency shows.

        :param shares: Share of the worker's processors used, by best-effort image.
        :param at: Middle of the time that the figure describes, in seconds.
        """
        load = max(0.0, 1.0 - self.get_unloaded_latency(run.step) / run.usage)
        step_load = self.get_step_load(run)
        step_load.predict(at)
        share_by_pair = {
            (run.step.image, image): share
            for image, share in shares.items()
            if share >= MIN_SHARE
        }
        variance = LOAD_NOISE**2 + step_load.variance
        for pair, share in share_by_pair.items():
            variance += share**2 * self._get_variance(pair)
        error = load - step_load.level - self.get_added_load(run.step.image, shares)
        record = self.record_by_run[run.key]
        record.excess += RUN_WEIGHT * (error - record.excess)
        largest = MAX_ERROR_DEVIATIONS * variance**0.5
        error = min(largest, max(-largest, error))
        step_load.correct(error, variance)
        for pair, share in share_by_pair.items():
            self._correct_factor(pair, share, error, variance)

    def _correct_factor(self, pair, share, error, variance):
        factor_variance = self._get_variance(pair)
        gain = share * factor_variance / variance
        factor = self.get_factor(*pair) + gain * error
        self.factor_by_pair[pair] = min(MAX_FACTOR, max(0.0, factor))
        self.variance_by_pair[pair] = max(
            MIN_VARIANCE, factor_variance * (1.0 - gain * share)
        )

    def get_added_load(self, critical_image, shares):
        """Return the load that best-effort tasks add to a latency-critical task.

        :param critical_image: Image of the latency-critical task.
        :param shares: Share of the worker's processors used, by best-effort image.
        """
        return sum(
            self.get_factor(critical_image, image) * share
            for image, share in shares.items()
        )

    def get_unloaded_latency(self, step):
        """Return the tail latency of a step's tasks without any load, in ms."""
        latency = UNLOADED_GOAL_SHARE * step.goal_ms
        lowest_latency = self.lowest_latency_by_image.get(step.image)
        if lowest_latency is None:
            return latency
        return min(latency, lowest_latency * (1.0 - LOAD_AT_LOWEST_LATENCY))

    def get_load_limit(self, step):
        """Return the highest load at which a step's tasks stay below their goal."""
        unloaded_latency = self.get_unloaded_latency(step)
        return max(0.0, 1.0 - unloaded_latency / (GOAL_SHARE * step.goal_ms))

    def get_step_load(self, run):
        """Return the ``StepLoad`` of the step of a latency-critical run."""
        step_load = self.load_by_step.get(run.ref.step_key)
        if step_load is None:
            step_load = self.load_by_step[run.ref.step_key] = StepLoad()
        return step_load

    def _get_excess(self, run):
        record = self.record_by_run.get(run.key)
        return max(0.0, record.excess) if record is not None else 0.0

    def get_peak_own_load(self, run, now):
        """Return the highest own load expected until the next limit takes effect."""
        step_load = self.get_step_load(run)
        return self._get_excess(run) + max(
            step_load.forecast(now + ORDER_SECONDS),
            step_load.forecast(now + ORDER_SECONDS + REPORT_SECONDS),
        )

    def get_mean_own_load(self, run):
        """Return the own load of a run averaged over some time."""
        return self._get_excess(run) + self.get_step_load(run).mean_level

    def prune(self, live_keys, live_jobs):
        """Remove the records of finished runs and closed jobs.

        :param live_keys: Keys of all runs that are still placed on a worker.
        :param live_jobs: Keys of all open jobs.
        """
        for key in [key for key in self.record_by_run if key not in live_keys]:
            del self.record_by_run[key]
        for key in [key for key in self.load_by_step if key[0] not in live_jobs]:
            del self.load_by_step[key]


def _sum_shares(worker, now):
    """Return the share of a worker's processors that each best-effort image used.

    Latency figures are means over a time window, but usage is reported from the start
    of a run and not after its end. So runs that began or ended within the window count
    for their part of it.
    """
    shares = {}
    for run in worker.allocation_by_key.values():
        if run.step.is_filling and run.usage > 0:
            age = max(0.0, now - run.started_at)
            part = min(1.0, age / USAGE_WINDOW_SECONDS)
            _add_share(shares, run, worker.size.get_share(part))
    for run, ended_at in worker.ended_best_effort:
        part = max(0.0, 1.0 - (now - ended_at) / USAGE_WINDOW_SECONDS)
        _add_share(shares, run, worker.size.get_share(part))
    return shares


def _add_share(shares, run, part):
    shares[run.step.image] = shares.get(run.step.image, 0.0) + run.usage * part


def get_budget_by_image(worker, interference, now=None):
    """Return the load that may be added to the tasks of each latency-critical image.

    Of several tasks of one image, the one that bears least counts.

    :param now: Current time, for the budget until the next report; None for the budget
        in the long run.
    """
    budget_by_image = {}
    for run in worker.allocation_by_key.values():
        if run.step.goal_ms:
            own_load = (
                interference.get_mean_own_load(run)
                if now is None
                else interference.get_peak_own_load(run, now)
            )
            budget = interference.get_load_limit(run.step) - own_load
            image = run.step.image
            budget_by_image[image] = min(budget, budget_by_image.get(image, budget))
    return budget_by_image
