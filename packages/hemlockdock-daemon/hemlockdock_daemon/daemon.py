"""One process, from its settings file to its exit code."""

import gc
import signal
import sys

from twisted.internet import reactor

from hemlockdock_core.errors import InvalidInputError
from hemlockdock_core.logs import configure_logs
from hemlockdock_core.periodic_call import PeriodicCall
from hemlockdock_daemon.monotonic import use_monotonic_clock
from hemlockdock_daemon.process import Process
from hemlockdock_daemon.settings_watcher import SettingsWatcher

EXIT_STOPPED = 0
EXIT_INVALID_SETTINGS = 2
EXIT_START_FAILED = 3
LOG_FLUSH_INTERVAL_S = 0.1


class Daemon:
    """One process, which runs until SIGTERM or SIGINT.

    Parameters
    ----------
    settings_file : SettingsFile
        Reloaded when it changes and on SIGHUP.
    reload_signal : ReloadSignal
    """

    def __init__(self, settings_file, reload_signal):
        self._settings_file = settings_file
        self._reload_signal = reload_signal
        self._process = None
        self._watcher = None
        self._exit_code = EXIT_STOPPED

    def run(self):
        """Run the process.

        Returns
        -------
        int
            Exit code.
        """
        try:
            settings = self._settings_file.load()
        except InvalidInputError as error:
            for problem in error.errors:
                print(problem, file=sys.stderr)
            return EXIT_INVALID_SETTINGS
        log_handler = configure_logs(settings.process.log_level)
        use_monotonic_clock(reactor)
        self._process = Process(reactor, settings)
        self._watcher = SettingsWatcher(
            reactor, self._settings_file, settings, self._process.reload
        )
        # Excludes the imported modules from garbage collection: a full collection that includes
        # them would take longer than several heartbeat intervals.
        gc.collect()
        gc.freeze()
        log_flusher = PeriodicCall(reactor, log_handler.flush)
        reactor.callWhenRunning(log_flusher.start, LOG_FLUSH_INTERVAL_S)
        reactor.callWhenRunning(self._start)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: reactor.callFromThread(self._leave))
        reactor.run(installSignalHandlers=False)
        return self._exit_code

    def _start(self):
        self._process.start().addErrback(self._fail)
        self._watcher.start()
        self._reload_signal.listen(lambda: reactor.callFromThread(self._watcher.reload))

    def _fail(self, failure):
        self._exit_code = EXIT_START_FAILED
        print(f"hemlockdockd: {failure.value}", file=sys.stderr)
        self._leave()

    def _leave(self):
        self._watcher.stop()
        self._process.stop().addBoth(lambda _: reactor.stop())
