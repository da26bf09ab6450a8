"""Settings of the C library's memory allocator."""

import ctypes

# Parameters of mallopt in malloc.h.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Blocks of this size and above are mapped one by one. Buffers of a read are smaller.
MAPPED_BLOCK_BYTES = 512 * 1024
# Free memory at the end of a heap that is kept.
KEPT_BYTES = 2 * 1024 * 1024


def return_large_blocks():
    """Return large blocks to the system as soon as they are freed.

    By default the allocator raises the limit to the largest block freed so far. Large
    blocks then come from the heap of the thread, and each thread keeps what its largest
    request took.

    :returns: Whether the C library has such settings.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return False
    # Fixing one turns off the default of the other, too.
    return bool(
        mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
        and mallopt(M_TRIM_THRESHOLD, KEPT_BYTES)
    )
