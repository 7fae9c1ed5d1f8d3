"""Cost and durability of the store of idempotent results."""
