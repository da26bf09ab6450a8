"""Allocation of TCP ports that prevents collisions between concurrent test runs."""

import fcntl
import itertools
import socket
import tempfile
from contextlib import ExitStack
from pathlib import Path

HOST = "127.0.0.1"
# A site in a test needs about 20 ports, a full test run about 1,500.
BLOCK_PORTS = 50


class PortPool:
    """Allocate ports from a range, one block at a time.

    A process owns a block by a lock on the block's file, until ``close`` or its exit.
    The range must lie below the kernel's ephemeral ports, so that no outgoing
    connection can occupy one of its ports.

    :param ports: Range of ports to allocate from.
    :param folder: Parent folder of the lock files; None for the temporary folder.
    """

    def __init__(self, ports, folder=None):
        self._ports = ports
        self._folder = Path(folder or tempfile.gettempdir()) / "bergamotshore-ports"
        self._locks = ExitStack()
        self._owned_ports = []
        self._unused = iter(())

    def allocate(self, count):
        """Return free ports that no other run uses."""
        free = []
        while len(free) < count:
            port = self._get_next()
            if is_free(port):
                free.append(port)
        return free

    def _get_next(self):
        port = next(self._unused, None)
        while port is None:
            self._unused = iter(self._lock_block())
            port = next(self._unused, None)
        return port

    def _lock_block(self):
        """Lock and return another block; cycle through owned ports if none is left."""
        self._folder.mkdir(exist_ok=True)
        for first in range(self._ports.start, self._ports.stop, BLOCK_PORTS):
            if not self._try_lock(self._folder / str(first)):
                continue
            block = range(first, min(first + BLOCK_PORTS, self._ports.stop))
            self._owned_ports += block
            return block
        if not self._owned_ports:
            raise RuntimeError(f"other runs have locked all ports of {self._ports}")
        return itertools.cycle(self._owned_ports)

    def _try_lock(self, path):
        """Lock a block's file until ``close`` or exit; return whether it worked.

        The lock belongs to the open file, so a second attempt of this process fails.
        """
        with ExitStack() as attempt:
            lock = attempt.enter_context(path.open("w"))
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                return False
            self._locks.push(attempt.pop_all())
        return True

    def close(self):
        """Release all blocks."""
        self._locks.close()
        self._owned_ports, self._unused = [], iter(())


def is_free(port):
    """Return whether a port can be listened on."""
    try:
        socket.create_server((HOST, port)).close()
    except OSError:
        return False
    return True
