"""Configuration: read, checked and given defaults here, and nowhere else."""
