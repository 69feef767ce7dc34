"""A client of the soak: HTTP/1.1 on connections that it keeps."""
import asyncio


async def exchange(reader, writer, method, target, headers, body):
    """Sends one request and reads its response: (status, headers, body)."""
    head = f"{method} {target} HTTP/1.1\r\n"
    if body:
        headers["Content-Length"] = str(len(body))
    head += "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    writer.write(head.encode() + b"\r\n" + body)
    answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = answer.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.lower()] = value.strip()
    content = await reader.readexactly(int(fields.get("content-length", "0")))
    return int(lines[0].split(" ")[1]), fields, content


class Connections:
    """A client's open connections, used until the other side ends them."""

    def __init__(self):
        self.open = {}

    async def ask(self, ip, port, method, target, headers, body, timeout):
        """Returns (status, headers, body), or None without an answer."""
        async def run():
            reader, writer = self.open.pop((ip, port), (None, None))
            if writer is None or reader.at_eof() or writer.is_closing():
                reader, writer = await asyncio.open_connection(ip, port)
            try:
                answer = await exchange(reader, writer, method, target,
                                        headers, body)
            except BaseException:
                writer.transport.abort()
                raise
            if answer[1].get("connection", "").lower() == "close":
                writer.transport.abort()
            else:
                self.open[ip, port] = (reader, writer)
            return answer
        try:
            return await asyncio.wait_for(run(), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None


async def ask(ip, port, method, target):
    """Sends one request without a body on a connection of its own."""
    client = Connections()
    answer = await client.ask(ip, port, method, target, {}, b"", 1.0)
    for _, writer in client.open.values():
        writer.transport.abort()
    return answer
