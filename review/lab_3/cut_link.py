"""A link that can be cut: a TCP proxy which holds all bytes, ends and new connections meanwhile.

What the sender's system has taken over is delivered once the cut has healed, in order, also the end
of a connection whose process was killed: DEPLOY.md lets only a reset or a loss of power drop it.
"""

import asyncio
import threading
from types import TracebackType

IP = "127.0.0.1"
MAX_READ_BYTES = 65536


class CutLink:
    """One link to a port, with an event loop in a thread of its own."""

    def __init__(self, target_port: int, port: int) -> None:
        self.port = port
        self._target_port = target_port
        self._loop = asyncio.new_event_loop()
        self._whole = asyncio.Event()
        self._whole.set()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "CutLink":
        """Starts to listen."""
        self._thread.start()
        self._started.wait()
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        """Stops."""
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop)
        self._thread.join()

    def cut(self) -> None:
        """Cuts the link."""
        self._loop.call_soon_threadsafe(self._whole.clear)

    def heal(self) -> None:
        """Heals the cut."""
        self._loop.call_soon_threadsafe(self._whole.set)

    async def _stop(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._loop.stop()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        # Connections that are still open at the end are cancelled.
        self._loop.set_exception_handler(lambda _loop, _context: None)
        self._loop.run_until_complete(asyncio.start_server(self._serve, IP, self.port))
        self._started.set()
        self._loop.run_forever()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._whole.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(IP, self._target_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pass_on(reader, far_writer), self._pass_on(far_reader, writer))

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(MAX_READ_BYTES):
                await self._whole.wait()
                writer.write(data)
                await writer.drain()
            await self._whole.wait()
            writer.write_eof()
        except OSError:
            await self._whole.wait()
            writer.transport.abort()
