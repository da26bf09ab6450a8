"""Start of the one file: load extension modules of the archive from memory."""

import importlib.machinery
import importlib.util
import os
import sys

INDEX = "extensions.txt"


class MemoryFinder:
    """Find extension modules in the archive and load them from memory files.

    :param archive: Loader of the archive.
    """

    def __init__(self, archive):
        self._archive = archive
        members = archive.get_data(INDEX).decode().splitlines()
        self._member_by_module = {
            member.split(".", 1)[0].replace("/", "."): member for member in members
        }

    def find_spec(self, name, path=None, target=None):
        """Return the specification of an extension module of the archive."""
        member = self._member_by_module.get(name)
        if member is None:
            return None
        # The descriptor stays open: the loader knows libraries by their path.
        descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
        with open(descriptor, "wb", closefd=False) as file:
            file.write(self._archive.get_data(member))
        origin = f"/proc/self/fd/{descriptor}"
        loader = importlib.machinery.ExtensionFileLoader(name, origin)
        return importlib.util.spec_from_file_location(name, origin, loader=loader)


sys.dont_write_bytecode = True
sys.meta_path.insert(0, MemoryFinder(__loader__))

from bergamotshore.__main__ import main  # noqa: E402

main()
