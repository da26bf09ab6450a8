"""Containment of unexpected errors within one pass or one report.

An error that one job, worker or row causes leaves out that one; the rest goes on. An
error within a change of the cluster state is never contained, because nobody knows
which part of the change was made.
"""

import functools
from dataclasses import dataclass, field

from bergamotshore.exceptions import StateError


@dataclass(frozen=True, slots=True)
class ContainedError:
    """An unexpected error and what was left out because of it.

    :param part: Part of the work that raised it.
    :param subject: Key of the job, or name of the node, that was left out.
    :param error: The exception.
    """

    part: str
    subject: str
    error: Exception


@dataclass(slots=True)
class ErrorCollector:
    """Collects the unexpected errors of one pass or one report.

    :param is_strict: Whether every error is raised again, as in tests.
    :param errors: List of ``ContainedError``.
    :param left_out: Their subjects.
    """

    is_strict: bool = False
    errors: list = field(default_factory=list)
    left_out: set = field(default_factory=set)

    def check(self, error):
        """Raise an error again that must not be contained."""
        if self.is_strict or isinstance(error, StateError):
            raise error

    def record(self, part, subject, error):
        """Record an error and go on without its subject.

        :raises StateError: if the error left the cluster state half changed.
        """
        self.check(error)
        self.errors.append(ContainedError(part, subject, error))
        self.left_out.add(subject)

    def containing(self, part, subject):
        """Return a context manager that records the errors raised within."""
        return _Containment(self, part, subject)


class _Containment:
    __slots__ = ("_collector", "_part", "_subject")

    def __init__(self, collector, part, subject):
        self._collector, self._part, self._subject = collector, part, subject

    def __enter__(self):
        return None

    def __exit__(self, error_type, error, traceback):
        if not isinstance(error, Exception):
            return False
        self._collector.record(self._part, self._subject, error)
        return True


def changes_state(method):
    """Decorate a method that changes the cluster state in more than one place.

    An error in it is raised as ``StateError``. What may be wrong with its arguments
    has to be checked before the call.
    """

    @functools.wraps(method)
    def change(*arguments, **options):
        try:
            return method(*arguments, **options)
        except StateError:
            raise
        except Exception as error:
            raise StateError(f"{method.__name__}: {error!r}") from error

    return change
