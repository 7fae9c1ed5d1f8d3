"""Tests of `benchmarks/`."""
