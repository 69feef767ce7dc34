"""Some searchers run a part of the requests that must not run twice and answer
them with a 503 or 429 of their own: signed, and without the field that states
that nothing was run. The requester must not be told that nothing was run."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
import bed as deployment  # noqa: E402

PROMISES = ("408", "421", "429", "503")  # Not run, and never will be.
SEARCHERS = 19
GREY_SEARCHERS, GREY_SHARE, GREY_S = 3, 0.4, 9  # 0.15 of 19 searchers.
CLIENTS = 12
RUN_S = 12
TIME_LIMIT_MS = 6000


def grey(rng, until):
    async def behaviour(searcher, message, signed, reader, writer):
        if time.monotonic() < until and rng.random() < GREY_SHARE:
            status = rng.choice(["503 Service Unavailable",
                                 "429 Too Many Requests"])
            searcher.bed.record("failed", searcher.name, status)
            return deployment.build_message(f"HTTP/1.1 {status}", signed)
        return deployment.build_message("HTTP/1.1 200 OK", signed,
                                        b"done " + message[2])
    return behaviour


async def requester(bed, index, until, broken, orders):
    """Places one order after the other. It sends one again, as a new attempt,
    only after a status that promises that the first was not run."""
    number = 0
    while time.monotonic() < until:
        number += 1
        order = f"{index:02x}{number:06x}"
        for retry in range(2):
            attempt = f"{order}{retry:08x}"
            gateway = bed.gateways[(index + number + retry) % 4]
            answer = await bed.send(gateway, "POST", "permits.example",
                                    f"/order/{order}", attempt, TIME_LIMIT_MS,
                                    b"order " + order.encode())
            status = answer[0].split(" ")[1] if answer else "none"
            runs = len(bed.runs.get(attempt, []))
            orders[order] = orders.get(order, 0) + runs
            if status not in PROMISES:
                break
            if runs:
                broken.append(f"REFUSED: {attempt} was answered {status} and "
                              f"has run at {bed.runs[attempt][0].name}")
        await asyncio.sleep(0.02)


async def case(bed):
    await bed.add_searchers("permits", SEARCHERS)
    bed.publish(7, [{
        "name": "order", "host": "permits.example", "prefix": "/order/",
        "kind": "unsafe", "timeout-ms": 6000, "target-latency-ms": 600,
        "priority": 2, "service": "permits", "max-attempts": 2}], ["permits"])
    await bed.start_gateways()
    rng = random.Random(51)
    if deployment.TROUBLE:
        for searcher in bed.searchers[:GREY_SEARCHERS]:
            searcher.behaviour = grey(rng, time.monotonic() + GREY_S)
    broken, orders = [], {}
    until = time.monotonic() + RUN_S
    await asyncio.gather(*(requester(bed, i, until, broken, orders)
                           for i in range(CLIENTS)))
    twice = sum(1 for runs in orders.values() if runs > 1)
    bed.record("orders", len(orders), "run twice", twice)
    print(f"{len(orders)} orders, {twice} run twice after a promise")
    return broken


deployment.run_case(HERE, case, gateways=4)
