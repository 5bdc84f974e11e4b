"""Writers of numbered log events."""
