"""Tests of `ochrehoist/overload/`."""
