"""Stand-ins for the soak: metadata store, backend servers and a TCP proxy."""
import asyncio
import base64
import hashlib
import json
import os
import socket
import struct
import time
import urllib.parse

RECORD_BYTES = 16
SLOW_RUN_S = 0.7  # Longer than a stopping instance serves after its balancer.
LIMIT_WINDOW_S = 4.0  # The rate of requests to a server is taken over it.
COLD_OVERSHOOT, COLD_SLACK = 1.5, 5  # Tolerated above a cold server's rate.
TOLD_S = 1.0  # All instances have received a limit after this time.
ATTEMPT = "x-hickorycrank-attempt-id"
REMAINING = "x-hickorycrank-timeout-remaining"
EXPECTED = "x-hickorycrank-expected-instance"
SIGNATURE = "X-Hickorycrank-Response-Signature"
NOT_RUN_STATUSES = (408, 421, 429, 503)  # The request has not run.


async def read_request(reader):
    """Returns (method, target, headers, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        body = await reader.readexactly(length)
    return method, target, headers, body


def response(status, headers, body):
    """Builds the bytes of one HTTP response."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in headers.items():
        head += f"{name}: {value}\r\n"
    return head.encode() + b"\r\n" + body


def spoil(answer, attempt):
    """Returns a spoilt answer: broken off, with a status of which it would be
    wrong to say that the request has not run, or with one that does not exist.
    The attempt decides, so that a seed plays the same faults."""
    status = (None, 408, 429, 503, 0, 600, 999)[
        hashlib.sha256(attempt.encode()).digest()[0] % 7]
    if status is None:
        return answer[:-7]
    return answer.replace(b" 200 ", b" %03d " % status, 1)


def records_of(service, target):
    """Records that a shard holds for a request; equal at all its servers."""
    digest = hashlib.sha256(f"{service} {target}".encode()).digest() * 3
    return [digest[i:i + RECORD_BYTES]
            for i in range(0, 6 * RECORD_BYTES, RECORD_BYTES)]


class SocketTable:
    """Finds the owner of a loopback connection's other end. It asks the kernel
    for one socket: reading the table of all sockets for each new connection
    held up the stand-ins for so long that they seemed to be silent."""
    NETLINK_SOCK_DIAG, BY_FAMILY, REQUEST = 4, 20, 1  # linux/sock_diag.h
    ANY = 0xffffffff  # Any state, interface or cookie.
    INODE_AT = 16 + 68  # After the header, in struct inet_diag_msg.
    kernel = None

    @classmethod
    def inode(cls, local, remote):
        """Returns the inode of the socket local -> remote; 0 if none."""
        if cls.kernel is None:
            cls.kernel = socket.socket(socket.AF_NETLINK, socket.SOCK_RAW,
                                       cls.NETLINK_SOCK_DIAG)
        ends = struct.pack("!HH", local[1], remote[1])
        for address in (local[0], remote[0]):
            ends += socket.inet_aton(address) + bytes(12)
        body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0,
                           cls.ANY) + ends + \
            struct.pack("=III", 0, cls.ANY, cls.ANY)
        cls.kernel.send(struct.pack("=IHHII", 16 + len(body), cls.BY_FAMILY,
                                    cls.REQUEST, 1, 0) + body)
        reply = cls.kernel.recv(4096)
        if struct.unpack_from("=H", reply, 4)[0] != cls.BY_FAMILY:
            return 0
        return struct.unpack_from("=I", reply, cls.INODE_AT)[0]

    @staticmethod
    def inodes_of(process):
        """Returns the inodes of a process's sockets as text."""
        folder = f"/proc/{process}/fd"
        if not os.path.isdir(folder):
            return set()  # It has ended.
        inodes = set()
        for fd in os.listdir(folder):
            try:
                inodes.add(os.readlink(f"{folder}/{fd}"))
            except FileNotFoundError:
                pass  # It has just been closed.
        return inodes


class Proxy:
    """Forwards TCP connections, and harms them on demand. Those of one process
    may be cut: they are accepted, and hang or are reset."""
    cut_process, cut_how = None, "hang"  # hang or reset
    connections = []  # Of all proxies: (writer towards the client, state).

    def __init__(self):
        self.mode = "pass"  # pass, refuse, silent, one_way or slow
        self.writers = set()
        self.server = None
        self.port = 0

    @classmethod
    def cut(cls, process, how):
        """Cuts the open and all new connections of a process."""
        cls.cut_process, cls.cut_how = process, how
        for writer, state in cls.connections:
            state["cut"] = cls.is_cut(writer)

    @classmethod
    def heal(cls):
        cls.cut_process = None
        for writer, state in cls.connections:
            if state["cut"]:
                writer.transport.abort()

    @classmethod
    def is_cut(cls, writer):
        """Tells whether the client's end belongs to the cut process."""
        client = writer.get_extra_info("peername")
        if cls.cut_process is None or client is None:
            return False
        inode = SocketTable.inode(client, writer.get_extra_info("sockname"))
        return f"socket:[{inode}]" in SocketTable.inodes_of(cls.cut_process)

    async def start(self, target_port):
        self.target_port = target_port
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        if Proxy.is_cut(writer):
            if Proxy.cut_how == "hang":
                await asyncio.sleep(1)
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        # A cut may have begun while the other side was being connected.
        state = {"cut": Proxy.is_cut(writer)}
        Proxy.connections.append((writer, state))
        await asyncio.gather(self.pump(reader, far_writer, True, state),
                             self.pump(far_reader, writer, False, state))
        Proxy.connections.remove((writer, state))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, upwards, state):
        try:
            while data := await reader.read(65536):
                if state["cut"] and Proxy.cut_how == "hang":
                    continue
                if state["cut"]:
                    writer.transport.abort()
                    return
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                if self.mode == "one_way" and not upwards:
                    continue
                if self.mode == "slow":
                    await asyncio.sleep(0.08)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, RuntimeError):
            writer.transport.abort()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store: get by range, watch, history."""

    def __init__(self):
        self.items = {}
        self.log = []
        self.revision = 10
        self.floor = 10
        self.changed = asyncio.Event()
        self.mode = "up"  # up, busy or silent
        self.epoch = 1
        self.keep_copy()

    def put(self, key, value):
        self.revision += 1
        item = {"key": key, "revision": self.revision, "created": 1, "lease": 0,
                "value": base64.b64encode(value.encode()).decode()}
        self.items[key] = item
        self.announce(item)

    def delete(self, key):
        self.revision += 1
        if self.items.pop(key, None):
            self.announce({"key": key, "revision": self.revision,
                           "deleted": True})

    def announce(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def keep_copy(self):
        """Keeps the contents to which restore() returns."""
        self.copy = dict(self.items), self.revision

    def restore(self):
        """Returns to the copy, and gives its later revisions out again. Then
        all that was written since is written again by its writers."""
        lost = {k: v for k, v in self.items.items() if self.copy[0].get(k) != v}
        gone = [k for k in self.copy[0] if k not in self.items]
        self.items, self.revision = dict(self.copy[0]), self.copy[1]
        self.epoch += 1
        self.forget_history()
        for key, item in lost.items():
            self.put(key, base64.b64decode(item["value"]).decode())
        return gone

    def forget_history(self):
        self.floor = self.revision
        self.log = []

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        try:
            while request := await read_request(reader):
                status, body = await self.answer(request[1])
                writer.write(response(status, {"Store-Era": self.epoch},
                                      json.dumps(body).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def answer(self, target):
        if self.mode == "silent":
            await asyncio.sleep(30)
        if self.mode == "busy":
            return 503, {}
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        if path == "/kv-range":
            return 200, {"items": list(self.items.values()), "has-more": False,
                         "as-of": self.revision}
        after = int(query["after"])
        if after < self.floor or after > self.revision:
            return 410, {}
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        epoch = self.epoch
        while True:
            if epoch != self.epoch:
                return 410, {}
            events = [e for e in self.log if e["revision"] > after]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as-of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class BackendServer:
    """One backend server; it records what it ran for the checks."""

    def __init__(self, name, service, domain, rng, ledger):
        self.name, self.service, self.domain = name, service, domain
        self.rng, self.ledger = rng, ledger
        self.fault = None  # lose, garble, extra, stale, shed or pause
        self.leaving_since = None
        self.rate_limit = None  # Requests a second that its replies state.
        self.limited_since = 0.0
        self.arrivals = []  # Times of requests since the limit is stated.
        self.cold_until, self.cold_rate = 0.0, 0.0
        self.cold_arrivals = []  # Times of requests while it is cold.
        self.proxy = Proxy()
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        await self.proxy.start(self.server.sockets[0].getsockname()[1])

    def entry(self):
        return json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.proxy.port}",
            "zone": self.domain, "version": "v1", "slots": 3,
            "state": "draining" if self.leaving_since else "ready",
            "cold-remaining-ms": self.cold_ms(), "sequence": 1,
            "born": self.born})

    def become_cold(self, seconds, per_second):
        """Accepts at most some requests a second from now on."""
        self.cold_until = time.monotonic() + seconds
        self.cold_rate = per_second

    def cold_ms(self):
        return max(0, round((self.cold_until - time.monotonic()) * 1000))

    def count_cold_arrival(self):
        """Checks the rate of requests to a cold server."""
        now = time.monotonic()
        if now >= self.cold_until:
            return
        self.cold_arrivals = [t for t in self.cold_arrivals if now - t < 1]
        self.cold_arrivals.append(now)
        allowed = COLD_OVERSHOOT * self.cold_rate + COLD_SLACK
        if len(self.cold_arrivals) > allowed:
            self.ledger.fail(f"{self.name} got {len(self.cold_arrivals)} "
                             "requests in a second while it is cold")

    def state_limit(self, per_second):
        """Names a rate limit in all replies from now on; None ends it."""
        self.rate_limit, self.arrivals = per_second, []
        self.limited_since = time.monotonic()

    def count_arrival(self):
        """Checks the rate of requests from all instances together."""
        now = time.monotonic()
        self.arrivals = [t for t in self.arrivals if now - t < LIMIT_WINDOW_S]
        self.arrivals.append(now)
        told = now - self.limited_since > LIMIT_WINDOW_S + TOLD_S
        allowed = 1.5 * self.rate_limit * LIMIT_WINDOW_S + 5
        if told and len(self.arrivals) > allowed and self.ledger.calm(now):
            self.ledger.fail(
                f"{self.name} got {len(self.arrivals)} requests in "
                f"{LIMIT_WINDOW_S} s and states {self.rate_limit} a second")

    async def accept(self, reader, writer):
        try:
            while request := await read_request(reader):
                if not await self.serve(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.transport.abort()

    async def serve(self, request, writer):
        _, target, headers, body = request
        attempt = headers.get(ATTEMPT, "")
        echo = {"X-Hickorycrank-Attempt-Id": attempt}
        if headers.get(EXPECTED) != self.name:
            writer.write(response(421, echo, b""))
            return True
        if self.rate_limit is not None:
            echo["Server-Limit"] = str(self.rate_limit)
            self.count_arrival()
        self.count_cold_arrival()
        if self.cold_ms():
            echo["X-Hickorycrank-Cold-Remaining"] = self.cold_ms()
        if self.fault == "shed" and self.rng.random() < 0.5:
            writer.write(response(
                503, {**echo, "X-Hickorycrank-Not-Executed": "1"}, b""))
            return True
        if self.fault == "pause":
            await asyncio.sleep(0.2)
        self.ledger.ran(self, attempt, target, body, headers)
        await asyncio.sleep(SLOW_RUN_S if "slow=1" in target else
                            self.rng.uniform(0.002, 0.02))
        signature = self.ledger.sign(self.service, self.name, attempt)
        answer = b"".join(records_of(self.service, target))
        whole = response(200, {**echo, SIGNATURE: signature}, answer)
        earlier, writer.earlier = getattr(writer, "earlier", None), whole
        if self.fault == "stale" and earlier and self.rng.random() < 0.3:
            whole = earlier + whole
        if self.fault == "lose" and self.rng.random() < 0.3:
            return False
        if self.fault == "garble" and self.rng.random() < 0.3:
            writer.write(spoil(whole, attempt))
            await writer.drain()
            return False
        writer.write(whole)
        if self.fault == "extra" and self.rng.random() < 0.3:
            writer.write(whole)
        await writer.drain()
        return True
