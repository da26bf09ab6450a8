"""How much filling tasks disturb tasks that serve, learned by pair of images.

A serving task behaves like a queue: its tail latency is its unloaded latency divided by
one minus its load. What filling tasks do beside it adds to that load in proportion to
the share of the worker's processors that they use; the factor depends on both images.
The figures are rough and half a second late, and the load of a serving task changes by
itself, so factors are learned from changes between figures that follow each other.
"""

from dataclasses import dataclass, field

# Factor assumed for a pair that was never seen: that of pairs that disturb much.
UNKNOWN_FACTOR = 1.5
LARGEST_FACTOR = 4.0
# Step of the normalized least mean squares, and the size of a change in shares of a
# worker's processors at which half a step is taken.
LEARNING_RATE = 0.15
HALF_STEP_SHARE = 0.05
# Changes of less than this share of a worker's processors teach nothing.
SMALLEST_CHANGE = 0.02
# Figures further apart than this are not compared, in seconds.
LONGEST_GAP_SECONDS = 1.6
# An unloaded latency is never seen; the lowest seen was at about this load.
LOWEST_LOAD = 0.2
# Weight of a new figure in the average of a task's own load; about 8 s of figures.
OWN_WEIGHT = 0.05
# Load that a serving task may reach before its tail latency passes this share of its
# goal; the rest is left for what changes before the next figure.
GOAL_SHARE = 0.68
# Load of a serving task that has no figure yet.
UNKNOWN_LOAD = 0.5


@dataclass(slots=True)
class Sample:
    """Figures of one serving task at one moment.

    :param at: When, in seconds.
    :param load: Load that its tail latency shows, 0 to 1.
    :param share_by_image: Share of the worker's processors that filling tasks use.
    """

    at: float
    load: float
    share_by_image: dict


@dataclass(slots=True)
class ServingRecord:
    """What is known of one serving run.

    :param sample: Newest ``Sample``.
    :param own: Newest load without that of filling tasks.
    :param own_mean: Average of that.
    """

    sample: Sample | None = None
    own: float = UNKNOWN_LOAD
    own_mean: float = UNKNOWN_LOAD


@dataclass(slots=True)
class Interference:
    """Learned factors and the present load of serving runs.

    :param factor_by_pair: Factor by pair of serving and filling image.
    :param lowest_by_image: Lowest tail latency seen by serving image, in ms.
    :param record_by_run: ``ServingRecord`` by name and number of a serving run.
    """

    factor_by_pair: dict = field(default_factory=dict)
    lowest_by_image: dict = field(default_factory=dict)
    record_by_run: dict = field(default_factory=dict)

    def export(self):
        """Return what was learned, as lists that ``restore`` takes."""
        factors = [
            [serving, filling, round(factor, 3)]
            for (serving, filling), factor in sorted(self.factor_by_pair.items())
        ]
        return [factors, sorted(self.lowest_by_image.items())]

    def restore(self, learned):
        """Go on from what a predecessor learned."""
        factors, lowest = learned
        self.factor_by_pair = {(s, f): factor for s, f, factor in factors}
        self.lowest_by_image = dict(lowest)

    def get_factor(self, serving, filling):
        """Return the factor of a pair of images."""
        return self.factor_by_pair.get((serving, filling), UNKNOWN_FACTOR)

    def record_report(self, worker, now):
        """Take in the figures of a worker; none before its size is known."""
        if not worker.cpu:
            return
        shares = _sum_shares(worker)
        for allocation in worker.allocation_by_key.values():
            if (
                allocation.step.goal_ms
                and allocation.usage > 0
                and allocation.percent >= 100
            ):
                self._note_serving(allocation, shares, now)

    def _note_serving(self, allocation, shares, now):
        image = allocation.step.image
        lowest = min(
            allocation.usage, self.lowest_by_image.get(image, allocation.usage)
        )
        self.lowest_by_image[image] = lowest
        load = max(0.0, 1.0 - lowest * (1.0 - LOWEST_LOAD) / allocation.usage)
        record = self.record_by_run.setdefault(allocation.key, ServingRecord())
        before, record.sample = record.sample, Sample(now, load, shares)
        if before is not None and now - before.at < LONGEST_GAP_SECONDS:
            self._learn(image, before, record.sample)
        pressed = self.get_press(image, shares)
        record.own = min(1.0, max(0.0, load - pressed))
        record.own_mean += OWN_WEIGHT * (record.own - record.own_mean)

    def _learn(self, serving, before, after):
        images = before.share_by_image.keys() | after.share_by_image.keys()
        change_by_image = {
            image: after.share_by_image.get(image, 0.0)
            - before.share_by_image.get(image, 0.0)
            for image in images
        }
        power = sum(change * change for change in change_by_image.values())
        if power < SMALLEST_CHANGE**2:
            return
        expected = sum(
            self.get_factor(serving, image) * change
            for image, change in change_by_image.items()
        )
        error = after.load - before.load - expected
        step = LEARNING_RATE * error / (power + HALF_STEP_SHARE**2)
        for image, change in change_by_image.items():
            factor = self.get_factor(serving, image) + step * change
            self.factor_by_pair[(serving, image)] = min(
                LARGEST_FACTOR, max(0.0, factor)
            )

    def get_press(self, serving, shares):
        """Return the load that filling tasks add to a serving image.

        :param shares: Share of the worker's processors by filling image.
        """
        return sum(
            self.get_factor(serving, image) * share for image, share in shares.items()
        )

    def get_limit(self, allocation):
        """Return the load up to which a serving run stays well below its goal."""
        lowest = self.lowest_by_image.get(allocation.step.image)
        if lowest is None:
            return 1.0 - 1.0 / 3.0
        unloaded = lowest * (1.0 - LOWEST_LOAD)
        return max(0.0, 1.0 - unloaded / (GOAL_SHARE * allocation.step.goal_ms))

    def get_record(self, allocation):
        """Return the ``ServingRecord`` of a serving run."""
        return self.record_by_run.setdefault(allocation.key, ServingRecord())

    def prune(self, live_keys):
        """Drop the records of runs that are over.

        :param live_keys: Keys of all runs that are held.
        """
        for key in [key for key in self.record_by_run if key not in live_keys]:
            del self.record_by_run[key]


def _sum_shares(worker):
    """Return the share of a worker's processors that each filling image uses."""
    shares = {}
    for allocation in worker.allocation_by_key.values():
        if allocation.step.is_filling and allocation.usage > 0:
            image = allocation.step.image
            shares[image] = shares.get(image, 0.0) + allocation.usage / worker.cpu
    return shares


def list_budgets(worker, interference, use_mean):
    """Return pairs of serving run and load that filling tasks may add to it.

    :param use_mean: Whether to go by the average of its own load, not the newest.
    """
    budgets = []
    for allocation in worker.allocation_by_key.values():
        if allocation.step.goal_ms:
            record = interference.get_record(allocation)
            own = record.own_mean if use_mean else record.own
            budgets.append((allocation, interference.get_limit(allocation) - own))
    return budgets
