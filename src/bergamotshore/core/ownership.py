"""Shares of jobs among entries by rendezvous hashing.

Sharing only saves work: who is wrong about it loses a race for a row, nothing else.
"""

from zlib import crc32

# The remainder breaks the regularity of the checksum, which would favour some names.
PRIME = 65_521


def choose_owner(names, bucket):
    """Return the entry that looks after a bucket of jobs.

    :param names: Names of the entries that are thought to live.
    :param bucket: Bucket of the job.
    """
    return max(names, key=lambda name: _weigh(name, bucket))


def _weigh(name, bucket):
    return (crc32(f"{name}|{bucket}".encode()) % PRIME, name)
