"""What a worker finds out by measuring itself, and the limits that follow: decisions without I/O."""
