"""The main program of hemlockdockd."""

import gc
import signal
import sys

from hemlockdock_core.errors import InvalidInputError
from hemlockdock_core.logs import configure_logs
from hemlockdock_core.periodic_call import PeriodicCall
from hemlockdock_daemon.monotonic import use_monotonic_clock
from hemlockdock_daemon.settings_file import SettingsFile

EXIT_INVALID_SETTINGS = 2
EXIT_START_FAILED = 3
LOG_FLUSH_INTERVAL_S = 0.1


def run(settings):
    """Run one process until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : str
        Path of the INI file.
    """
    settings_file = SettingsFile(settings)
    try:
        parsed_settings = settings_file.load()
    except InvalidInputError as error:
        for problem in error.errors:
            print(problem, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    handler = configure_logs(parsed_settings.process.log_level)
    sys.exit(run_until_signal(parsed_settings, settings_file, handler))


def run_until_signal(settings, settings_file, log_handler):
    """Start the process and return its exit code once it has stopped.

    Parameters
    ----------
    settings : Settings
    settings_file : SettingsFile
        Reloaded when it changes and on SIGHUP.
    log_handler : BoundedHandler
        Its buffered lines are flushed periodically.

    Returns
    -------
    int
    """
    from twisted.internet import reactor

    from hemlockdock_daemon.process import Process
    from hemlockdock_daemon.settings_watcher import SettingsWatcher

    use_monotonic_clock(reactor)
    process = Process(reactor, settings)
    # Excludes the imported modules from garbage collection: a full collection that includes them
    # would take longer than several heartbeat intervals.
    gc.collect()
    gc.freeze()
    exit_codes = [0]
    watcher = SettingsWatcher(reactor, settings_file, settings, process.reload)

    def fail(failure):
        exit_codes[0] = EXIT_START_FAILED
        print(f"hemlockdockd: {failure.value}", file=sys.stderr)
        leave()

    def leave(*_):
        watcher.stop()
        process.stop().addBoth(lambda _: reactor.stop())

    log_flusher = PeriodicCall(reactor, log_handler.flush)

    def start():
        log_flusher.start(LOG_FLUSH_INTERVAL_S)
        process.start().addErrback(fail)
        watcher.start()

    reactor.callWhenRunning(start)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(watcher.reload))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(leave))
    reactor.run(installSignalHandlers=False)
    return exit_codes[0]


def main():
    """Read the command line and run the process."""
    # Imported here because a launcher that calls run() directly does not need it.
    import fire

    fire.Fire(run, name="hemlockdockd")


if __name__ == "__main__":
    main()
