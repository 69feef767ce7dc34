#!/usr/bin/env python3
"""Runs real gateways against stand-ins while faults are injected from outside,
and checks what callers and backend servers see. Exit code 1: a promise broke.
"""
import argparse
import asyncio
import collections
import fcntl
import json
import math
import os
import random
import signal
import struct
import sys
import tempfile
import termios
import time

from client import Connections, ask
from stand_ins import (ATTEMPT, BackendServer, NOT_RUN_STATUSES, Proxy,
                       RECORD_BYTES, SIGNATURE, Store, records_of)

DOMAINS = ["a", "b", "c"]
FRONT, READY, CONTROL, HEARTBEAT = 18080, 18081, 18082, 18083
TOP_K = 5
TIMEOUT_S = 1.5
DRAIN_S = 3.0    # A leaving server gets no new work after this time.
STABLE_S = 4.0   # Without impairment of the store or an instance.
CUT_SLACK_S = 0.5
APPLY_S = 3.0    # A version is in force at all instances after this time.
LOST_VERSIONS = 20  # More than all other writes until the next version.
LEASE_S = 2.5    # Entries of servers that have ended lapse after this time.
RECOVER_S = 4.0  # Callers of an instance without servers are served after this.
STRAND_SHARE = 0.1  # Of the faults are followed by a loss of all servers.
LOAD_SHARE = 0.15  # Of the faults are followed by a burst or an evacuation.
SLOW_SHARE = 0.2  # Of the requests that are sent once.
EVACUATION_S = 3.0  # No work reaches an evacuated domain after this time.
COLD_S = 3.0     # A server that has just been added is cold for this time.
COLD_RATE = 4.0  # Requests per second that a cold server accepts.
BURST_S = 2.0    # Callers send without a pause for this time.
BALANCER_S = 2.0  # A stopping instance gets new requests for this time.
PIPE_BYTES = 4096      # For the log of the first instance, which nobody reads.
LOG_LINE_BYTES = 300   # A line about a request, which a full pipe cannot take.


class Ledger:
    """What backend servers ran, and the promises that it breaks."""

    def __init__(self):
        self.runs = collections.defaultdict(list)
        self.violations = []
        self.sent = {}
        self.calm_since = time.monotonic()
        self.evacuated = {}  # Start of the evacuation, by failure domain.

    def sign(self, service, server, attempt):
        return f"{service}.{server}.{attempt}"

    def ran(self, server, attempt, target, body, headers):
        now = time.monotonic()
        self.runs[attempt].append((server.service, server.name))
        known = self.sent.get(attempt)
        if known is None or known[:2] != (target, body):
            self.fail(f"{server.name} ran {attempt} that nobody sent so")
        left = server.leaving_since
        if left and now - left > DRAIN_S and self.calm(now):
            self.fail(f"{server.name} got work {now - left:.1f} s after it "
                      "reported that it leaves")
        since = self.evacuated.get(server.domain, math.inf)
        if now - since > EVACUATION_S and self.calm(now):
            self.fail(f"{server.name} got work {now - since:.1f} s after "
                      f"the evacuation of {server.domain}")

    def calm(self, now):
        return now - self.calm_since > STABLE_S

    def fail(self, text):
        self.violations.append(text)
        print("VIOLATION", text, flush=True)


class Gateway:
    """One real process with its settings."""

    def __init__(self, options, index, folder, store_port, log):
        self.program, self.log = options.program, log
        # Several runs, also of one seed, may go side by side.
        network = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.ip = f"{network}.{index + 1}"
        self.settings = os.path.join(folder, f"settings-{index}.toml")
        seeds = ", ".join(f'"{network}.{i + 1}:{CONTROL}"' for i in range(3))
        with open(self.settings, "w") as out:
            out.write(f"""node = "g{index}"
zone = "{DOMAINS[index % 3]}"
ip-address = "{self.ip}"
internal-port-range = [{HEARTBEAT}, {HEARTBEAT}]
seeds = [{seeds}]
[listen-addresses]
front = "{self.ip}:{FRONT}"
readiness-address = "{self.ip}:{READY}"
control = "{self.ip}:{CONTROL}"
[bounds]
grace-period-s = 6
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-slack = 54
cold-overshoot = 1.5
cold-slack = 5
[limits]
cpu-share = {0.12 if index else 0.5}
cores = 1
memory-mb = {160 if index else 512}
file-descriptors = 4100
link-mbps = 26.0
[platform]
address = "127.0.0.1:{store_port}"
""")
        self.process = None
        self.output = None  # A pipe that nobody reads, if set.
        self.called_until = math.inf  # The balancer passes requests on until then.
        self.harmed_at = 0.0  # Last fault that no planned stop explains.

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            self.program, "gateway", "--settings", self.settings,
            stdout=self.output or self.log, stderr=self.log)
        self.started_at = time.monotonic()

    @property
    def stopping(self):
        return self.called_until != math.inf

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    def reload(self):
        """Sends SIGHUP, which ends a process whose program is not loaded yet;
        the platform restarts such a process, the soak leaves it alone."""
        if time.monotonic() - self.started_at > 0.1:
            self.signal(signal.SIGHUP)

    async def ready(self):
        status = await ask(self.ip, READY, "GET", "/readiness")
        return status is not None and status[0] == 200


class Soak:
    """A deployment, its callers and the faults."""

    def __init__(self, options, folder, log):
        self.rng = random.Random(options.seed)
        self.cut_rng = random.Random(f"{options.seed} cuts")
        self.options = options
        self.ledger = Ledger()
        self.store, self.store_proxy = Store(), Proxy()
        self.folder, self.log = folder, log
        self.servers, self.gateways = [], []
        self.generation, self.version = 0, 0
        self.shard_sets = []
        self.counts = collections.Counter()
        self.stop = False
        self.number = 0
        self.burst_until = 0.0

    def shards(self):
        return [f"g{self.generation}-s{i}" for i in range(4)]

    def publish(self):
        self.version += self.rng.randint(1, 3)
        self.shard_sets.append(set(self.shards()))
        route = {"host": "wide.example", "kind": "safe", "priority": 1,
                 "timeout-ms": 1500, "target-latency-ms": 150,
                 "max-attempts": 2}
        routes = [
            {**route, "name": "wide", "prefix": "/wide/", "top-k": TOP_K,
             "gather": self.shards(), "min-shard-fraction": 0.75},
            {**route, "name": "urgent", "prefix": "/urgent/", "priority": 0,
             "target-latency-ms": 60, "top-k": TOP_K, "gather": self.shards(),
             "min-shard-fraction": 0.75},
            {**route, "name": "newest", "prefix": f"/v{self.version}/",
             "host": "newest.example", "service": "single"},
            {**route, "name": "once", "prefix": "/once/", "kind": "unsafe",
             "host": "once.example", "service": "single"}]
        services = [{"name": s, "health-path": "/health", "protocol": "h1",
                     "max-connections": 30, "tls": False,
                     "cold-start-s": COLD_S, "cold-per-s": COLD_RATE}
                    for s in self.shards() + ["single"]]
        self.store.put("op/config", json.dumps(
            {"version": self.version, "routes": routes, "services": services,
             "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                        "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}))

    async def add_server(self, service, domain, cold=False):
        self.number += 1
        server = BackendServer(f"i-{self.number}", service, domain, self.rng,
                               self.ledger)
        if cold:
            server.become_cold(COLD_S, COLD_RATE)
        await server.start()
        self.servers.append(server)
        self.store.put(f"servers/{server.name}", server.entry())

    async def leave(self, server):
        if server.leaving_since:
            return
        server.leaving_since = time.monotonic()
        self.store.put(f"servers/{server.name}", server.entry())
        await asyncio.sleep(DRAIN_S + 2)
        self.store.delete(f"servers/{server.name}")
        server.server.close()
        server.proxy.server.close()
        self.servers.remove(server)

    async def start(self):
        await self.store.start()
        await self.store_proxy.start(self.store.port)
        for service in self.shards() + ["single"]:
            for domain in DOMAINS:
                await self.add_server(service, domain)
        self.store.put("servers/other", "no JSON")
        self.publish()
        for index in range(3):
            gateway = Gateway(self.options, index, self.folder,
                              self.store_proxy.port, self.log)
            if index == 0:
                # Its log fills a small pipe, which must hold up no request.
                self.unread, gateway.output = os.pipe()
                fcntl.fcntl(gateway.output, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
            await gateway.start()
            self.gateways.append(gateway)
        await self.wait_ready()

    async def wait_ready(self):
        for _ in range(100):
            if all([await g.ready() for g in self.gateways]):
                return
            await asyncio.sleep(0.1)
        self.ledger.fail("an instance is not ready 10 s after its start")

    async def caller(self, index):
        rng = random.Random(f"{self.options.seed} {index}")
        client = Connections()
        while not self.stop:
            gateway = rng.choice(self.gateways)
            if time.monotonic() < gateway.called_until:
                await self.call(rng, gateway, client)
            if time.monotonic() > self.burst_until:
                await asyncio.sleep(rng.uniform(0.02, 0.08))

    async def call(self, rng, gateway, client):
        attempt = f"{rng.getrandbits(64):016x}"
        wide = rng.random() < 0.7
        kind = rng.choice(["wide", "urgent"]) if wide else "once"
        host = "wide" if wide else "once"
        # A slow request is in progress when a stopping instance closes.
        slow = not wide and rng.random() < SLOW_SHARE
        target = f"/{kind}/{rng.getrandbits(32):x}?q=1" + "&slow=1" * slow
        body = b"" if wide else attempt.encode()
        self.ledger.sent[attempt] = (target, body)
        begin = time.monotonic()
        answer = await client.ask(
            gateway.ip, FRONT, "GET" if wide else "POST", target,
            {"Host": f"{host}.example", ATTEMPT: attempt,
             "X-Hickorycrank-Timeout-Remaining": "2000"}, body, 2.5)
        took = time.monotonic() - begin
        self.check(attempt, kind, target, answer, gateway, begin, took)

    def check(self, attempt, kind, target, answer, gateway, begin, took):
        runs = self.ledger.runs.get(attempt, [])
        harmed = gateway.harmed_at > begin - 1.0
        if kind == "once" and len(runs) > 1:
            self.ledger.fail(f"{attempt} ran {len(runs)} times")
        if answer is None:
            self.counts[f"{kind} none"] += 1
            if not harmed:
                self.ledger.fail(f"{attempt} got no answer in {took:.1f} s")
            return
        status, fields, content = answer
        self.counts[f"{kind} {status}"] += 1
        if took > TIMEOUT_S + CUT_SLACK_S and not harmed:
            self.ledger.fail(f"{attempt} was answered after {took:.1f} s")
        if status in NOT_RUN_STATUSES:
            self.refused.append(attempt)
        if not 200 <= status <= 599:
            self.ledger.fail(f"{attempt} got the status {status}")
        if status == 404:
            self.ledger.fail(f"{attempt} got 404 for a route in force")
        if status != 200:
            return
        if kind == "once":
            expected = b"".join(records_of("single", target))
            if attempt not in fields.get(SIGNATURE.lower(), "") or \
                    content != expected:
                self.ledger.fail(f"{attempt} got an answer of another request")
            return
        self.check_merged(attempt, target, fields, content)

    def check_merged(self, attempt, target, fields, content):
        parts = [p.strip() for p in
                 fields.get("x-hickorycrank-part-signatures", "").split(",")]
        services = [p.split(".")[0] for p in parts]
        missing = int(fields.get("x-hickorycrank-missing-parts", "0"))
        if any(p.split(".")[-1] != attempt for p in parts) or \
                len(set(services)) != len(services):
            self.ledger.fail(f"{attempt} got parts of another request")
            return
        if not any(set(services) <= s and len(services) + missing == len(s)
                   for s in self.shard_sets):
            self.ledger.fail(f"{attempt} got parts of two configurations")
        if len(services) < 3:
            self.ledger.fail(f"{attempt} got fewer shards than allowed")
        records = sorted((r for s in services for r in records_of(s, target)),
                         reverse=True)
        if content != b"".join(records[:TOP_K]) or \
                len(content) % RECORD_BYTES:
            self.ledger.fail(f"{attempt} got wrong records")
        self.counts["partial"] += 1 if missing else 0

    # Faults. Each returns after its end.
    async def restart(self, gateway, number):
        planned = number == signal.SIGTERM
        if planned:
            gateway.called_until = time.monotonic() + BALANCER_S
        else:
            gateway.harmed_at = time.monotonic()
        gateway.signal(number)
        await gateway.process.wait()
        await asyncio.sleep(self.rng.uniform(0.05, 0.5))
        if not planned:
            gateway.harmed_at = time.monotonic()
        gateway.called_until = 0.0
        await gateway.start()
        for _ in range(60):
            if await gateway.ready():
                break
            await asyncio.sleep(0.1)
        gateway.called_until = math.inf
        self.ledger.calm_since = time.monotonic()

    async def freeze(self, gateway):
        gateway.harmed_at = time.monotonic()
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.3, 2.5))
        gateway.signal(signal.SIGCONT)
        gateway.harmed_at = time.monotonic() + 1.0
        self.ledger.calm_since = time.monotonic()

    async def harm_server(self, server):
        fault = self.rng.choice(["lose", "garble", "extra", "stale", "shed",
                                 "pause", "limit"])
        if fault == "limit":
            server.state_limit(round(self.rng.uniform(0, 8), 1))
            await asyncio.sleep(self.rng.uniform(2, 8))
            server.state_limit(None)
            return
        server.fault = fault
        await asyncio.sleep(self.rng.uniform(1, 3))
        server.fault = None

    async def harm_link(self, proxy):
        proxy.mode = self.rng.choice(["refuse", "silent", "one_way", "slow"])
        if proxy.mode == "refuse":
            proxy.reset()
        await asyncio.sleep(self.rng.uniform(0.5, 2.5))
        proxy.mode = "pass"
        proxy.reset()
        if proxy is self.store_proxy:
            self.ledger.calm_since = time.monotonic()

    async def strand(self):
        """Cuts one instance off from all servers; its peers reach them. Returns
        when it must be serving its callers through them."""
        gateway = self.cut_rng.choice(self.gateways)
        Proxy.cut(gateway.process.pid, self.options.cut)
        await asyncio.sleep(RECOVER_S)

    async def strand_when_stable(self):
        await asyncio.sleep(STABLE_S)
        await self.strand()

    async def strand_for_a_while(self):
        if Proxy.cut_process is None:
            await self.strand()
            await asyncio.sleep(self.cut_rng.uniform(0, 2))
            Proxy.heal()

    async def evacuate(self, seconds):
        """Sends nothing to the servers of one failure domain for a while."""
        domain = self.cut_rng.choice(DOMAINS)
        if self.ledger.evacuated:
            return
        self.store.put(f"op/evacuate/{domain}", "{}")
        self.ledger.evacuated[domain] = time.monotonic()
        await asyncio.sleep(seconds)
        self.ledger.evacuated.clear()
        self.store.delete(f"op/evacuate/{domain}")

    async def burst(self):
        self.burst_until = time.monotonic() + BURST_S
        await asyncio.sleep(BURST_S)

    async def harm_store(self):
        self.store.mode = self.rng.choice(["busy", "silent"])
        await asyncio.sleep(self.rng.uniform(0.5, 3))
        self.store.mode = "up"
        if self.rng.random() < 0.3:
            self.store.forget_history()
        if self.rng.random() < 0.5:
            await self.restore_store()
        self.ledger.calm_since = time.monotonic()

    async def restore_store(self):
        """Returns the store from its copy; leases of lost servers lapse."""
        gone = self.store.restore()
        self.ledger.calm_since = time.monotonic()
        await asyncio.sleep(LEASE_S)
        for key in gone:
            if not any(key == f"servers/{s.name}" for s in self.servers):
                self.store.delete(key)

    async def lose_versions(self):
        """Restores the store from a copy that lacks some versions. Only the
        last one is written again, so that the next ones get their revisions."""
        self.store.keep_copy()
        for _ in range(LOST_VERSIONS):
            self.publish()
        await asyncio.sleep(APPLY_S)
        await self.restore_store()

    async def check_newest(self):
        """A version is in force in time, also after a restored store."""
        self.publish()
        path = f"/v{self.version}/x"
        await asyncio.sleep(APPLY_S)
        for gateway in self.gateways:
            attempt = f"{self.rng.getrandbits(64):016x}"
            self.ledger.sent[attempt] = (path, b"")
            client = Connections()
            answer = await client.ask(
                gateway.ip, FRONT, "GET", path,
                {"Host": "newest.example", ATTEMPT: attempt,
                 "X-Hickorycrank-Timeout-Remaining": "2000"}, b"", 2.5)
            if answer is None or answer[0] != 200:
                self.ledger.fail(f"version {self.version} is not in force "
                                 f"{APPLY_S} s after its change: {answer}")

    async def repartition(self):
        old = [s for s in self.servers if s.service in self.shards()]
        self.generation += 1
        for service in self.shards():
            for domain in DOMAINS:
                await self.add_server(service, domain)
        await asyncio.sleep(1)
        if self.rng.random() < 0.5:
            self.store.keep_copy()  # Which then lacks this version.
        self.publish()
        await asyncio.sleep(3)
        await asyncio.gather(*(self.leave(s) for s in old))

    async def replace_server(self):
        server = self.rng.choice(self.servers)
        await self.add_server(server.service, server.domain, cold=True)
        await self.leave(server)

    async def faults(self):
        """Starts faults that overlap until the time is over."""
        running = set()
        end = time.monotonic() + self.options.seconds
        repartitioning = None
        while time.monotonic() < end:
            kind = self.rng.randrange(9)
            gateway = self.rng.choice(self.gateways)
            free = not gateway.stopping and gateway.harmed_at < \
                time.monotonic() - 3 and sum(g.stopping for g in
                                             self.gateways) == 0
            fault = None
            if kind == 0 and free:
                fault = self.restart(gateway, signal.SIGTERM)
            elif kind == 1 and free:
                fault = self.restart(gateway, signal.SIGKILL)
            elif kind == 2 and free:
                fault = self.freeze(gateway)
            elif kind in (3, 4):
                fault = self.harm_server(self.rng.choice(self.servers))
            elif kind == 5:
                fault = self.harm_link(self.rng.choice(self.servers).proxy)
            elif kind == 6:
                fault = self.rng.choice([self.harm_store, lambda:
                                         self.harm_link(self.store_proxy)])()
            elif kind == 7:
                fault = self.replace_server()
            elif repartitioning is None or repartitioning.done():
                fault = repartitioning = asyncio.ensure_future(
                    self.repartition())
            if fault is not None:
                running.add(asyncio.ensure_future(fault))
            if self.cut_rng.random() < STRAND_SHARE:
                running.add(asyncio.ensure_future(self.strand_for_a_while()))
            elif self.cut_rng.random() < LOAD_SHARE:
                running.add(asyncio.ensure_future(self.cut_rng.choice(
                    [self.burst, lambda: self.evacuate(EVACUATION_S + 2)])()))
            gateway.reload()
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        await asyncio.gather(*running)

    def check_unread_log(self):
        """The calm phase shows service only if the pipe is full before it."""
        buffer = fcntl.ioctl(self.unread, termios.FIONREAD, struct.pack("i", 0))
        used = struct.unpack("i", buffer)[0]
        if PIPE_BYTES - used > LOG_LINE_BYTES:
            self.ledger.fail(f"the unread log has {used} bytes in its pipe of "
                             f"{PIPE_BYTES}")

    async def drain_while_calm(self):
        """One server of each service leaves; no fault excuses later work."""
        services = self.shards() + ["single"]
        await asyncio.gather(*(
            self.leave(next(s for s in self.servers if s.service == service
                            and not s.leaving_since))
            for service in services))

    def limit_some(self):
        """One server of each service that does not leave while calm."""
        for service in self.shards() + ["single"]:
            staying = [s for s in self.servers if s.service == service
                       and not s.leaving_since]
            staying[-1].state_limit(round(self.rng.uniform(0.5, 3), 1))

    async def run(self):
        self.refused = []
        await self.start()
        callers = [asyncio.ensure_future(self.caller(i)) for i in range(8)]
        await self.faults()
        self.limit_some()
        await self.lose_versions()
        await asyncio.gather(self.evacuate(STABLE_S + RECOVER_S),
                             self.strand_when_stable())
        self.check_unread_log()
        self.counts.clear()
        await asyncio.gather(self.drain_while_calm(), self.check_newest())
        calm = dict(self.counts)
        self.stop = True
        Proxy.heal()
        await asyncio.gather(*callers)
        for attempt in self.refused:
            if self.ledger.runs.get(attempt) and \
                    "once" in self.ledger.sent[attempt][0]:
                self.ledger.fail(f"{attempt} was refused as not run, and ran")
        good = sum(calm.get(f"{kind} 200", 0)
                   for kind in ("wide", "urgent", "once"))
        total = sum(v for k, v in calm.items() if k != "partial")
        if good < 0.99 * total or not good:
            self.ledger.fail(f"after the faults {good} of {total} are served")
        print(f"seed {self.options.seed}: {len(self.ledger.sent)} requests, "
              f"calm {calm}, {len(self.ledger.violations)} violations")
        return 1 if self.ledger.violations else 0

    async def run_and_end(self):
        """Runs and ends the processes that were started, whatever happens."""
        try:
            return await self.run()
        finally:
            for gateway in self.gateways:
                gateway.signal(signal.SIGKILL)
                await gateway.process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="build/src/hickorycrank")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--cut", choices=["reset", "hang"], default="reset",
                        help="what connections of a cut instance do")
    parser.add_argument("--log", help="file for the gateways' logs")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, \
            open(options.log or os.devnull, "w") as log:
        return asyncio.run(Soak(options, folder, log).run_and_end())


if __name__ == "__main__":
    sys.exit(main())
