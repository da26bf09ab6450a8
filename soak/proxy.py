"""Loopback TCP proxy that delays, drops, partitions one way or resets connections."""

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
    """Forward connections to one target, subject to the current fault mode.

    Modes: 'pass'; 'delay' delays each chunk; 'silent' drops data in both directions;
    'one-way' drops data from the target; 'reset' closes connections and refuses new
    ones. A direction that dropped data stays silent for good.

    :param target: Host and port to forward to.
    :param seed: Seed of the delays.
    :param port: Port to listen on.
    """

    def __init__(self, target, seed, port):
        self.target = target
        self.port = port
        self.mode = "pass"
        self.delay = 0.3
        self._random = random.Random(seed)
        self._sockets = set()
        self._silenced_sockets = set()
        self._lock = threading.Lock()
        self._listener = None
        self._listen()

    @property
    def address(self):
        """Return the address to connect to, as host:port."""
        return f"{HOST}:{self.port}"

    @property
    def is_faulty(self):
        """Return whether a fault mode is set."""
        return self.mode != MODES[0]

    def set_mode(self, mode):
        """Set the fault mode of all connections."""
        self.mode = mode
        if mode == "reset":
            self.close_connections()

    def silence_connections(self):
        """Drop what is sent on the open connections from now on, without a reset."""
        with self._lock:
            self._silenced_sockets |= self._sockets

    def redirect(self, target):
        """Forward new connections to another target, and close all connections."""
        self.target = target
        self.close_connections()
        if self._listener is None:
            self._listen()

    def close(self):
        """Close all connections and refuse new ones, until ``redirect``."""
        listener, self._listener = self._listener, None
        if listener is not None:
            # Closing alone would not wake the thread that accepts connections.
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        self.close_connections()

    def _listen(self):
        self._listener = socket.create_server((HOST, self.port), backlog=64)
        _start(self._accept, self._listener)

    def close_connections(self):
        """Close all connections."""
        with self._lock:
            sockets, self._sockets = self._sockets, set()
            self._silenced_sockets -= sockets
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self, listener):
        while True:
            try:
                client_socket, _ = listener.accept()
            except OSError:
                return
            if self.mode == "reset":
                client_socket.close()
                continue
            _start(self._connect, client_socket)

    def _connect(self, client_socket):
        try:
            target_socket = socket.create_connection(
                self.target, timeout=CONNECT_SECONDS
            )
        except OSError:
            client_socket.close()
            return
        target_socket.settimeout(None)
        with self._lock:
            self._sockets |= {client_socket, target_socket}
        _start(self._copy, client_socket, target_socket, ("silent",))
        _start(self._copy, target_socket, client_socket, ("silent", "one-way"))

    def _copy(self, source, target, dropping_modes):
        has_dropped_data = False
        with contextlib.suppress(OSError):
            while content := source.recv(READ_BYTES):
                is_silent = self.mode in dropping_modes
                is_silenced = source in self._silenced_sockets
                has_dropped_data = has_dropped_data or is_silent or is_silenced
                if has_dropped_data:
                    continue
                if self.mode == "delay":
                    time.sleep(self._random.uniform(0.0, self.delay))
                target.sendall(content)
        self._close_pair(source, target)

    def _close_pair(self, *sockets):
        with self._lock:
            self._sockets -= set(sockets)
            self._silenced_sockets -= set(sockets)
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def _start(function, *arguments):
    threading.Thread(target=function, args=arguments, daemon=True).start()
