"""Load, validate and document the settings of a process."""
