"""CONFIG: the store gives no response to the machines that read it for their
zones, and serves all others."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import platform_stand_ins as platform

HOST, PREFIX = "hufi27.example", "/goka902/"
OLD, NEW = "kafi81c", "rony33d"
MACHINES_PER_ZONE = 3
SEARCHERS = 6  # Of each service.
WORK_S = 0.03
REQUESTS_PER_S = 60
TIME_LIMIT_MS = 4000
APPLY_S = 3.0  # configuration-apply-ms
CHANGE_AT_S = 8.0  # A version that changes a time-out.
REFUSAL_AFTER_S, REFUSAL_S = 1.0, 9.0  # The disruption.
MOVE_AFTER_S = 0.3  # A version that moves the route to the other service.
LENGTH_S = 24


async def case(record):
    zones = [zone for zone in platform.ZONES
             for _ in range(MACHINES_PER_ZONE)]
    site = platform.Deployment(record, zones, own_store_addresses=True)
    try:
        return await play(record, site)
    finally:
        await site.end()


async def publish(site, service, timeout_ms):
    await site.publish(
        [{"name": "r-wa5xwyh", "host": HOST, "prefix": PREFIX, "kind": "safe",
          "timeout-ms": timeout_ms, "target-latency-ms": 600, "priority": 2,
          "service": service, "max-attempts": 2}], {OLD: 100, NEW: 100})
    return site.record.now()


async def disturb(record, site, refused):
    """Returns the time at which the store has acknowledged the version that
    moves the route."""
    await asyncio.sleep(CHANGE_AT_S)
    await publish(site, OLD, TIME_LIMIT_MS - 100)
    await asyncio.sleep(REFUSAL_AFTER_S)
    if platform.TROUBLE:
        site.store.refused = {gateway.store for gateway in refused}
        names = " ".join(gateway.ip for gateway in refused)
        record.write(f"disruption begins: no response of the store to {names}")
    await asyncio.sleep(MOVE_AFTER_S)
    acknowledged = await publish(site, NEW, TIME_LIMIT_MS - 100)
    record.write(f"a version moves the route from {OLD} to {NEW}")
    await asyncio.sleep(REFUSAL_S - MOVE_AFTER_S)
    site.store.refused = set()
    record.write("disruption ends")
    return acknowledged


async def play(record, site):
    await site.store.start()
    searchers = [
        await site.add(platform.Searcher(
            record, site.rng, service, platform.ZONES[i % 3], 3, 12,
            lambda: site.rng.uniform(0.5, 1.5) * WORK_S))
        for service in (OLD, NEW) for i in range(SEARCHERS)]
    await publish(site, OLD, TIME_LIMIT_MS)
    await site.start()
    # One machine of each zone reads the store for its zone: the first address.
    refused = [site.gateways[i * MACHINES_PER_ZONE] for i in range(3)]
    sent, statuses = {}, {}  # By attempt: (gateway, time).

    async def ask(requester):
        gateway = site.rng.choice(site.gateways)
        attempt, when, status, _, _ = await requester.ask(
            gateway, "GET", HOST, f"{PREFIX}{site.rng.getrandbits(32):x}",
            TIME_LIMIT_MS)
        sent[attempt] = (gateway, when)
        statuses[status] = statuses.get(status, 0) + 1
        idle.append(requester)

    idle, asks = [], []
    change = asyncio.ensure_future(disturb(record, site, refused))
    end = record.now() + LENGTH_S
    while record.now() < end:
        requester = idle.pop() if idle else platform.Requester(record, site.rng)
        asks.append(asyncio.ensure_future(ask(requester)))
        await asyncio.sleep(site.rng.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*asks)
    return check(record, searchers, sent, refused, await change, statuses)


def check(record, searchers, sent, refused, acknowledged, statuses):
    breaches = []
    for searcher in searchers:
        for attempt, _ in searcher.runs if searcher.service == OLD else []:
            gateway, when = sent[attempt]
            late = when - acknowledged
            if late > APPLY_S and gateway not in refused:
                breaches.append(
                    f"CONFIG: {attempt}, sent to {gateway.ip} {late:.2f} s "
                    f"after the acknowledgement of the version that moves its "
                    f"route to {NEW}, was run by {OLD}")
    text = (f"{len(sent)} requests, answers by status {statuses}, "
            f"{len(breaches)} run by the old service too late")
    record.write(text)
    print(text)
    return breaches


platform.run(case)
