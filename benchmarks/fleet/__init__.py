"""Fleets: peers, sites, witnesses, and the replacement of an earlier release."""
