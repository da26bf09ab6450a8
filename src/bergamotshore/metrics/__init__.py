"""Metrics in the Prometheus text exposition format."""
