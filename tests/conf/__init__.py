"""Tests of settings and documents."""
