"""Parts that the cases of the review share."""
