"""The core: requests, keys, results and the task that owns the decision module. It knows no wire."""
