"""Calls in the background, of which nobody sees an exception."""

from returns.result import Failure

from bergamotshore.exceptions import UnexpectedFailure
from bergamotshore.utils.eventlog import describe_error


def call_safely(function, *arguments):
    """Call a function that returns a ``Result``; an exception becomes a failure of it.

    An executor keeps an exception in a future that nobody reads, and what waits for the
    result would wait for ever.
    """
    try:
        return function(*arguments)
    except Exception as error:
        return Failure(UnexpectedFailure(describe_error(error)))
