"""Calls made in the background, whose outcome must become known in any case."""

from returns.result import Failure

from bergamotshore.exceptions import UnexpectedFailure
from bergamotshore.utils.eventlog import describe_error


def run_background_call(function, subject, log):
    """Run a call and return its ``Result``.

    Its caller waits for the outcome, so an unexpected exception, which an executor
    would keep to itself, is a failure as well.

    :param function: Function without parameters that returns a ``Result``.
    :param subject: What the call is about, for the log.
    :param log: ``EventLog``.
    """
    try:
        return function()
    except Exception as error:
        log.write("background-error", subject, why=describe_error(error))
        return Failure(UnexpectedFailure(describe_error(error)))
