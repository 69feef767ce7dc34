"""A request crashes each server that runs it, 0.1 s after it has begun. Its
caller leaves after 0.07 s, and sends it again at the next gateway. Counts the
repetitions that reach servers when the gateways must have stopped it."""
import asyncio
import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from deployment import (Caller, Deployment, Server, TROUBLE, ZONES,  # noqa
                        gather_route, main)

SHARDS = [f"shard-{i}" for i in range(10)]
LIMIT_MS = 800       # Time limit of the callers.
LEAVE_S = 0.07       # Within half of the objective of 150 ms.
CRASH_S = 0.1        # Work takes 20 ms on the mean, and 150 ms at most.
BACK_S = 3.0         # A crashed server is back after it.
LEAVING_S, TIMES = 5.5, 3  # Length and number of times in which it leaves.
CALM_S = 6.0         # Before, between and after the times.
REPEAT_S = 0.8
STABLE_S = 4.0       # stable-window-ms
RETRIES_ALLOWED = 3  # "in more than three retries"
CRASHING = "/history/crashing"


class Crashing(Server):
    async def work(self, attempt, target, body, writer):
        if target != CRASHING:
            return await super().work(attempt, target, body, writer)
        await asyncio.sleep(CRASH_S)
        if writer not in self.writers:
            return None  # It has been closed: the work is dropped.
        self.deployment.crashes.append(time.monotonic())
        self.record.add("crashed", self.name, attempt)
        self.crash()
        asyncio.ensure_future(self.come_back())
        return None

    async def come_back(self):
        await asyncio.sleep(BACK_S)
        self.born = int(time.time() * 1000)  # A new start under the same id.
        await self.start()
        self.record.add("back", self.name)


async def play(record):
    of = Deployment(record)
    of.crashes = []
    for shard in SHARDS:
        for i in range(3):
            of.servers.append(Crashing(of, f"i-{len(of.servers)}", shard,
                                       ZONES[i], 3, 0.02))
    others = collections.Counter()
    repetitions = {}
    try:
        await of.start([gather_route("history", "portal.example", "/history/",
                                     SHARDS, **{"timeout-ms": 800})])
        end = time.monotonic() + CALM_S + TIMES * (LEAVING_S + CALM_S)

        async def call(index):
            caller = Caller(of, of.gateways[index % of.size])
            while time.monotonic() < end:
                _, answer, why, _ = await caller.ask(
                    "portal.example", f"/history/{of.new_attempt()}", LIMIT_MS)
                others[answer.status if answer else why] += 1
                await asyncio.sleep(of.rng.uniform(0.1, 0.3))

        async def repeat(first):
            """One caller sends the request again and again."""
            number = first
            until = time.monotonic() + LEAVING_S
            while time.monotonic() < until:
                caller = Caller(of, of.gateways[number % of.size])
                number += 1
                attempt, answer, why, _ = await caller.ask(
                    "portal.example", CRASHING, LIMIT_MS,
                    leave_s=LEAVE_S if TROUBLE else None)
                repetitions[attempt] = answer.status if answer else why
                caller.close()
                await asyncio.sleep(REPEAT_S)

        working = asyncio.gather(*(call(i) for i in range(16)))
        for number in range(TIMES):
            await asyncio.sleep(CALM_S)
            await repeat(number)
        await working
        record.say(f"other requests: {dict(others)}")
        record.say(f"the crashing request: {list(repetitions.values())}")
        record.say(f"{len(of.crashes)} crashes of servers")
        if len(of.crashes) < 3:
            record.say("fewer than three crashes")
            return False
        since = sorted(of.crashes)[2] + STABLE_S
        late = {attempt for at, attempt, _, target in of.arrivals
                if target == CRASHING and at > since}
        record.say(f"{len(late)} repetitions reached servers later than "
                   f"{STABLE_S} s after the third crash")
        return len(late) > RETRIES_ALLOWED
    finally:
        await of.end()


main(FOLDER, play)
