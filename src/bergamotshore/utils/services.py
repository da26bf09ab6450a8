"""Runs the service threads of a process until a signal stops it."""

import contextlib
import os
import select
import signal
import sys
from concurrent.futures import ThreadPoolExecutor, wait

from loguru import logger

THREAD_SWITCH_SECONDS = 0.0005
# Upper bound of the time until an event that other code sets is noticed, in seconds.
STOP_POLL_SECONDS = 0.2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
READ_BYTES = 64


class SignalReader:
    """Receives signals through a pipe, so that no handler runs code that takes a lock.

    Python runs a handler in the main thread, between two instructions of whatever that
    thread executes. A handler that takes a lock would wait for ever if the interrupted
    code holds it. So the handlers do nothing, and the interpreter writes the number of
    each signal to a pipe, whichever thread the kernel chose to receive it.

    Must be created in the main thread.

    :param signals: Signals to receive.
    """

    def __init__(self, signals):
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._reader, False)
        os.set_blocking(self._writer, False)
        signal.set_wakeup_fd(self._writer, warn_on_full_buffer=False)
        for number in signals:
            signal.signal(number, _ignore)

    def wait(self, timeout):
        """Return the numbers of the signals received, at the latest after a timeout.

        :param timeout: Longest wait, in seconds.
        """
        poll = select.poll()
        poll.register(self._reader, select.POLLIN)
        poll.poll(timeout * 1000)
        try:
            return set(os.read(self._reader, READ_BYTES))
        except BlockingIOError:
            return set()

    def wake(self):
        """End a ``wait``; may be called from any thread."""
        # A full pipe ends the wait as well.
        with contextlib.suppress(BlockingIOError):
            os.write(self._writer, b"\0")

    def close(self):
        """Stop receiving signals; they have no effect from then on."""
        signal.set_wakeup_fd(-1)
        os.close(self._reader)
        os.close(self._writer)


def _ignore(number, frame):
    """Handle a signal by doing nothing; the pipe reports it."""


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
    reload_signals = (signal.SIGHUP,) if reload is not None else ()
    reader = SignalReader((*STOP_SIGNALS, *reload_signals))
    with ThreadPoolExecutor(len(services), "service") as pool:
        futures = [pool.submit(service) for service in services]
        for future in futures:
            future.add_done_callback(lambda _: (stopping.set(), reader.wake()))
        logger.info("{} started", name)
        while not stopping.is_set():
            received = reader.wait(STOP_POLL_SECONDS)
            if received.intersection(STOP_SIGNALS):
                stopping.set()
            if received.intersection(reload_signals):
                reload()
        stop()
        wait(futures)
    reader.close()
    errors = [future.exception() for future in futures if future.exception()]
    for error in errors:
        logger.opt(exception=error).error(
            "a service thread of {} failed with an exception", name
        )
    logger.info("{} stopped", name)
    return not errors
