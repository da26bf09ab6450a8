"""Interfaces between the scheduling logic and the outside world."""
