"""Load reports and cache events of many engines, answered by one process."""

import asyncio
import json
import resource
import subprocess
import sys


class EngineFarm:
    """Answers load reports and cache events for many engines in one process."""

    def __init__(self, net, count):
        self.urls = [f"http://{net}.{10 + i // 200}.{1 + i % 200}:9000"
                     for i in range(count)]
        self.process = None
        if count:
            spec = json.dumps(self.urls)
            self.process = subprocess.Popen(
                [sys.executable, __file__], stdin=subprocess.PIPE)
            self.process.stdin.write(spec.encode())
            self.process.stdin.close()

    def stop(self):
        if self.process:
            self.process.terminate()
            self.process.wait()


def serve_engines():
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    urls = json.load(sys.stdin)
    body = json.dumps({"running": 20, "waiting": 0, "max_batch": 64,
                       "tokens_per_second": 600.0, "report_age_ms": 100,
                       "models": ["m"]}).encode()
    events = b'{"events":[],"next":1}'

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                answer = events if b"/cache/events" in head else body
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/"
                             b"json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(answer), answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def main():
        for url in urls:
            address = url[len("http://"):].split(":")[0]
            await asyncio.start_server(serve, address, 9000)
        await asyncio.Event().wait()

    asyncio.run(main())


if __name__ == "__main__":
    serve_engines()
