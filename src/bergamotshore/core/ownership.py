"""Assignment of jobs to entries by rendezvous hashing.

The assignment only avoids duplicate work. Correctness does not depend on it: entries
that disagree about it race for the conditional write of a row, and one of them loses.
"""

from zlib import crc32

# Taking the remainder by a prime breaks the regularity of CRC-32, which would
# otherwise favour some names.
PRIME = 65_521


def choose_owner(names, bucket):
    """Return the name of the entry that owns a bucket of jobs.

    :param names: Names of the entries presumed alive.
    :param bucket: Bucket of the job.
    """
    return max(names, key=lambda name: _weigh(name, bucket))


def _weigh(name, bucket):
    return (crc32(f"{name}|{bucket}".encode()) % PRIME, name)
