"""Sockets: the scheduler, buffered streams, fronts, executors and signals."""
