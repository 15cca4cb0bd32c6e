"""List deliberate faults in the start and the end of a process."""

from mutants.mutant import Mutant

DAEMON = "packages/hemlockdock-daemon/hemlockdock_daemon/"
TESTS = "packages/hemlockdock-daemon/tests/"
SIGNAL_TEST = TESTS + "test_reload_signal.py"
WATCHER_TEST = TESTS + "test_settings_watcher.py"

MUTANTS = [
    Mutant(
        "import the services before SIGHUP is caught",
        DAEMON + "main.py",
        "from hemlockdock_daemon.reload_signal import RELOAD_SIGNAL",
        "import hemlockdock_daemon.daemon\n"
        "from hemlockdock_daemon.reload_signal import RELOAD_SIGNAL",
        TESTS + "test_main.py",
    ),
    Mutant(
        "forget a SIGHUP that comes before the listener",
        DAEMON + "reload_signal.py",
        "            self._is_pending = True",
        "            pass",
        SIGNAL_TEST,
    ),
    Mutant(
        "restore SIGHUP's default at the end",
        DAEMON + "reload_signal.py",
        "signal.SIG_IGN",
        "signal.SIG_DFL",
        SIGNAL_TEST,
    ),
    Mutant(
        "take the version of the settings file after its text",
        DAEMON + "settings_watcher.py",
        "        self._poll_timer = PeriodicCall(reactor, self._check)",
        "        self._poll_timer = PeriodicCall(reactor, self._check)\n"
        "        settings_file.load()",
        WATCHER_TEST,
    ),
]
