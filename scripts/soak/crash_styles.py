"""What callers of a crashed upstream see until it is back.

The platform's pages say only that the server is back after some seconds; what its
address does meanwhile depends on the machine.
"""

import asyncio

# Time until a supervisor has started the upstream again at once.
INSTANT_RESTART_S = 0.015

# Time for which a crashed machine is silent before it resets its connections.
SILENCE_S = (0.5, 1.5)


async def refuse(upstream, seconds):
    """The port of the dead process refuses connections."""
    upstream.crash()
    upstream.proxy.stop_listening()
    await asyncio.sleep(seconds)
    await upstream.restart()
    await upstream.proxy.listen_again()


async def accept_and_reset(upstream, seconds):
    """A forwarder in front of the upstream accepts connections and resets them."""
    upstream.crash()
    await asyncio.sleep(seconds)
    await upstream.restart()


async def instant(upstream, seconds):
    """A supervisor starts the upstream again before anybody finds it down."""
    upstream.crash()
    await asyncio.sleep(INSTANT_RESTART_S)
    await upstream.restart()


async def silent_then_reset(upstream, seconds):
    """Nothing answers for a while; then connections are reset and refused."""
    upstream.proxy.mode = "silent"
    await asyncio.sleep(upstream.rng.uniform(*SILENCE_S))
    upstream.proxy.mode = "good"
    upstream.crash()
    upstream.proxy.reset_all()
    upstream.proxy.stop_listening()
    await asyncio.sleep(seconds)
    await upstream.restart()
    await upstream.proxy.listen_again()


STYLES = {style.__name__: style
          for style in (refuse, accept_and_reset, instant, silent_then_reset)}
