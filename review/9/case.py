"""A caller sends requests whose body is the text of another request. Counts
the inner requests that a server runs, and the outer ones that it runs with
another body."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from deployment import (ATTEMPT, Deployment, REMAINING, Server,  # noqa
                        TROUBLE, ZONES, main, read_head, single_route)

REQUESTS = 8
HOST = "courier.example"
# Not chunked last, so that nothing tells where the body ends (RFC 9112, 6.3).
FRAMING = "Transfer-Encoding: gzip"


class Noting(Server):
    async def work(self, attempt, target, body, writer):
        self.deployment.bodies[attempt] = body
        self.record.add("ran", self.name, attempt, target, f"{len(body)} bytes")
        return await super().work(attempt, target, body, writer)


def request(method, target, attempt, framing, body):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}",
             f"{ATTEMPT}: {attempt}", f"{REMAINING}: 4000"]
    lines += [framing] if framing else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def play(record):
    of = Deployment(record)
    of.bodies = {}
    for i in range(6):
        of.servers.append(Noting(of, f"i-{i}", "courier", ZONES[i % 3], 2,
                                 0.02))
    outer, inner = {}, []
    try:
        await of.start([single_route("address", HOST, "/address/", "courier",
                                     **{"kind": "unsafe",
                                        "timeout-ms": 4000})])
        for number in range(REQUESTS):
            gateway = of.gateways[number % of.size]
            attempt, hidden = of.new_attempt(), of.new_attempt()
            body = request("GET", "/address/hidden", hidden, "", b"")
            framing = FRAMING if TROUBLE else f"Content-Length: {len(body)}"
            outer[attempt] = body
            inner.append(hidden)
            reader, writer = await asyncio.open_connection(
                gateway.ip, of.ports["front"])
            record.add("sent", attempt, framing, "with the text of", hidden)
            writer.write(request("POST", f"/address/{number}", attempt,
                                 framing, body))
            try:
                head = await asyncio.wait_for(read_head(reader), 5)
                record.add("answered", attempt, head and head[0])
            except asyncio.TimeoutError:
                record.add("no-answer", attempt)
            await asyncio.sleep(0.5)
            writer.transport.abort()
        smuggled = [a for a in inner if a in of.runs]
        changed = [a for a, body in outer.items()
                   if a in of.runs and of.bodies[a] != body]
        record.say(f"{len(outer)} requests sent; {len(smuggled)} inner ones "
                   f"ran, {len(changed)} outer ones ran with another body")
        return bool(smuggled or changed)
    finally:
        await of.end()


main(FOLDER, play)
