"""Configuration of the log output of a process."""

import sys

from loguru import logger

from bergamotshore.utils.eventlog import start_line_writer

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} process={extra[process]} {message}"

_SINKS = [sys.stderr]


def configure_logging(settings):
    """Send the log lines of the process to standard error.

    In site mode (with the setting ``site``) they go to standard output instead, through
    a writer that never blocks the caller.

    :param settings: ``Settings``.
    """
    _SINKS[:] = [sys.stderr if settings.site is None else start_line_writer().write]
    logger.configure(extra={"process": settings.name})
    set_log_level(settings)


def set_log_level(settings):
    """Apply the log level of the settings."""
    logger.remove()
    logger.add(_SINKS[0], level=settings.log_level, format=FORMAT, diagnose=False)
