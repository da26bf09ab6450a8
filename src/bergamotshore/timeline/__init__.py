"""Timeline of events in causal order, and explanations from log lines."""
