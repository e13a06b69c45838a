"""Loopback proxy that delays, resets, cuts one way or silences connections, for all
hosts or for one: each host connects to an address of its own."""

import asyncio
import socket
import struct


class BlackHole:
    """A listener that drops the first packet of each connection, like a machine
    behind a partition: its queue of new connections is full."""

    def __init__(self, address, port):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((address, port))
        self.listener.listen(0)
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex((address, port))

    def close(self):
        for each in [self.listener, *self.fillers]:
            each.close()


class Proxy:
    def __init__(self, target):
        self.target = target
        self.mode = "good"  # or delay, reset, silent, one_way, refuse
        self.writers = set()
        self.servers = {}  # by address of a host
        self.silent_hosts = set()  # addresses
        self.connected_to = {}  # end of a connection to the target: address of a host
        self.black_holes = {}  # by address of a host

    async def start(self, address, host_addresses=()):
        """Listens there, and at the same port of the hosts' addresses."""
        server = await asyncio.start_server(self.serve, address, 0)
        self.address = server.sockets[0].getsockname()[:2]
        self.servers[address] = server
        for each in host_addresses:
            self.servers[each] = await asyncio.start_server(
                self.serve, each, self.address[1])
        return self.address[1]

    def stop_listening(self):
        for server in self.servers.values():
            server.close()

    async def listen_again(self):
        for address in self.servers:
            self.servers[address] = await asyncio.start_server(
                self.serve, address, self.address[1])

    async def cut(self, address, mode, seconds):
        """Cuts one host off. `mode`: its connections hang, are reset, or live on
        while new ones are refused."""
        self.servers[address].close()
        if mode == "hang":
            self.silent_hosts.add(address)
            self.black_holes[address] = BlackHole(address, self.address[1])
        if mode == "reset":
            for writer in list(self.writers):
                if writer.get_extra_info("sockname")[0] == address:
                    reset(writer)
        await asyncio.sleep(seconds)
        if mode == "hang":
            self.black_holes.pop(address).close()
            self.silent_hosts.discard(address)
        self.servers[address] = await asyncio.start_server(
            self.serve, address, self.address[1])

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
        host = writer.get_extra_info("sockname")[0]
        self.connected_to[up_writer.get_extra_info("sockname")] = host
        try:
            await asyncio.gather(self.pump(reader, up_writer, True, host),
                                 self.pump(up_reader, writer, False, host))
        except (ConnectionError, OSError):
            reset(writer)
            reset(up_writer)
        finally:
            self.writers -= {writer, up_writer}

    def is_silent(self, forth, host):
        return (self.mode == "silent" or host in self.silent_hosts
                or (self.mode == "one_way" and not forth))

    async def pump(self, reader, writer, forth, host):
        while True:
            data = await reader.read(16384)
            if self.mode == "delay":
                await asyncio.sleep(0.2)
            while self.is_silent(forth, host):
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
