"""The command line of bergamotshore."""

import sys

from bergamotshore.management.parser import run_command


def main():
    """Run the command line and exit with its code."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == "__main__":
    main()
