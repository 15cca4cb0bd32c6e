"""The main program of hemlockdockd.

Imports little before SIGHUP is caught: until then the signal ends the process, and the imports of
the services take long.
"""

import sys

from hemlockdock_daemon.reload_signal import RELOAD_SIGNAL


def run(settings):
    """Run one process until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : str
        Path of the INI file.
    """
    RELOAD_SIGNAL.catch()
    from hemlockdock_daemon.daemon import Daemon
    from hemlockdock_daemon.settings_file import SettingsFile

    exit_code = Daemon(SettingsFile(settings), RELOAD_SIGNAL).run()
    RELOAD_SIGNAL.ignore()
    sys.exit(exit_code)


def main():
    """Read the command line and run the process."""
    RELOAD_SIGNAL.catch()
    import fire

    fire.Fire(run, name="hemlockdockd")


if __name__ == "__main__":
    main()
