"""Running the long-lived services of a process until it is told to stop."""

import signal
import sys
from concurrent.futures import ThreadPoolExecutor, wait

from loguru import logger

SWITCH_SECONDS = 0.0005
# Handlers of signals run in the main thread, and a signal that the kernel gives to
# another thread does not wake it: after a pause that happens. In seconds.
SIGNAL_SECONDS = 0.2


def run_services(name, services, stopping, stop, reload=None):
    """Run services in threads until a signal, or the failure of one, asks for the stop.

    :param name: Name of the process.
    :param services: Functions that run until the process stops.
    :param stopping: Event that asks for the stop.
    :param stop: Called once to stop gracefully; makes the services return.
    :param reload: Called when the settings file may have changed.
    :returns: True when no service failed.
    """
    sys.setswitchinterval(SWITCH_SECONDS)
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGINT, lambda *_: stopping.set())
    if reload is not None:
        signal.signal(signal.SIGHUP, lambda *_: reload())
    with ThreadPoolExecutor(len(services), "service") as pool:
        futures = [pool.submit(service) for service in services]
        for future in futures:
            future.add_done_callback(lambda _: stopping.set())
        logger.info("{} started", name)
        while not stopping.wait(SIGNAL_SECONDS):
            pass
        stop()
        wait(futures)
    errors = [future.exception() for future in futures if future.exception()]
    for error in errors:
        logger.opt(exception=error).error("a service of {} failed", name)
    logger.info("{} stopped", name)
    return not errors
