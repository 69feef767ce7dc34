"""A request that crashes each searcher that begins to run it, and the
searchers that are back after some seconds. For the scripts of cases 14, 15."""
import asyncio
import signal
import time

import bed as deployment

HOST, PREFIX = "permits.example", "/permit/"
SERVICE, SEARCHERS = "permits", 19
TIME_LIMIT_MS = 6000
STABLE_WINDOW_S = 4
MAX_RETRIES = 3  # Of the rule.
BACK_S = 3  # Until a crashed searcher is back.
REPEAT_S = 0.4  # Between two tries of the request, by any requester.


class Crashes:
    """What the request did."""

    def __init__(self, bed):
        self.bed, self.times, self.tries = bed, [], []
        self.harmful = True  # Whether the request crashes searchers.
        self.open = {}  # Connections of each searcher.
        self.down = set()

    async def behaviour(self, searcher, message, signed, reader, writer):
        if self.harmful and f" {PREFIX}crash " in message[0]:
            self.crash(searcher)
            return None
        return deployment.build_message("HTTP/1.1 200 OK", signed, b"ok")

    def crash(self, searcher):
        if searcher.name in self.down:
            return  # Another connection's request has crashed it just now.
        self.down.add(searcher.name)
        self.times.append(time.monotonic())
        self.bed.record("crash", searcher.name)
        searcher.server.close()
        for connection in list(self.open.get(searcher.name, ())):
            connection.transport.abort()
        asyncio.ensure_future(self.return_later(searcher))

    async def return_later(self, searcher):
        await asyncio.sleep(BACK_S)
        searcher.born, searcher.sequence = int(time.time() * 1000), 1
        await self.listen(searcher)
        searcher.register()
        self.down.discard(searcher.name)
        self.bed.record("back", searcher.name)

    async def listen(self, searcher):
        serve = searcher.serve

        async def accept(reader, writer):
            self.open.setdefault(searcher.name, set()).add(writer)
            try:
                await serve(reader, writer)
            finally:
                self.open[searcher.name].discard(writer)
        searcher.server = await asyncio.start_server(accept, "127.0.0.1",
                                                     searcher.port)

    async def repeat(self, period_s):
        """Sends the request, to one gateway after the other."""
        end = time.monotonic() + period_s
        while time.monotonic() < end:
            asyncio.ensure_future(self.send())
            await asyncio.sleep(REPEAT_S)

    async def send(self):
        number = len(self.tries)
        entry = [time.monotonic(), f"ffff{number:012x}"]
        self.tries.append(entry)
        await self.bed.send(self.bed.gateways[number % 4], "GET", HOST,
                            f"{PREFIX}crash", entry[1], TIME_LIMIT_MS)

    def third(self):
        """Returns the time of the third crash."""
        if len(self.times) < 3:
            raise deployment.CannotRun("fewer than three searchers crashed")
        return self.times[2]

    def judge(self, since):
        """Returns the broken promises: tries since then that reached
        searchers, if they are more than the rule allows."""
        late = [a for at, a in self.tries if at > since and a in self.bed.runs]
        print(f"{len(self.times)} crashes; {len(late)} retries reached "
              f"searchers later than {STABLE_WINDOW_S} s")
        if len(late) <= MAX_RETRIES:
            return []
        return [f"BUDGET: {attempt} reached "
                f"{', '.join(s.name for s in self.bed.runs[attempt])}"
                for attempt in late]


async def start(bed):
    """Starts the deployment with a route to one service."""
    await bed.add_searchers(SERVICE, SEARCHERS)
    crashes = Crashes(bed)
    for searcher in bed.searchers:
        searcher.behaviour = crashes.behaviour
        searcher.server.close()
        await crashes.listen(searcher)
    bed.publish(7, [{
        "name": "permit-get", "host": HOST, "prefix": PREFIX, "kind": "safe",
        "timeout-ms": 6000, "target-latency-ms": 600, "priority": 2,
        "service": SERVICE, "max-attempts": 2}], [SERVICE])
    await bed.start_gateways()
    return crashes


async def requester(bed, index):
    """Sends other requests of the same route until it is cancelled."""
    number = 0
    while True:
        number += 1
        attempt = f"{index:04x}{number:012x}"
        await bed.send(bed.gateways[(index + number) % 4], "GET", HOST,
                       f"{PREFIX}{attempt}", attempt, TIME_LIMIT_MS)
        await asyncio.sleep(0.05)


async def kill_all(bed, down_s):
    """Kills all gateways at once, and starts them again."""
    for gateway in bed.gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in bed.gateways:
        await gateway.process.wait()
    await asyncio.sleep(down_s)
    await bed.start_gateways()
