"""A process handles signals whichever thread receives them."""

import signal
import subprocess
import sys
import time

ATTEMPTS = 8
STOP_TIMEOUT_SECONDS = 2.0
PROGRAM = """
import threading, time
from bergamotshore.utils.services import run_services
stopping = threading.Event()
def serve():
    while not stopping.is_set():
        time.sleep(0.002)
print("ready", flush=True)
run_services("process", [serve] * 8, stopping, lambda: None)
"""

# The signal arrives while the main thread holds the lock of the event.
LOCKED_PROGRAM = """
import os, signal, threading
from bergamotshore.utils.services import run_services
class SignalledEvent(threading.Event):
    def is_set(self):
        with self._cond:
            os.kill(os.getpid(), signal.SIGTERM)
            return super().is_set()
    def wait(self, timeout=None):
        with self._cond:
            os.kill(os.getpid(), signal.SIGTERM)
        return super().wait(timeout)
finished = threading.Event()
run_services("process", [finished.wait], SignalledEvent(), finished.set)
"""


# Guards against a signal handler that waits for a lock which the interrupted thread
# holds.
def test_sigterm_while_the_main_thread_holds_the_lock_of_the_event_stops_the_process():
    process = subprocess.Popen([sys.executable, "-c", LOCKED_PROGRAM])
    try:
        assert process.wait(STOP_TIMEOUT_SECONDS) == 0
    finally:
        process.kill()
        process.wait()


def test_sigterm_right_after_sigcont_stops_the_process():
    """After a pause, a signal may reach a thread other than the main thread."""
    for _ in range(ATTEMPTS):
        process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, text=True
        )
        try:
            assert process.stdout.readline() == "ready\n"
            time.sleep(0.2)
            process.send_signal(signal.SIGSTOP)
            time.sleep(0.1)
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
            assert process.wait(STOP_TIMEOUT_SECONDS) == 0
        finally:
            process.kill()
            process.wait()
            process.stdout.close()
