"""Stand-in for the store, with the interface of etcd's v3 JSON gateway."""
