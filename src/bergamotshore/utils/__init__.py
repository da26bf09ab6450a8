"""Helpers that several packages use."""
