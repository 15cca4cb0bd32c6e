"""Run the ``hemlockdock`` command as ``python -m hemlockdock_cli``."""

from hemlockdock_cli.main import main

if __name__ == "__main__":
    main()
