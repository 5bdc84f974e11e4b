"""Stand-ins for external systems, and models that tests compare with."""
