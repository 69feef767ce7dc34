"""TWICE and REFUSED: searchers send second copies of answers, late."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import platform_stand_ins as platform

HOST, PREFIX, SERVICE = "hufi27.example", "/goka902/", "kafi81c"
SEARCHERS, SLOTS, QUEUE = 6, 2, 2
WORK_S = 0.06
LENGTH_S = 95
REQUESTS_PER_S = 200
TIME_LIMIT_MS = 4000
SHARE, ANSWERS = 0.5, 0.04  # Of the searchers, of their answers.
WINDOW_S, PAUSE_S = 5.0, 2.0  # Length of the disruption; it comes again.


class GarblingSearcher(platform.Searcher):
    """Sends some answers twice. The second copy arrives late, at the point
    where the next response on the connection is expected."""
    faulty = False
    copies = 0

    async def before(self, writer):
        """Sends a copy that is due."""
        copy = getattr(writer, "late_copy", None)
        if copy is not None:
            writer.late_copy = None
            GarblingSearcher.copies += 1
            first, echo = copy.decode().split("\r\n")[:2]
            self.record.write(f"{self.id} sends a late second copy: "
                              f"{first}, {echo}")
            writer.write(copy)
            await writer.drain()

    async def after(self, writer, answer):
        if self.faulty and self.rng.random() < ANSWERS:
            writer.late_copy = answer


async def case(record):
    site = platform.Deployment(record, ["heredia", "heredia", "cartago",
                                        "alajuela"])
    try:
        return await play(record, site)
    finally:
        await site.end()


async def disturb(record, searchers):
    while platform.TROUBLE:
        chosen = searchers[:int(SHARE * len(searchers))]
        for searcher in chosen:
            searcher.faulty = True
        record.write("disruption begins: " + " ".join(s.id for s in chosen))
        await asyncio.sleep(WINDOW_S)
        for searcher in chosen:
            searcher.faulty = False
        record.write("disruption ends")
        await asyncio.sleep(PAUSE_S)


async def play(record, site):
    await site.store.start()
    searchers = [
        await site.add(GarblingSearcher(
            record, site.rng, SERVICE, platform.ZONES[i % 3], SLOTS, QUEUE,
            lambda: site.rng.uniform(0.5, 1.5) * WORK_S))
        for i in range(SEARCHERS)]
    await site.publish(
        [{"name": "r-wa5xwyh", "host": HOST, "prefix": PREFIX,
          "kind": "unsafe", "timeout-ms": TIME_LIMIT_MS,
          "target-latency-ms": 600, "priority": 2, "service": SERVICE,
          "max-attempts": 2}], {SERVICE: 35})
    await site.start()
    answers = {}

    async def ask(requester):
        gateway = site.rng.choice(site.gateways)
        attempt, _, status, _, _ = await requester.ask(
            gateway, "POST", HOST, f"{PREFIX}{site.rng.getrandbits(24):x}",
            TIME_LIMIT_MS, b"address")
        answers[attempt] = status
        idle.append(requester)

    idle, asks = [], []
    trouble = asyncio.ensure_future(disturb(record, searchers))
    end = record.now() + LENGTH_S
    while record.now() < end:
        requester = idle.pop() if idle else platform.Requester(record, site.rng)
        asks.append(asyncio.ensure_future(ask(requester)))
        await asyncio.sleep(site.rng.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*asks)
    trouble.cancel()
    return check(record, searchers, answers)


def check(record, searchers, answers):
    runs = {}
    for searcher in searchers:
        for attempt, when in searcher.runs:
            runs.setdefault(attempt, []).append((when, searcher.id))
    breaches = []
    for attempt, status in answers.items():
        seen = runs.get(attempt, [])
        if len(seen) > 1:
            places = ", ".join(f"{name} at {when:.3f}" for when, name in seen)
            breaches.append(f"TWICE: {attempt} ran {len(seen)} times ({places})"
                            f" and was answered {status}")
        if seen and status in (408, 421, 429, 503):
            breaches.append(f"REFUSED: {attempt} was answered {status} and ran")
    counts = {}
    for status in answers.values():
        counts[status] = counts.get(status, 0) + 1
    rejected = sum(len(s.arrivals) - len(s.runs) for s in searchers)
    text = (f"{len(answers)} requests, answers by status {counts}, "
            f"{rejected} rejections by searchers, "
            f"{GarblingSearcher.copies} late second copies")
    record.write(text)
    print(text)
    return breaches


platform.run(case)
