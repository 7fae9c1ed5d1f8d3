"""Cost of requests on the path through the fronts."""
