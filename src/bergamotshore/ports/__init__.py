"""Narrow typed interfaces to everything outside the decisions."""
