"""Tests of what logs and timelines tell."""
