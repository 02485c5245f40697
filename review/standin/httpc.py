"""HTTP/1.1 with CBOR bodies over asyncio: a server, and calls that open a connection or keep one."""
import asyncio

import cbor


class Server:
    """Serves `handler(method, path, query, body)`, which returns (status, value), or None to give no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                length, close = 0, False
                for line in lines[1:]:
                    name, _, text = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(text)
                    elif name.lower() == "connection" and text.strip().lower() == "close":
                        close = True
                raw = await reader.readexactly(length) if length else b""
                path, _, rest = target.partition("?")
                query = dict(part.split("=", 1) for part in rest.split("&") if "=" in part)
                try:
                    body = cbor.loads(raw) if raw else None
                except Exception:
                    body = ValueError
                answer = await self.handler(method, path, query, body)
                if answer is None:
                    break
                status, value = answer
                payload = cbor.dumps(value)
                text = "HTTP/1.1 %d X\r\ncontent-type: application/cbor\r\ncontent-length: %d\r\n" % (status, len(payload))
                if close:
                    text += "connection: close\r\n"
                writer.write(text.encode() + b"\r\n" + payload)
                await writer.drain()
                if close:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Connection:
    """A client connection that is kept between calls."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, value=None, timeout=5.0):
        """Returns (status, value, headers), or None if there is no answer in time."""
        try:
            return await asyncio.wait_for(self._call(method, path, value), timeout)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            self.close()
            return None

    async def _call(self, method, path, value):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        payload = b"" if value is None else cbor.dumps(value)
        text = "%s %s HTTP/1.1\r\nhost: 127.0.0.1:%d\r\ncontent-length: %d\r\n\r\n" % (method, path, self.port, len(payload))
        self.writer.write(text.encode() + payload)
        await self.writer.drain()
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status, headers = int(head[0].split(" ")[1]), {}
        for line in head[1:]:
            name, _, rest = line.partition(":")
            headers[name.lower()] = rest.strip()
        length = int(headers.get("content-length", 0))
        raw = await self.reader.readexactly(length) if length else b""
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, (cbor.loads(raw) if raw else None), headers


async def call(port, method, path, value=None, timeout=5.0):
    connection = Connection(port)
    try:
        return await connection.call(method, path, value, timeout)
    finally:
        connection.close()


class Proxy:
    """Passes TCP connections on to a port; `mode` is "pass", "reset", or "hold", which keeps bytes until it passes again."""

    def __init__(self, target):
        self.target, self.mode, self.port = target, "pass", None
        self.open = asyncio.Event()
        self.open.set()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def set(self, mode):
        self.mode = mode
        if mode == "hold":
            self.open.clear()
        else:
            self.open.set()
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def _accept(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, other_writer}
        await asyncio.gather(self._pump(reader, other_writer), self._pump(other_reader, writer))
        self.writers -= {writer, other_writer}

    async def _pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
