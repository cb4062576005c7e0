"""A proxy that passes bytes on after a delay, as links between regions do. Runs as a process of its own:
delay.py DELAY_MS LISTEN_IP:PORT=TARGET_IP:PORT ..."""

import asyncio
import sys

# Bytes on their way in one direction: more than 1,000 Mbit/s times the delay of a usual link.
WINDOW_BYTES = 8 * 1024 * 1024
CHUNK_BYTES = 64 * 1024


async def forward(reader, writer, delay_s):
    loop = asyncio.get_running_loop()
    queue = asyncio.Queue()
    room = asyncio.Semaphore(WINDOW_BYTES // CHUNK_BYTES)

    async def deliver():
        while True:
            due, data = await queue.get()
            wait_s = due - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if data is None:
                writer.close()
                return
            writer.write(data)
            await writer.drain()
            room.release()

    delivering = asyncio.create_task(deliver())
    try:
        while True:
            await room.acquire()
            data = await reader.read(CHUNK_BYTES)
            if not data:
                break
            queue.put_nowait((loop.time() + delay_s, data))
    except OSError:
        pass
    queue.put_nowait((loop.time() + delay_s, None))
    try:
        await delivering
    except OSError:
        writer.close()


async def serve(listen, target, delay_s):
    async def handle(reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection(*target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            forward(reader, other_writer, delay_s), forward(other_reader, writer, delay_s), return_exceptions=True
        )

    return await asyncio.start_server(handle, *listen, backlog=64)


def address(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


async def main():
    delay_s = float(sys.argv[1]) / 1000
    servers = [await serve(*map(address, pair.split("=")), delay_s) for pair in sys.argv[2:]]
    print("ready", flush=True)
    await asyncio.gather(*(server.serve_forever() for server in servers))


asyncio.run(main())
