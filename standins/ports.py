"""Ports for the processes of a site, never the same for two runs at the same time."""

import fcntl
import itertools
import socket
import tempfile
from contextlib import ExitStack
from pathlib import Path

HOST = "127.0.0.1"
# A site of a test takes about 20 ports, a whole run of the tests some 1,500.
BLOCK_PORTS = 50


class PortPool:
    """Give out ports of a range, block by block.

    A block belongs to one process until that ends: it holds a lock on the block's file.
    The range lies below that from which the kernel takes ports for connections, so that
    no connection made meanwhile can hold one.

    :param ports: Range to take from.
    :param folder: Where the files are; None for the folder of temporary files.
    """

    def __init__(self, ports, folder=None):
        self._ports = ports
        self._folder = Path(folder or tempfile.gettempdir()) / "bergamotshore-ports"
        self._locks = ExitStack()
        self._own = []
        self._unused = iter(())

    def allocate(self, count):
        """Return ports that are free and that no other run uses."""
        free = []
        while len(free) < count:
            port = self._next()
            if is_free(port):
                free.append(port)
        return free

    def _next(self):
        port = next(self._unused, None)
        while port is None:
            self._unused = iter(self._lock_block())
            port = next(self._unused, None)
        return port

    def _lock_block(self):
        """Return the ports of another block; the own ones again when none is left."""
        self._folder.mkdir(exist_ok=True)
        for first in range(self._ports.start, self._ports.stop, BLOCK_PORTS):
            if not self._try_lock(self._folder / str(first)):
                continue
            block = range(first, min(first + BLOCK_PORTS, self._ports.stop))
            self._own += block
            return block
        if not self._own:
            raise RuntimeError(f"other runs hold all ports of {self._ports}")
        return itertools.cycle(self._own)

    def _try_lock(self, path):
        """Lock the file of a block until ``close`` or the end of the process.

        A second lock of this process fails as well: it is another open file.
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
        """Give all blocks back."""
        self._locks.close()
        self._own, self._unused = [], iter(())


def is_free(port):
    """Tell whether a port can be listened on."""
    try:
        socket.create_server((HOST, port)).close()
    except OSError:
        return False
    return True
