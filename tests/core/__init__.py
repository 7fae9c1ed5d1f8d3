"""Tests of `ochrehoist/core/`."""
