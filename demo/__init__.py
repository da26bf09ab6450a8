"""A site on loopback: real processes, stand-ins, load, and counts by the stand-ins."""
