"""Speed limits of the runs on one worker, kept until the worker has accepted them."""

import threading

from returns.result import Failure, Success

from bergamotshore.exceptions import WorkerFailure


class SpeedLimits:
    """Send the latest speed limit of each run to the worker.

    A limit may arrive together with the order to start its run, which begins at full
    speed, so it is sent as soon as the run is there. A limit that the worker did not
    accept is sent again while the run is listed. Calls for one run follow each other,
    so that an older limit never replaces a newer one.

    :param runner: ``Runner``.
    :param get_fence: Function that returns the fencing token for the next call.
    :param void_fence: Function that is called with the fencing token of a call that
        may still be carried out, and makes the worker reject it.
    :param registry: ``Registry``.
    :param log: ``EventLog``.
    """

    def __init__(self, runner, get_fence, void_fence, registry, log):
        self._runner = runner
        self._get_fence = get_fence
        self._void_fence = void_fence
        self._registry = registry
        self._log = log
        self._lock = threading.Lock()
        self._percent_by_key = {}
        self._keys_in_flight = set()

    def record(self, key, percent):
        """Record the limit of a run, to be sent by ``send``.

        :param key: Task and number of the run.
        :param percent: Allowed share of its full speed, 0 to 100.
        """
        with self._lock:
            self._percent_by_key[key] = percent

    def send(self, key):
        """Send the recorded limit of a run until the latest one is accepted."""
        with self._lock:
            if key in self._keys_in_flight:
                return
            self._keys_in_flight.add(key)
        try:
            while self._send_once(key):
                pass
        finally:
            with self._lock:
                self._keys_in_flight.discard(key)

    def _send_once(self, key):
        """Send the recorded limit; return whether a newer one has been recorded."""
        with self._lock:
            percent = self._percent_by_key.get(key)
        if percent is None:
            return False
        fence = self._get_fence()
        match self._runner.throttle(*key, percent, fence):
            case Success(_):
                return self._record_accepted(key, percent)
            case Failure(failure):
                self._registry.count("worker_call_failures_total", call="pace")
                self._log.write("pace-failed", key[0], why=str(failure))
                if isinstance(failure, WorkerFailure) and not failure.is_certain:
                    self._void_fence(fence)
        return False

    def _record_accepted(self, key, percent):
        with self._lock:
            if self._percent_by_key.get(key) != percent:
                return True
            del self._percent_by_key[key]
        return False

    def drop_obsolete(self, live_keys):
        """Drop the limits of runs that are over.

        :param live_keys: Keys of the runs that the worker lists or may have.
        """
        with self._lock:
            for key in [key for key in self._percent_by_key if key not in live_keys]:
                del self._percent_by_key[key]

    def list_unaccepted(self):
        """Return the keys of limits that are neither accepted nor being sent."""
        with self._lock:
            return [
                key for key in self._percent_by_key if key not in self._keys_in_flight
            ]
