"""Build the one file that is shipped.

The file is a Python archive. Pure modules are imported from the archive; extension
modules are loaded from memory files, so that nothing is ever unpacked to a disk and no
process is started. The machine needs the C library and a Python of the same version.
"""

import argparse
import importlib.metadata
import io
import py_compile
import re
import sys
import tempfile
import zipfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SHEBANG = f"#!/usr/bin/env python{sys.version_info[0]}.{sys.version_info[1]}\n".encode()
EPOCH = (1980, 1, 1, 0, 0, 0)
SKIPPED_PARTS = {"__pycache__", "tests", "testing", "contrib"}
NOT_NEEDED = {"pbr", "setuptools"}
SUFFIXES = {".py", ".so"}


def list_distributions(name):
    """Return the names of a distribution and of all that it needs to run."""
    names = set()
    waiting = [name]
    while waiting:
        current = waiting.pop()
        if current in names or current in NOT_NEEDED:
            continue
        names.add(current)
        for requirement in importlib.metadata.requires(current) or []:
            if "extra ==" in requirement or ";" in requirement:
                continue
            waiting.append(re.match(r"[A-Za-z0-9._-]+", requirement)[0])
    return sorted(names)


def list_files(name):
    """Yield pairs of archive name and path of the modules of a distribution."""
    for file in importlib.metadata.files(name) or []:
        is_skipped = SKIPPED_PARTS & set(file.parts) or ".." in file.parts
        if file.suffix in SUFFIXES and not is_skipped:
            yield str(file), Path(file.locate())


def list_product_files():
    """Yield pairs of archive name and path of the product's own modules."""
    source = ROOT / "src"
    for path in sorted(source.rglob("*.py")):
        yield str(path.relative_to(source)), path


def build(target):
    """Write the archive.

    :param target: Path of the file.
    """
    entries = dict(list_product_files())
    for name in list_distributions("bergamotshore"):
        if name != "bergamotshore":
            entries.update(list_files(name))
    content = io.BytesIO()
    with zipfile.ZipFile(content, "w", zipfile.ZIP_DEFLATED) as archive:
        for name, path in sorted(entries.items()):
            add_module(archive, name, path)
        extensions = [name for name in sorted(entries) if name.endswith(".so")]
        add_file(archive, "extensions.txt", "\n".join(extensions).encode())
        add_module(archive, "__main__.py", ROOT / "tools" / "binary_main.py")
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(SHEBANG + content.getvalue())
    target.chmod(0o755)


def add_module(archive, name, path):
    """Add a module, compiled unless it is an extension, so that starts are quick."""
    if path.suffix != ".py":
        add_file(archive, name, path.read_bytes())
        return
    with tempfile.TemporaryDirectory() as folder:
        compiled = Path(folder) / "module.pyc"
        mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
        py_compile.compile(
            str(path),
            str(compiled),
            name,
            doraise=True,
            invalidation_mode=mode,
        )
        add_file(archive, name + "c", compiled.read_bytes())


def add_file(archive, name, content):
    """Add a file with a fixed date, so that equal sources give equal archives."""
    info = zipfile.ZipInfo(name, EPOCH)
    info.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(info, content)


def main():
    """Build the file named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("target", type=Path)
    options = parser.parse_args()
    build(options.target)
    print(f"{options.target}: {options.target.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
