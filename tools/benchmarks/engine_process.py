"""Run a stand-in engine in a process of its own, and write its URL to a file."""

import os
import sys
from pathlib import Path

from twisted.internet import reactor

from hemlockdock_standins.engine import EngineOptions, StandInEngine

TOKEN_MS = 37.0


def main():
    """Run until killed. The argument is the folder of the file ``engine_url``."""
    folder = Path(sys.argv[1])
    options = EngineOptions(token_ms=TOKEN_MS, first_token_ms=0.0, load_remote_ms=1.0)
    engine = StandInEngine(reactor, options)

    def write_url(_):
        partial = folder / "engine_url.partial"
        partial.write_text(engine.url)
        os.replace(partial, folder / "engine_url")

    reactor.callWhenRunning(lambda: engine.start().addCallback(write_url))
    reactor.run()


if __name__ == "__main__":
    main()
