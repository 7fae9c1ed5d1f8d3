"""Tests of `ochrehoist/store/`."""
