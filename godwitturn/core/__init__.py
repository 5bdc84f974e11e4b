"""Decision logic of the load balancer, without I/O."""
