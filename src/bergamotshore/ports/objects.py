"""The port of the platform's object store."""

from typing import Protocol


class ObjectStore(Protocol):
    """Read and write whole objects."""

    def get(self, key):
        """Read an object.

        :returns: ``Result`` of the bytes.
        """

    def put(self, key, content):
        """Write an object whole.

        :returns: ``Result`` of None.
        """
