"""Tests of `ochrehoist/sites/`."""
