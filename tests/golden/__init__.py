"""Data that release 000e6de wrote, compared with what this tree reads and writes."""
