"""Durable state in an embedded database: filings, their results and learned admission state."""
