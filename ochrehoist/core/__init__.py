"""The core: requests, idempotent runs, results and the task that owns the admission controller.

It is independent of the wire protocols and does no I/O.
"""
