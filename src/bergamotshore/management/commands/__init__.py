"""Sub-commands of the command line, one module each."""
