"""Captures: records of the requests that a worker received, with their outcomes.

The package is imported only if the table `[capture]` is configured.
"""
