"""Cost of loading a configuration, and of replacing it while requests are served."""
