"""Typed events with causal order."""
