"""State of the tasks of one step or occurrence, in memory that follows what happened.

A job may have a million tasks, and most of them wait or are done. A task takes an
object of its own only from its first claim until it is done and has no run left; then
one bit is kept of it.
"""

from dataclasses import dataclass, field
from heapq import merge
from itertools import islice
from operator import itemgetter


@dataclass(slots=True)
class Task:
    """State of one task.

    :param is_done: Whether a run has ended with the outcome done.
    :param failures: Number of failed runs.
    :param last_run: Highest run number so far.
    :param checkpoint: Newest checkpoint; empty when there is none.
    :param runs: List of ``Run`` that may be active.
    :param failed_run: Number of the latest run of its gang that was counted as failed;
        0 for tasks outside gangs.
    :param crashes: Number of crashes of workers that one of its runs may have caused.
    :param unstarted_runs: Number of runs that certainly never began, as far as this
        term knows.
    """

    is_done: bool = False
    failures: int = 0
    last_run: int = 0
    checkpoint: str = ""
    runs: list = field(default_factory=list)
    failed_run: int = 0
    crashes: int = 0
    unstarted_runs: int = 0


@dataclass(frozen=True, slots=True)
class SharedTask:
    """State that many tasks have in common; it can't be changed, see ``Task``."""

    is_done: bool
    failures: int = 0
    last_run: int = 0
    checkpoint: str = ""
    runs: tuple = ()
    failed_run: int = 0
    crashes: int = 0
    unstarted_runs: int = 0


UNTOUCHED = SharedTask(is_done=False)
DONE = SharedTask(is_done=True)


class BitSet:
    """Set of small numbers, with one bit for each up to the largest."""

    __slots__ = ("_bits", "_count")

    def __init__(self):
        self._bits = bytearray()
        self._count = 0

    def __len__(self):
        return self._count

    def __contains__(self, number):
        index = number >> 3
        return index < len(self._bits) and bool(self._bits[index] >> (number & 7) & 1)

    def add(self, number):
        """Add a number."""
        if number in self:
            return
        index = number >> 3
        if index >= len(self._bits):
            self._bits.extend(bytes(index + 1 - len(self._bits)))
        self._bits[index] |= 1 << (number & 7)
        self._count += 1

    def fill(self, end):
        """Add all numbers below one."""
        self._bits = bytearray(b"\xff" * (end >> 3))
        if end & 7:
            self._bits.append((1 << (end & 7)) - 1)
        self._count = end

    def discard(self, number):
        """Remove a number if it is there."""
        if number in self:
            self._bits[number >> 3] &= ~(1 << (number & 7)) & 0xFF
            self._count -= 1


class SparseItems:
    """Numbered items, of which those that something happened to have a value.

    An item is untouched first. Its value is stored when it is touched, and replaced by
    one bit when it is settled.

    :param end: One more than the number of the last item.
    """

    __slots__ = ("_first_untouched", "_settled", "_start", "end", "value_by_number")

    def __init__(self, end):
        self.end = end
        self.value_by_number = {}
        self._settled = BitSet()
        self._start = 0
        # No item below it is untouched.
        self._first_untouched = 0

    @property
    def start(self):
        """Return the number of the first item that wasn't removed."""
        return self._start

    @property
    def untouched(self):
        """Return the number of items that are untouched."""
        return self.end - self._start - len(self.value_by_number) - len(self._settled)

    def is_settled(self, number):
        """Return whether an item is settled."""
        return number in self._settled

    def is_untouched(self, number):
        """Return whether nothing has happened to an item yet."""
        return number not in self.value_by_number and number not in self._settled

    def store(self, number, value):
        """Store the value of an item, which is settled no more."""
        self._settled.discard(number)
        self.value_by_number[number] = value

    def settle(self, number):
        """Replace the value of an item by one bit."""
        self.value_by_number.pop(number, None)
        self._settled.add(number)

    def settle_untouched(self):
        """Settle all items without a value."""
        self._settled.fill(self.end)
        for number in self.value_by_number:
            self._settled.discard(number)

    @property
    def has_settled(self):
        """Return whether any item is settled."""
        return len(self._settled) > 0

    def remove_first(self):
        """Remove the first item for good."""
        self.value_by_number.pop(self._start, None)
        self._settled.discard(self._start)
        self._start += 1
        self._first_untouched = max(self._first_untouched, self._start)

    def skip_to(self, start):
        """Remove all items before one, in a collection that is still empty."""
        self._start = self._first_untouched = start
        self.end = max(self.end, start)

    def list_stored(self):
        """Return pairs of number and value of the items that have one, in order."""
        return sorted(self.value_by_number.items(), key=itemgetter(0))

    def iterate_untouched(self):
        """Yield the numbers of untouched items in order.

        The items may be touched meanwhile.
        """
        while self._first_untouched < self.end and self.untouched:
            if self.is_untouched(self._first_untouched):
                break
            self._first_untouched += 1
        number = self._first_untouched
        while number < self.end and self.untouched:
            if self.is_untouched(number):
                yield number
            number += 1


class BlankTasks:
    """Tasks of a step that nothing has happened to; they are only read.

    It has what reads a ``StepTasks``.

    :param count: Number of tasks.
    """

    __slots__ = ("count",)
    done = 0
    is_done = False
    has_waiting = True

    def __init__(self, count):
        self.count = count

    @property
    def left(self):
        """Return the number of tasks that are not done."""
        return self.count

    @property
    def untouched(self):
        """Return the number of tasks that were never claimed."""
        return self.count

    def get(self, index):
        """Return a task, or None if there is none of this index."""
        return UNTOUCHED if 0 <= index < self.count else None

    def count_waiting(self):
        """Return the number of unfinished tasks without a run."""
        return self.count

    @staticmethod
    def list_touched():
        """Return no pair: no task has a state of its own."""
        return []

    @staticmethod
    def iterate_touched():
        """Return an iterator over no task."""
        return iter(())

    @staticmethod
    def list_touched_waiting():
        """Return no index: no task was claimed before."""
        return []

    def list_sample(self, untouched):
        """Return the indexes of some tasks."""
        return list(range(min(self.count, untouched)))

    def iterate_waiting(self, touched=None, key=None):
        """Return an iterator over the indexes of all tasks."""
        return iter(range(self.count))


class StepTasks:
    """Tasks of one step in one occurrence of a job.

    :param count: Number of tasks.
    """

    __slots__ = ("_items", "done")

    def __init__(self, count):
        self._items = SparseItems(count)
        self.done = 0

    @property
    def count(self):
        """Return the number of tasks."""
        return self._items.end

    @property
    def left(self):
        """Return the number of tasks that are not done."""
        return self._items.end - self.done

    @property
    def untouched(self):
        """Return the number of tasks that were never claimed."""
        return self._items.untouched

    @property
    def is_done(self):
        """Return whether all tasks are done."""
        return self.done == self._items.end

    def get(self, index):
        """Return a task to be read, or None if there is none of this index."""
        task = self._items.value_by_number.get(index)
        if task is not None:
            return task
        if not 0 <= index < self._items.end:
            return None
        return DONE if self._items.is_settled(index) else UNTOUCHED

    def touch(self, index):
        """Return a task to be changed, or None if there is none of this index."""
        match self.get(index):
            case SharedTask(is_done=is_done):
                task = Task(is_done)
                self._items.store(index, task)
                return task
            case task:
                return task

    def replace(self, index, task):
        """Replace the state of a task."""
        if task == Task() and self._items.is_untouched(index):
            return
        self.done += task.is_done - self.get(index).is_done
        self._items.store(index, task)
        self.settle(index)

    def settle(self, index):
        """Keep no more of a task than that it is done, if no run of it is left."""
        task = self._items.value_by_number.get(index)
        if task is not None and task.is_done and not task.runs:
            self._items.settle(index)

    def mark_done(self, index):
        """Mark a task as done."""
        task = self.touch(index)
        if not task.is_done:
            task.is_done = True
            self.done += 1
        self.settle(index)

    def mark_all_done(self):
        """Mark all tasks as done."""
        for index, _ in self.list_touched():
            self.mark_done(index)
        self._items.settle_untouched()
        self.done = self._items.end

    def list_touched(self):
        """Return pairs of index and ``Task`` of those with a state of their own."""
        return self._items.list_stored()

    def iterate_touched(self):
        """Return an iterator over the ``Task`` objects, in no order."""
        return iter(self._items.value_by_number.values())

    @property
    def has_waiting(self):
        """Return whether any task is unfinished and has no run."""
        return self.untouched > 0 or any(
            not task.is_done and not task.runs for task in self.iterate_touched()
        )

    def count_waiting(self):
        """Return the number of unfinished tasks without a run."""
        return self.untouched + sum(
            not task.is_done and not task.runs for task in self.iterate_touched()
        )

    def list_sample(self, untouched):
        """Return the indexes of all tasks with a state, and of some others.

        :param untouched: Number of the others, at most.
        """
        others = islice(self._items.iterate_untouched(), untouched)
        return sorted([*self._items.value_by_number, *others])

    def list_touched_waiting(self):
        """Return the indexes of those waiting tasks that were claimed before."""
        return [
            index
            for index, task in self.list_touched()
            if not task.is_done and not task.runs
        ]

    def iterate_waiting(self, touched=None, key=None):
        """Yield the indexes of the unfinished tasks without a run.

        They are listed no further than asked for, and may be claimed meanwhile.

        :param touched: Indexes of those that were claimed before, in their order.
        :param key: Sort key of an index; None for the order of the indexes.
        """
        touched = self.list_touched_waiting() if touched is None else touched
        return merge(touched, self._items.iterate_untouched(), key=key)
