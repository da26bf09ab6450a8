"""The msgpack stream between entry and node processes."""
