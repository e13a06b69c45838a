"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio

MAX_HEAD_BYTES = 64 << 10


class TornMessage(Exception):
    """The connection ended inside a message."""


async def read_head(reader):
    """Returns (first line, headers with lower-case names), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise TornMessage("head") from error
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Yields the pieces of a body; raises TornMessage if it is not whole."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return
                yield piece[:-2]
        length = int(headers.get("content-length", 0))
        if length:
            yield await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise TornMessage("body") from error


async def whole_body(reader, headers):
    return b"".join([piece async for piece in read_body(reader, headers)])


def head(first_line, headers):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def response(status, headers, body=b""):
    return head(f"HTTP/1.1 {status} Status",
                {**headers, "Content-Length": len(body)}) + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"
