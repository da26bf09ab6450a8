"""Implementations of the ports over HTTP."""
