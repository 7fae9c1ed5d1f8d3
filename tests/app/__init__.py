"""Tests of `ochrehoist/app/`."""
