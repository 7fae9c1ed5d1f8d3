"""Admission decisions: which requests run, wait or are rejected.

The package is pure: it does no I/O, reads no clock and starts no threads.
"""
