"""Allocation of TCP ports that prevents collisions between concurrent test runs."""

import errno
import itertools
import socket
from contextlib import ExitStack

HOST = "127.0.0.1"
LOCK_PREFIX = "bergamotshore-ports"
# A site in a test needs about 20 ports, a full test run about 1,500.
BLOCK_PORTS = 50


class PortPool:
    """Allocate ports from a range, one block at a time.

    A process owns a block by a Unix socket with an abstract name, until ``close`` or
    its exit. Like ports, such names are common to a network namespace.
    The range must lie below the kernel's ephemeral ports, so that no outgoing
    connection can occupy one of its ports.

    :param ports: Range of ports to allocate from.
    :param lock_prefix: Begin of the names of the locks; pools with different prefixes
        do not see the locks of each other.
    """

    def __init__(self, ports, lock_prefix=LOCK_PREFIX):
        self._ports = ports
        self._lock_prefix = lock_prefix
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
        for first in range(self._ports.start, self._ports.stop, BLOCK_PORTS):
            if not self._try_lock(first):
                continue
            block = range(first, min(first + BLOCK_PORTS, self._ports.stop))
            self._owned_ports += block
            return block
        if not self._owned_ports:
            raise RuntimeError(f"other runs have locked all ports of {self._ports}")
        return itertools.cycle(self._owned_ports)

    def _try_lock(self, first):
        """Lock a block until ``close`` or exit; return whether it worked.

        :param first: First port of the block.
        """
        with ExitStack() as attempt:
            lock = attempt.enter_context(socket.socket(socket.AF_UNIX))
            try:
                lock.bind(f"\0{self._lock_prefix}-{first}")
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
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
