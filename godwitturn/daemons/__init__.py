"""The daemons: network, store and signal I/O around `godwitturn.core`."""
