"""A loopback proxy that delays, silences, cuts one way or resets connections."""

import contextlib
import random
import socket
import threading
import time

HOST = "127.0.0.1"
READ_BYTES = 65536
POLL_SECONDS = 0.1
CONNECT_SECONDS = 2.0
MODES = ("pass", "delay", "silent", "one-way", "reset")


class FaultProxy:
    """Forward connections to one target, as the present mode has it.

    Modes: 'pass'; 'delay' holds each piece for a while; 'silent' drops what comes from
    either side; 'one-way' drops what comes from the target; 'reset' ends connections
    and accepts none. Connections that lost a byte stay silent for good.

    :param target: Pair of host and port.
    :param seed: Seed of the delays.
    """

    def __init__(self, target, seed):
        self.target = target
        self.mode = "pass"
        self.delay = 0.3
        self._random = random.Random(seed)
        self._listener = socket.create_server((HOST, 0), backlog=64)
        self._sockets = set()
        self._lock = threading.Lock()
        self._is_closed = False
        _start(self._accept)

    @property
    def address(self):
        """Return where to connect, as host:port."""
        return f"{HOST}:{self._listener.getsockname()[1]}"

    def set_mode(self, mode):
        """Change what happens to connections from now on."""
        self.mode = mode
        if mode == "reset":
            self._close_all()

    def close(self):
        """End everything."""
        self._is_closed = True
        self._listener.close()
        self._close_all()

    def _close_all(self):
        with self._lock:
            sockets, self._sockets = self._sockets, set()
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self):
        while not self._is_closed:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self.mode == "reset":
                near.close()
                continue
            _start(self._connect, near)

    def _connect(self, near):
        try:
            far = socket.create_connection(self.target, timeout=CONNECT_SECONDS)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        with self._lock:
            self._sockets |= {near, far}
        _start(self._copy, near, far, ("silent",))
        _start(self._copy, far, near, ("silent", "one-way"))

    def _copy(self, source, target, dropping):
        has_lost = False
        with contextlib.suppress(OSError):
            while content := source.recv(READ_BYTES):
                has_lost = has_lost or self.mode in dropping
                if has_lost:
                    continue
                if self.mode == "delay":
                    time.sleep(self._random.uniform(0.0, self.delay))
                target.sendall(content)
        self._end(source, target)

    def _end(self, *sockets):
        with self._lock:
            self._sockets -= set(sockets)
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def _start(function, *arguments):
    threading.Thread(target=function, args=arguments, daemon=True).start()
