"""Tests of `ochrehoist/net/`."""
