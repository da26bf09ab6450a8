"""Interface to the platform's object store."""

from typing import Protocol


class ObjectStore(Protocol):
    """Reads and writes whole objects."""

    def get(self, key):
        """Read an object.

        :returns: ``Result`` of the content as bytes.
        """

    def put(self, key, content):
        """Write an object, replacing any previous content.

        :returns: ``Result`` of None.
        """
