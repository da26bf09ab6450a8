"""Runs the service threads of a process until a signal stops it."""

import signal
import sys
from concurrent.futures import ThreadPoolExecutor, wait

from loguru import logger

THREAD_SWITCH_SECONDS = 0.0005
# Python runs signal handlers in the main thread, which does not wake up when the kernel
# delivers the signal to another thread, as it may after SIGSTOP and SIGCONT. The main
# thread therefore wakes up at this interval, in seconds.
SIGNAL_POLL_SECONDS = 0.2


def run_services(name, services, stopping, stop, reload=None):
    """Run services in threads until a signal arrives or one of them returns or fails.

    :param name: Name of the process.
    :param services: Functions that run until the process stops.
    :param stopping: ``threading.Event`` that is set to request the shutdown.
    :param stop: Called once to shut down gracefully; has to make the services return.
    :param reload: Called on SIGHUP, to reload the settings file.
    :returns: Whether all services returned without an exception.
    """
    sys.setswitchinterval(THREAD_SWITCH_SECONDS)
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGINT, lambda *_: stopping.set())
    if reload is not None:
        signal.signal(signal.SIGHUP, lambda *_: reload())
    with ThreadPoolExecutor(len(services), "service") as pool:
        futures = [pool.submit(service) for service in services]
        for future in futures:
            future.add_done_callback(lambda _: stopping.set())
        logger.info("{} started", name)
        while not stopping.wait(SIGNAL_POLL_SECONDS):
            pass
        stop()
        wait(futures)
    errors = [future.exception() for future in futures if future.exception()]
    for error in errors:
        logger.opt(exception=error).error(
            "a service thread of {} failed with an exception", name
        )
    logger.info("{} stopped", name)
    return not errors
