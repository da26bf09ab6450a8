"""A randomized soak of the real programs on one machine, with faults from outside."""
