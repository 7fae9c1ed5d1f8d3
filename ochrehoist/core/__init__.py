"""The core: requests, idempotent runs, results and the task that owns the admission controller.

It knows no wire and does no I/O.
"""
