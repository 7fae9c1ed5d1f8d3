"""Stand-ins for what a worker talks to: its kernel, its callers, the servers behind it, its disk."""
