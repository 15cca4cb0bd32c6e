"""Stand-ins: the platform's list of replicas, and replicas that answer as PROTOCOL.md tells."""

import asyncio
import json
import time

from fleet_2 import PORTS, read_body, read_head


class Platform:
    """Serves the list of replicas."""

    def __init__(self, fleet):
        self.host, _, port = fleet.cloud.partition(":")
        self.port = int(port)
        self.entries = {}
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    def add(self, replica, state="ready"):
        self.entries[replica.id] = {
            "id": replica.id, "service": replica.service, "address": replica.address,
            "zone": "mixco-sala", "version": replica.version, "slots": replica.slots,
            "state": state, "cold_remaining_ms": 0, "stage": "both", "models": replica.models_list(),
        }

    async def _serve(self, reader, writer):
        try:
            while True:
                await read_head(reader)
                body = json.dumps({"instances": list(self.entries.values()), "next": None}).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % len(body) + body
                )
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            writer.close()


class Request:
    def __init__(self, line, fields, body, replica):
        self.method, self.target, _ = line.split(" ", 2)
        self.fields = fields
        self.body = body
        self.id = fields.get("x-request-id", "")
        self.replica = replica


class Replica:
    """A sound replica of a plain service. ``answer`` may be replaced by a case."""

    def __init__(self, ip, service, number, record, slots=6, port=None):
        self.id = f"i-{service}-{number}"
        self.service = service
        self.ip = ip
        self.port = port or PORTS["app"]
        self.address = f"{ip}:{self.port}"
        self.version = "v1"
        self.slots = slots
        self.record = record
        self.runs = []
        self.born = int(time.time() * 1000)
        self.writers = set()
        self.server = None

    def models_list(self):
        return []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                request = Request(line, fields, body, self)
                keep = await self.handle(request, reader, writer)
                await writer.drain()
                if keep is False:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The case has ended while the replica was at work.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        target = request.fields.get("x-target-instance")
        if target is not None and target != self.id:
            writer.write(self.response(421, b"", [("X-Not-Executed", "1")], request))
            return True
        if request.target == "/health":
            writer.write(self.response(200, b"", [("X-Instance-Id", self.id)]))
            return True
        return await self.answer(request, reader, writer)

    async def answer(self, request, reader, writer):
        self.runs.append((time.monotonic(), request.id))
        self.record(f"replica {self.id} runs {request.id} {request.target}")
        body = f"ran {request.id} at {self.id}".encode()
        writer.write(self.signed(request, body))
        return True

    def signed(self, request, body, headers=()):
        return self.response(
            200, body, [("X-Response-Signature", f"{self.id}.{len(self.runs)}"), *headers], request
        )

    def response(self, status, body, headers=(), request=None):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if request is not None and request.id:
            lines.append(f"X-Request-Id: {request.id}")
        lines += [f"{name}: {value}" for name, value in headers]
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
