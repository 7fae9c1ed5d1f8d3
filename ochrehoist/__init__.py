"""ochrehoist: admission control that runs inside each server of a fleet."""
