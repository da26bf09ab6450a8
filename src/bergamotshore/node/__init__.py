"""The node role: authority over one VM."""
