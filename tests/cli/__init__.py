"""Tests of `ochrehoist/cli/`."""
