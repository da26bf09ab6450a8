"""Counters and histograms in the text exposition format."""
