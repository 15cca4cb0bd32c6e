"""Stand between clients and one listener on loopback, and harm what passes."""

import asyncio
import threading
from enum import Enum

DELAY_S = 0.3
CHUNK_BYTES = 65_536


class Harm(Enum):
    """Name what a proxy does to connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    CUT_ANSWERS = "cut_answers"
    CUT_REQUESTS = "cut_requests"


class ProxyLoop:
    """Run proxies in a thread of their own."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def call(self, coroutine):
        """Run a coroutine in the proxies' thread and return what it returns."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    def close(self):
        """Stop the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()


class Proxy:
    """Pass on the connections to one listener.

    Parameters
    ----------
    loop : ProxyLoop
    host : str
    port, target_port : int
        Of the proxy, and of the listener on the same host.

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
        self._open = set()

    def start(self):
        """Listen."""
        self._loop.call(self._start())

    def set_harm(self, harm):
        """Do something else to connections from now on, open ones included.

        Parameters
        ----------
        harm : Harm
        """
        self.harm = harm
        if harm is Harm.RESET:
            self._loop.call(self._reset_all())

    def close(self):
        """Stop listening and end all connections."""
        self._loop.call(self._close())

    async def _start(self):
        self._server = await asyncio.start_server(self._accept, self._host, self._port)

    async def _close(self):
        self._server.close()
        await self._reset_all()

    async def _reset_all(self):
        for writer in list(self._open):
            writer.transport.abort()
        self._open.clear()

    async def _accept(self, reader, writer):
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self._host, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        if self.harm is Harm.RESET:
            # It was told so while the far side was dialled.
            writer.transport.abort()
            far_writer.transport.abort()
            return
        self._open |= {writer, far_writer}
        await asyncio.gather(
            self._pass_on(reader, far_writer, Harm.CUT_REQUESTS),
            self._pass_on(far_reader, writer, Harm.CUT_ANSWERS),
        )
        self._open -= {writer, far_writer}

    async def _pass_on(self, reader, writer, cut):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(DELAY_S)
                if self.harm in (Harm.SILENCE, cut):
                    # Dropped for good, as on a connection whose path is gone.
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        # An end that is held back by a cut path doesn't arrive either.
        if self.harm not in (Harm.SILENCE, cut):
            writer.close()
