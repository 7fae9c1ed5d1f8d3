"""Tests of `ochrehoist/recovery/`."""
