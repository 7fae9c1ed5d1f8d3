"""The decisions: which requests run, wait or are rejected. Pure: no I/O, no clock, no threads."""
