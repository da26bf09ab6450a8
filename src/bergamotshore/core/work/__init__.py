"""Scheduling of submitted jobs: their steps and tasks, placement, and running work."""
