"""Keep the replicated state and decide replicas."""
