"""Benchmarks of the worker, run by `python -m benchmarks NAME`; docs/benchmarks.md lists them."""
