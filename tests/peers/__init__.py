"""Tests of `ochrehoist/peers/`."""
