"""What survives the process: filings, their results and what was learned, in an embedded store on disk."""
