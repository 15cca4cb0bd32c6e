"""The hemlockdockd daemon, which runs the services that its settings name."""
