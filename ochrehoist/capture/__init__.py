"""Records of the load that a worker took, and of how each request ended. Loaded where `[capture]` is set."""
