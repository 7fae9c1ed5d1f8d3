"""Tests of `ochrehoist/lab/`."""
