"""Concurrency limits and the other means of overload control, on virtual time."""
