"""The node role: runs requests and tasks on one VM and holds its lease."""
