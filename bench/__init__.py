"""Benchmarks: ratios within one run, medians over several; never tests."""
