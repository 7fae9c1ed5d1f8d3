"""What several benchmarks share: revisions to compare, processes, samples, workers and their clients."""
