"""Interference of best-effort with latency-critical tasks, learned per pair of images.

A latency-critical task is modelled as a queue: its tail latency is its unloaded latency
divided by one minus its load. Best-effort tasks on the same worker add to that load in
proportion to the share of the worker's processors that they use; the factor depends on
both images. Measurements are coarse and half a second old, and the load of a
latency-critical task also varies by itself, so factors are learned from the differences
between consecutive measurements.
"""

from dataclasses import dataclass, field

# Factor assumed for a pair without measurements: that of a pair with strong
# interference.
DEFAULT_FACTOR = 1.5
MAX_FACTOR = 4.0
# Step size of the normalized least mean squares filter, and the change of processor
# share at which its regularization halves the step.
LEARNING_RATE = 0.15
REGULARIZATION_SHARE = 0.05
# Changes below this share of a worker's processors are too small to learn from.
MIN_CHANGE_SHARE = 0.02
# Samples further apart than this are not compared, in seconds.
MAX_SAMPLE_GAP_SECONDS = 1.6
# The unloaded latency can't be measured; the lowest measured latency occurred at about
# this load.
LOAD_AT_LOWEST_LATENCY = 0.2
# Weight of a new sample in the moving average of a task's own load; averages over
# about 8 s of samples.
OWN_LOAD_WEIGHT = 0.05
# Share of its latency goal that a latency-critical task may use; the rest is headroom
# for load changes before the next sample.
GOAL_SHARE = 0.68
# Load assumed for a latency-critical task without samples.
DEFAULT_LOAD = 0.5


@dataclass(slots=True)
class Sample:
    """Measurement of one latency-critical task.

    :param at: Time of the measurement, in seconds.
    :param load: Load derived from its tail latency, 0 to 1.
    :param share_by_image: Share of the worker's processors used, by best-effort image.
    """

    at: float
    load: float
    share_by_image: dict


@dataclass(slots=True)
class LoadRecord:
    """Load of one latency-critical run.

    :param sample: Latest ``Sample``.
    :param own_load: Latest load without the part that best-effort tasks add.
    :param mean_own_load: Moving average of ``own_load``.
    """

    sample: Sample | None = None
    own_load: float = DEFAULT_LOAD
    mean_own_load: float = DEFAULT_LOAD


@dataclass(slots=True)
class Interference:
    """Learned interference factors and the current load of latency-critical runs.

    :param factor_by_pair: Factor by pair of latency-critical and best-effort image.
    :param lowest_latency_by_image: Lowest measured tail latency by latency-critical
        image, in ms.
    :param record_by_run: ``LoadRecord`` by name and number of a latency-critical run.
    """

    factor_by_pair: dict = field(default_factory=dict)
    lowest_latency_by_image: dict = field(default_factory=dict)
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

    def record_report(self, worker, now):
        """Update loads and factors from a worker's report, once its size is known."""
        if not worker.cpu:
            return
        shares = _sum_shares(worker)
        for run in worker.allocation_by_key.values():
            if run.step.goal_ms and run.usage > 0 and run.percent >= 100:
                self._record_load(run, shares, now)

    def _record_load(self, run, shares, now):
        """Derive the load of a latency-critical run from its tail latency."""
        image = run.step.image
        lowest_latency = min(
            run.usage, self.lowest_latency_by_image.get(image, run.usage)
        )
        self.lowest_latency_by_image[image] = lowest_latency
        load = max(
            0.0, 1.0 - lowest_latency * (1.0 - LOAD_AT_LOWEST_LATENCY) / run.usage
        )
        record = self.record_by_run.setdefault(run.key, LoadRecord())
        before, record.sample = record.sample, Sample(now, load, shares)
        if before is not None and now - before.at < MAX_SAMPLE_GAP_SECONDS:
            self._learn(image, before, record.sample)
        added_load = self.get_added_load(image, shares)
        record.own_load = min(1.0, max(0.0, load - added_load))
        record.mean_own_load += OWN_LOAD_WEIGHT * (
            record.own_load - record.mean_own_load
        )

    def _learn(self, critical_image, before, after):
        """Adjust the factors of an image by the error of the predicted load change."""
        images = before.share_by_image.keys() | after.share_by_image.keys()
        change_by_image = {
            image: after.share_by_image.get(image, 0.0)
            - before.share_by_image.get(image, 0.0)
            for image in images
        }
        squared_change = sum(change * change for change in change_by_image.values())
        if squared_change < MIN_CHANGE_SHARE**2:
            return
        expected_change = sum(
            self.get_factor(critical_image, image) * change
            for image, change in change_by_image.items()
        )
        error = after.load - before.load - expected_change
        step = LEARNING_RATE * error / (squared_change + REGULARIZATION_SHARE**2)
        for image, change in change_by_image.items():
            factor = self.get_factor(critical_image, image) + step * change
            self.factor_by_pair[(critical_image, image)] = min(
                MAX_FACTOR, max(0.0, factor)
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

    def get_load_limit(self, run):
        """Return the highest load at which a run stays well below its latency goal."""
        lowest_latency = self.lowest_latency_by_image.get(run.step.image)
        if lowest_latency is None:
            return 1.0 - 1.0 / 3.0
        unloaded_latency = lowest_latency * (1.0 - LOAD_AT_LOWEST_LATENCY)
        return max(0.0, 1.0 - unloaded_latency / (GOAL_SHARE * run.step.goal_ms))

    def get_load_record(self, run):
        """Return the ``LoadRecord`` of a latency-critical run."""
        return self.record_by_run.setdefault(run.key, LoadRecord())

    def prune(self, live_keys):
        """Remove the records of finished runs.

        :param live_keys: Keys of all runs that are still placed on a worker.
        """
        for key in [key for key in self.record_by_run if key not in live_keys]:
            del self.record_by_run[key]


def _sum_shares(worker):
    """Return the share of a worker's processors that each best-effort image uses."""
    shares = {}
    for run in worker.allocation_by_key.values():
        if run.step.is_filling and run.usage > 0:
            image = run.step.image
            shares[image] = shares.get(image, 0.0) + run.usage / worker.cpu
    return shares


def list_load_budgets(worker, interference, use_mean):
    """Return pairs of latency-critical run and the load that may be added to it.

    :param use_mean: Whether to use the average of its own load, not the latest value.
    """
    budgets = []
    for run in worker.allocation_by_key.values():
        if run.step.goal_ms:
            record = interference.get_load_record(run)
            own_load = record.mean_own_load if use_mean else record.own_load
            budgets.append((run, interference.get_load_limit(run) - own_load))
    return budgets
