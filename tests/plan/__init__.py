"""Tests of `ochrehoist/plan/`."""
