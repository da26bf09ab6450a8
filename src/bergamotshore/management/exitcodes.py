"""Exit codes of the sub-commands."""

DONE = 0
FAILED = 1
USAGE = 2
PROBLEMS = 3
CONFLICT = 4
UNREACHABLE = 5
DIFFERENT = 6
