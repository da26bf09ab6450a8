"""Share of the capacity that large jobs keep under overload."""

from dataclasses import dataclass, field

# Large jobs are served at least this often, relative to all jobs.
MIN_LARGE_SHARE = 0.5
# A large job that comes to be known later than this earns no credit, in seconds.
MAX_ARRIVAL_SECONDS = 2.0
# Most credit that large jobs keep, in seconds of the whole capacity.
MAX_CREDIT_SECONDS = 10.0
# Weight of a further job in the share of jobs that are served.
MEAN_WEIGHT = 0.05


@dataclass(slots=True)
class LargeJobShare:
    """Capacity kept for large jobs of a pool, which are the worst by worth for work.

    Each large job earns credit when it arrives, so that the credit pays for half as
    many of them as are served of all jobs. A job that is paid goes first until it ends.

    :param credit: Capacity earned, in seconds x thousandths of a CPU.
    :param served_share: Recent share of jobs that ended while they were of use.
    :param chosen: Keys of the jobs that go first.
    :param limit_by_key: Time from which a job is of no use, by key of an open job.
    :param missed: Keys of open jobs that have passed that time.
    """

    credit: float = 0.0
    served_share: float = 1.0
    chosen: set = field(default_factory=set)
    limit_by_key: dict = field(default_factory=dict)
    missed: set = field(default_factory=set)

    def choose(self, demands, capacity, now):
        """Update the jobs that go first.

        :param demands: ``JobDemand`` objects of the pool.
        :param capacity: Capacity of the pool in thousandths of a CPU.
        :param now: Current time, in seconds.
        """
        self._count(demands, now)
        large = [demand for demand in demands if demand.is_large]
        # A scheduler that takes over doesn't count those that came before.
        arrived = [
            item
            for item in large
            if item.key not in self.limit_by_key
            and now - item.arrived_at < MAX_ARRIVAL_SECONDS
        ]
        self.limit_by_key = {demand.key: demand.limit for demand in demands}
        part = MIN_LARGE_SHARE * self.served_share
        self.credit += part * sum(demand.work_left for demand in arrived)
        self.credit = min(self.credit, MAX_CREDIT_SECONDS * capacity)
        in_time = {item.key for item in demands if now + item.path_left <= item.due}
        self.chosen &= in_time
        # Whatever their size, those that have come last: they can be in time.
        eligible = [
            demand
            for demand in large
            if demand.key in in_time and demand.key not in self.chosen
        ]
        eligible.sort(key=lambda demand: (-demand.arrived_at, demand.key))
        for demand in eligible:
            if self.credit <= 0.0:
                break
            self.credit -= demand.work_left
            self.chosen.add(demand.key)

    def _count(self, demands, now):
        """Count the jobs that have ended, and those that have become of no use."""
        open_keys = {demand.key for demand in demands}
        for key, limit in self.limit_by_key.items():
            is_missed = now > limit
            if key not in open_keys and key not in self.missed:
                self._average(not is_missed)
            elif is_missed and key not in self.missed:
                self.missed.add(key)
                self._average(False)
        self.missed &= open_keys

    def _average(self, is_served):
        self.served_share += MEAN_WEIGHT * (is_served - self.served_share)
