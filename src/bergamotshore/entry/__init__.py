"""The entry role: serves callers and operators, routes requests, schedules jobs."""
