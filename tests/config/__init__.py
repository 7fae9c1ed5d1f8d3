"""Tests of `ochrehoist/config/`."""
