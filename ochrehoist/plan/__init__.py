"""What a fleet of workers can carry: a tool. The worker imports nothing of it."""
