"""Loopback proxy that delays, resets, cuts one way or silences connections."""

import asyncio
import socket
import struct


class Proxy:
    def __init__(self, target):
        self.target = target
        self.mode = "good"  # or delay, reset, silent, one_way, refuse
        self.writers = set()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, address, 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self.address[1]

    def stop_listening(self):
        self.server.close()

    async def listen_again(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def disturb(self, mode, seconds):
        self.mode = mode
        if mode == "reset":
            self.reset_all()
        await asyncio.sleep(seconds)
        self.mode = "good"

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        if self.mode in ("refuse", "reset"):
            return reset(writer)
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            return reset(writer)
        self.writers |= {writer, up_writer}
        try:
            await asyncio.gather(self.pump(reader, up_writer, True),
                                 self.pump(up_reader, writer, False))
        except (ConnectionError, OSError):
            reset(writer)
            reset(up_writer)
        finally:
            self.writers -= {writer, up_writer}

    async def pump(self, reader, writer, forth):
        while True:
            data = await reader.read(16384)
            if self.mode == "delay":
                await asyncio.sleep(0.2)
            while self.mode == "silent" or (self.mode == "one_way" and not forth):
                await asyncio.sleep(0.05)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                if not forth:
                    writer.close()
                return
            writer.write(data)
            await writer.drain()


def reset(writer):
    """Closes with RST instead of FIN."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
        writer.transport.abort()
    except (OSError, AttributeError):
        pass
