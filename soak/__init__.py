"""Randomized soak test of the real processes on one machine, with fault injection."""
