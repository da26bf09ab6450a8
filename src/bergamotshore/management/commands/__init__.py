"""Sub-commands, one module each."""
