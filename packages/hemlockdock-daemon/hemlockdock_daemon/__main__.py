"""Run ``hemlockdockd`` as ``python -m hemlockdock_daemon``."""

from hemlockdock_daemon.main import main

if __name__ == "__main__":
    main()
