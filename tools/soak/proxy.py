"""TCP proxy on loopback that injects network faults."""

import asyncio
import threading
from enum import Enum

DELAY_S = 0.3
CHUNK_BYTES = 65_536


class Harm(Enum):
    """Network faults that a proxy can inject."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    CUT_ANSWERS = "cut_answers"
    CUT_REQUESTS = "cut_requests"


class ProxyLoop:
    """Event loop in its own thread that runs the proxies."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def call(self, coroutine):
        """Run a coroutine on the event loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def close(self):
        """Stop the event loop and its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()


class Proxy:
    """Forwards connections to one listener.

    Parameters
    ----------
    loop : ProxyLoop
    host : str
    port, target_port : int
        Ports of the proxy and of the listener, both on ``host``.

    Attributes
    ----------
    harm : Harm
    """

    def __init__(self, loop, host, port, target_port):
        self.harm = Harm.NONE
        self._loop = loop
        self._host = host
        self._port = port
        self._target_port = target_port
        self._server = None
        self._open_writers = set()
        self._silent_writers = set()

    def start(self):
        """Start listening."""
        self._loop.call(self._start())

    def set_harm(self, harm):
        """Set the fault for new and open connections; ``RESET`` aborts the open ones at once.

        Parameters
        ----------
        harm : Harm
        """
        self.harm = harm
        if harm is Harm.RESET:
            self._loop.call(self._reset_all())

    def silence_open(self):
        """Deliver nothing more over the connections that are open; new ones work."""
        self._loop.call(self._silence_open())

    def close(self):
        """Stop listening and abort all connections."""
        self._loop.call(self._close())

    async def _silence_open(self):
        self._silent_writers |= self._open_writers

    async def _start(self):
        self._server = await asyncio.start_server(self._accept, self._host, self._port)

    async def _close(self):
        self._server.close()
        await self._reset_all()

    async def _reset_all(self):
        for writer in list(self._open_writers):
            writer.transport.abort()
        self._open_writers.clear()

    async def _accept(self, reader, writer):
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self._host, self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        if self.harm is Harm.RESET:
            # The fault was set while the upstream connection was being established.
            writer.transport.abort()
            upstream_writer.transport.abort()
            return
        self._open_writers |= {writer, upstream_writer}
        await asyncio.gather(
            self._forward(reader, upstream_writer, Harm.CUT_REQUESTS),
            self._forward(upstream_reader, writer, Harm.CUT_ANSWERS),
        )
        self._open_writers -= {writer, upstream_writer}
        self._silent_writers -= {writer, upstream_writer}

    async def _forward(self, reader, writer, blocking_harm):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(DELAY_S)
                if self._is_blocked(writer, blocking_harm):
                    # Dropped for good, as on a network path that has failed.
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        # A blocked direction doesn't forward the end of the stream either.
        if not self._is_blocked(writer, blocking_harm):
            writer.close()

    def _is_blocked(self, writer, blocking_harm):
        return self.harm in (Harm.SILENCE, blocking_harm) or writer in self._silent_writers
