"""One backend server in three spoils some of its answers for 5.5 s: it ends
them with bytes that are no response. Counts the requests that the gateways
passed on to sound servers and whose kept connections they then closed without
an answer, and the processes that ended by themselves."""
import asyncio
import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))
from deployment import (Caller, Deployment, Server, TROUBLE, ZONES,  # noqa
                        gather_route, main, single_route)

SHARDS = [f"shard-{i}" for i in range(10)]
SPOIL_SHARE = 0.35   # Of the servers of a service; the sheet's site has it.
SPOILED = 0.02       # Of their answers; likewise.
SPOIL_S = 5.5
LINE_BYTES = 70_000  # Of the one trailer line after a spoiled answer.
BEFORE_S, AFTER_S = 6, 12
LOST_ALLOWED = 3     # "more than three times"


class Spoiling(Server):
    spoils = False

    async def reply(self, headers, content, writer):
        of = self.deployment
        if not (of.spoiling and self.spoils and
                self.rng.random() < SPOILED):
            return await super().reply(headers, content, writer)
        self.record.add("spoiled", self.name)
        head = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        writer.write(head.encode() + b"\r\n%x\r\n" % len(content) + content +
                     b"\r\n0\r\nx: " + b"y" * LINE_BYTES + b"\r\n\r\n")
        return True


async def play(record):
    of = Deployment(record)
    of.spoiling = False
    for service, count, work in [(s, 3, 0.02) for s in SHARDS] + \
            [("permits", 12, 0.16)]:
        for i in range(count):
            server = Spoiling(of, f"i-{len(of.servers)}", service,
                              ZONES[i % 3], 3, work)
            server.spoils = service != "permits" and i < count * SPOIL_SHARE
            of.servers.append(server)
    sound = {s.name for s in of.servers if not s.spoils}
    lost = collections.Counter()
    seen = collections.Counter()
    try:
        await of.start([
            gather_route("sweep", "shops.example", "/sweep/", SHARDS),
            single_route("permit", "permits.example", "/permit/", "permits")])
        end = time.monotonic() + BEFORE_S + SPOIL_S + AFTER_S

        async def call(index, host, prefix, limit_ms, pause_s):
            caller = Caller(of, of.gateways[index % of.size])
            while time.monotonic() < end:
                attempt, answer, why, before = await caller.ask(
                    host, f"{prefix}{of.new_attempt()}", limit_ms)
                seen[f"{prefix} {answer.status if answer else why}"] += 1
                ran = set(of.runs.get(attempt, []))
                if why == "closed" and before > 0 and ran and ran <= sound:
                    lost[caller.gateway.index] += 1
                    record.add("lost", caller.gateway.index, attempt, *ran)
                # A requester comes back after a pause.
                await asyncio.sleep(0.3 if answer is None else pause_s)

        calls = [call(i, "shops.example", "/sweep/", 1500, 0.13)
                 for i in range(24)]
        calls += [call(i, "permits.example", "/permit/", 6000, 0.1)
                  for i in range(16)]
        working = asyncio.gather(*calls)
        await asyncio.sleep(BEFORE_S)
        record.say(f"spoiling begins, {dict(lost)} lost so far")
        of.spoiling = TROUBLE
        await asyncio.sleep(SPOIL_S)
        of.spoiling = False
        record.say("spoiling ends")
        await working
        ends = [g.ends for g in of.gateways]
        record.say(f"answers: {dict(seen)}")
        record.say(f"ends by themselves, by gateway: {ends}")
        record.say(f"lost at sound servers, by gateway: {dict(lost)}")
        return max(lost.values(), default=0) > LOST_ALLOWED
    finally:
        await of.end()


main(FOLDER, play)
