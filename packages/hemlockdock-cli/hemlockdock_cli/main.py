"""Entry point of the ``hemlockdock`` command."""

import sys

import fire

from hemlockdock_cli.command_error import CommandError
from hemlockdock_cli.commands import Commands


def main():
    """Run the command given on the command line and exit with its exit code."""
    try:
        fire.Fire(Commands, name="hemlockdock")
    except CommandError as error:
        print(f"hemlockdock: {error}", file=sys.stderr)
        sys.exit(int(error.code))


if __name__ == "__main__":
    main()
