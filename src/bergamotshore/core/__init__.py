"""Scheduling logic: pure functions and state machines without I/O or clocks."""
