"""Fleet coordination: membership, budget leases, replicated counters and outlier detection. No I/O."""
