"""A small HTTP/1.1 server and client on asyncio, with nothing but the standard library."""

import asyncio


class Request:
    """One request as a stand-in sees it."""

    def __init__(self, method, target, headers, body, reader, writer):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(item.partition("=")[::2] for item in query.split("&") if item)
        self.headers = headers  # names in lower case
        self.body = body
        self.reader = reader
        self.writer = writer


async def read_head(reader):
    """The first line and the headers of a message; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """The pieces of a chunked body, one by one."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([piece async for piece in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def head_bytes(first, headers):
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


async def answer(request, status, headers=None, body=b""):
    """Sends a whole answer."""
    told = {**(headers or {}), "Content-Length": str(len(body))}
    request.writer.write(head_bytes(f"HTTP/1.1 {status} X", told) + body)
    await request.writer.drain()


def reset(writer):
    """Ends a connection with a reset."""
    writer.transport.abort()


async def serve(handler, host, port):
    """Serves with `handler(request)`, which answers; returns the server and its port."""

    async def connection(reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await handler(Request(method, target, head[1], body, reader, writer))
                if writer.transport.is_closing():
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port, limit=1 << 22)
    return server, server.sockets[0].getsockname()[1]
