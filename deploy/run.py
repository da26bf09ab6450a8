"""Run the command line from a checkout, without an installation of the package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from bergamotshore.__main__ import main  # noqa: E402

if __name__ == "__main__":
    main()
