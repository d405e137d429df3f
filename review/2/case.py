"""Some answers of a disk server name a length that doesn't fit: it is less than the body behind it."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import *  # noqa: E402,F403

REQUESTS = 24
MISSING = 9  # bytes of the body that the spoilt answer's length leaves out


async def play(record, schedulers):
    discovery = Discovery(record)
    await discovery.start()
    begun = {}  # attempts by id
    made = {}   # the whole body that the disk server made, by id

    async def answer(node, request, writer):
        begun[request.id] = begun.get(request.id, 0) + 1
        body = made[request.id] = node.body(request)
        spoilt = TROUBLE and begun[request.id] == 1 and int(request.id, 16) % 3 == 0
        length = len(body) - MISSING if spoilt else len(body)
        record("%s: answers %s with a body of %d bytes, Content-Length %d%s" % (
            node.name, request.id, len(body), length, " (spoilt)" if spoilt else ""))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + body)  # one write
        if spoilt:  # "The connection is left open and is of no further use."
            await writer.drain()
            await asyncio.sleep(10)

    nodes = [Node(record, "s-%d" % i, i, answer) for i in range(4)]
    for node in nodes:
        await node.start()
        discovery.put(node.entry())
    classes = [request_class("rate-read", "safe", 0.6, 3.0), request_class("quote-write", "keyed", 0.8, 4.0)]
    scheduler = Scheduler(record, discovery.address, settings(classes, [PLAN]), discovery.whole())
    schedulers.append(scheduler)
    scheduler.start()
    await scheduler.ready()

    breaks = []
    client = await Client(record, scheduler.listen).connect()
    for i in range(1, REQUESTS + 1):
        call_id = "%016x" % i
        if i % 2:
            data = request_bytes(call_id, "quote-write", 1, i, "PUT", b"text", 4000, shard=i % 4, key="k" + call_id)
        else:
            data = request_bytes(call_id, "rate-read", 1, i, "GET", b"", 3000, shard=i % 4)
        client.send(data, "%s %s" % ("quote-write" if i % 2 else "rate-read", call_id))
        wait = (4.0 if i % 2 else 3.0) + 0.5  # half a second in which an answer only earns nothing
        answered = await client.read(wait)
        if answered is None and client.reader.at_eof():  # a close that crosses a request: once more
            client = await Client(record, scheduler.listen).connect()
            client.send(data, "%s once more" % call_id)
            answered = await client.read(wait)
        if answered is None:
            breaks.append("%s got no answer" % call_id)
            client = await Client(record, scheduler.listen).connect()
        elif answered[0] == 200 and answered[2] != made.get(call_id):
            breaks.append("%s was served with %r; the disk server made %r" % (
                call_id, answered[2], made.get(call_id)))
        await asyncio.sleep(0.02)
    return breaks


run_case(HERE, play)
