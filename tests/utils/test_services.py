"""A process obeys signals whatever its threads do."""

import signal
import subprocess
import sys
import time

TRIES = 8
STOP_SECONDS = 2.0
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


def test_a_stop_asked_for_right_after_a_pause_is_obeyed():
    """The signal may reach another thread while the main one is still paused."""
    for _ in range(TRIES):
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
            assert process.wait(STOP_SECONDS) == 0
        finally:
            process.kill()
            process.wait()
            process.stdout.close()
