"""Administration API over HTTP and JSON."""
