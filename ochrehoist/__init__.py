"""ochrehoist: admission control inside each server of a fleet."""
