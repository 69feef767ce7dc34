"""DRAIN: a searcher says in its answers that it leaves, while the store is
down and can't be told."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import platform_stand_ins as platform

HOST, PREFIX, SERVICE = "hufi27.example", "/goka902/", "kafi81c"
LEAVING = "Server-Leaving"
SEARCHERS = 6
WORK_S = 0.06
REQUESTS_PER_S = 60
TIME_LIMIT_MS = 6000
DRAIN_S = 3.0  # drain-ms
DOWN_AT_S, DOWN_S = 8.0, 6.0
LEAVES_AFTER_S = 0.3  # After the store has gone down.
LENGTH_S = 26


class LeavingSearcher(platform.Searcher):
    """Names in all its answers that it leaves, once it does."""

    def headers(self, attempt):
        headers = super().headers(attempt)
        if self.state == "draining":
            headers[LEAVING] = "1"
        return headers


async def case(record):
    site = platform.Deployment(record, ["heredia", "heredia", "cartago",
                                        "alajuela"])
    try:
        return await play(record, site)
    finally:
        await site.end()


async def scale_in(record, site, searcher):
    """A searcher leaves; it reports that to the store as soon as it can, and
    serves for drain-ms after that and a little longer."""
    await asyncio.sleep(DOWN_AT_S)
    if platform.TROUBLE:
        site.store.down = True
        record.write("disruption begins: the store is down and silent")
        asyncio.get_running_loop().call_later(DOWN_S, end_outage, record, site)
    await asyncio.sleep(LEAVES_AFTER_S)
    searcher.state = "draining"
    record.write(f"{searcher.id} leaves and says so in its answers")
    await site.report(searcher)
    record.write(f"the store has accepted that {searcher.id} is draining")
    await asyncio.sleep(DRAIN_S + 1)
    await site.store.delete(f"servers/{searcher.id}")
    searcher.close()


def end_outage(record, site):
    site.store.down = False
    record.write("disruption ends: the store answers again")


async def play(record, site):
    await site.store.start()
    searchers = [
        await site.add(LeavingSearcher(
            record, site.rng, SERVICE, platform.ZONES[i % 3], 3, 12,
            lambda: site.rng.uniform(0.5, 1.5) * WORK_S))
        for i in range(SEARCHERS)]
    await site.publish(
        [{"name": "r-wa5xwyh", "host": HOST, "prefix": PREFIX,
          "kind": "safe", "timeout-ms": TIME_LIMIT_MS,
          "target-latency-ms": 600, "priority": 2, "service": SERVICE,
          "max-attempts": 2}], {SERVICE: 100})
    await site.start()
    sent, told = {}, {}  # By attempt: (gateway, time); by gateway: time.
    statuses = {}

    async def ask(requester):
        gateway = site.rng.choice(site.gateways)
        attempt, when, status, headers, _ = await requester.ask(
            gateway, "GET", HOST, f"{PREFIX}{site.rng.getrandbits(24):x}",
            TIME_LIMIT_MS)
        sent[attempt] = (gateway.ip, when)
        statuses[status] = statuses.get(status, 0) + 1
        if headers.get(LEAVING.lower()) == "1" and gateway.ip not in told:
            told[gateway.ip] = record.now()
            record.write(f"{gateway.ip} has passed on {LEAVING}: 1")
        idle.append(requester)

    idle, asks = [], []
    leaving = asyncio.ensure_future(scale_in(record, site, searchers[0]))
    end = record.now() + LENGTH_S
    while record.now() < end:
        requester = idle.pop() if idle else platform.Requester(record, site.rng)
        asks.append(asyncio.ensure_future(ask(requester)))
        await asyncio.sleep(site.rng.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*asks)
    await leaving
    return check(record, searchers[0], sent, told, statuses)


def check(record, leaving, sent, told, statuses):
    breaches = []
    for attempt, when in leaving.arrivals:
        gateway, sent_at = sent.get(attempt, (None, 0.0))
        if gateway in told and sent_at > told[gateway] + DRAIN_S:
            breaches.append(
                f"DRAIN: {attempt} reached {leaving.id} from {gateway}, sent "
                f"{sent_at - told[gateway]:.2f} s after that machine had passed "
                f"on {LEAVING}")
    text = (f"{len(sent)} requests, answers by status {statuses}, "
            f"{len(told)} of 4 machines have passed on {LEAVING}")
    record.write(text)
    print(text)
    return breaches


platform.run(case)
