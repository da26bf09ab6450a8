"""The entry role: callers, operators, routing and scheduling."""
