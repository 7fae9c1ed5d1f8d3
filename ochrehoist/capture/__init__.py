"""Captures: records of the load that a worker took, and of how each request ended.

Loaded only where the table `[capture]` is set.
"""
