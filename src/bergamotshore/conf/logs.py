"""Structured logs on the standard error stream."""

import sys

from loguru import logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} process={extra[process]} {message}"


def start_logs(settings):
    """Send log lines of a process to the standard error stream.

    :param settings: ``Settings``.
    """
    logger.remove()
    logger.configure(extra={"process": settings.name})
    logger.add(sys.stderr, level=settings.log_level, format=FORMAT, diagnose=False)
