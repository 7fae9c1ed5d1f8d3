"""Network I/O: the event loop, buffered streams, protocol fronts, executors, and links to other processes."""
