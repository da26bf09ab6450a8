"""Entry point of ``python -m bergamotshore``."""

import sys

from bergamotshore.management.parser import run_command


def main():
    """Run the sub-command of the command line and exit with its exit code."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    main()
