"""Tests of explanations from log lines."""
