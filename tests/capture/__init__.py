"""Tests of `ochrehoist/capture/`."""
