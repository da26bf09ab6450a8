"""Memory and processor usage of this process."""

import os
import resource

KIB = 1024


def read_resident_bytes():
    """Return the resident memory of this process, in bytes."""
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def read_processor_seconds():
    """Return the user and system processor time of this process, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
