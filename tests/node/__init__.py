"""Tests of the node role."""
