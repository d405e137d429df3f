"""Stand-ins for clients, disk servers, discovery and the platform, for the cases of this review.

Standard library only. Everything listens on free ports of 127.0.0.1, and a temporary folder holds the
configuration. A case's own file beside this folder has its order of events and its check.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case can't be played on this machine: exit 2."""


class Record:
    """record.txt: one line for each thing that was sent, answered or run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write("%9.4f  %s\n" % (self.now(), text))
        self.file.flush()


def settings(classes, plans, **more):
    """The settings of a small deployment, named as in the simulator's first message."""
    base = {
        "allowed": {"attempts-cap": 3, "cancel": True, "connect-timeout": 250000, "idle-close": 30000000,
                    "max-retry-after": 1000000, "may-duplicate": False, "peers": False, "probes": True,
                    "retry-after": True, "streams-per-conn": 1},
        "balancers": 1, "index": 0, "discovery": "on_request", "resolution": 2000,
        "family-info": {"cold-units": 5.0, "largest": 8, "mean-units": 2.0, "meter-period": 1000000,
                        "n-shards": 4, "says-others": True, "share-worth": 0.3, "spare-worth": 0.1},
        "rules": {"answer-slack": 8000, "ask-every": 10000000, "cold": 18000000, "cold-share": 0.19,
                  "fall": 2000000, "stop-sending-within": 250000, "tip-multiple": 2.5},
        "request-classes": classes, "policies": plans,
    }
    for path, value in more.items():
        at = base
        *parents, last = path.split("__")
        for name in parents:
            at = at[name.replace("_", "-")]
        at[last.replace("_", "-")] = value
    return base


def request_class(name, effect, aim_s, deadline_s, **more):
    out = {"name": name, "effect": effect, "group": "cell", "aim": int(aim_s * 1e6),
           "give-up": int(deadline_s * 1e6), "dedup-window": 6000000, "gain": 2.0, "late-worth": 0.1,
           "streamed": False}
    out.update(more)
    return out


PLAN = {"name": "priority", "nominal": 100.0, "floor-rate": 100.0, "shares": 3.0, "worth-factor": 0.9,
        "ceiling-rate": 0.0, "limit-burst": 0.0, "tolerance": 0.0}


class Discovery:
    """GET /v1/servers, whole or as a watch, as PROTOCOL.md has it."""

    def __init__(self, record):
        self.record = record
        self.generation = 1
        self.entries = {}
        self.changes = []  # (generation, entry)
        self.watches = set()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, entry):
        self.generation += 1
        self.entries[entry["instanceId"]] = entry
        self.changes.append((self.generation, entry))
        for queue in list(self.watches):
            queue.put_nowait([entry])

    def whole(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ")[1]
                self.calls += 1
                self.record("discovery: %s" % target)
                if "follow=1" not in target:
                    body = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

                def line(value):
                    text = (json.dumps(value) if value is not None else "").encode() + b"\n"
                    writer.write(b"%x\r\n" % len(text) + text + b"\r\n")

                since = re.search(r"since=(-?\d+)", target)
                known = int(since.group(1)) if since else -1
                queue = asyncio.Queue()
                self.watches.add(queue)
                try:
                    if known < 1:
                        line(self.whole())
                    else:
                        line({"generation": self.generation, "reset": False,
                              "instances": [e for g, e in self.changes if g > known]})
                    while True:
                        try:
                            changed = await asyncio.wait_for(queue.get(), 2.0)
                            line({"generation": self.generation, "reset": False, "instances": changed})
                        except asyncio.TimeoutError:
                            line(None)
                        await writer.drain()
                finally:
                    self.watches.discard(queue)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Node:
    """One disk server. `answer(node, request, writer)` writes the answer; None: an ordinary one."""

    def __init__(self, record, name, cell, answer=None, zone="hall-a"):
        self.record = record
        self.name = name
        self.cell = cell
        self.zone = zone
        self.answer = answer
        self.ran = []  # (time, id) in the order in which requests began
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, lifecycle="Ready", port=None, started=0):
        return {"instanceId": self.name, "hostPort": "127.0.0.1:%d" % (port or self.port), "zone": self.zone,
                "machineType": "standard", "cell": self.cell, "lifecycle": lifecycle, "weight": 1.0,
                "startedAtMs": started}

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                request = await read_request(reader)
                self.ran.append((self.record.now(), request.id))
                self.record("%s: runs %s %s, id %s, X-Budget-Ms %s" % (
                    self.name, request.method, request.target, request.id, request.fields.get("x-budget-ms")))
                if self.answer is None:
                    self.ok(request, writer)
                else:
                    await self.answer(self, request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def body(self, request):
        return body_of(self.name, request.id)

    def ok(self, request, writer):
        body = self.body(request)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


def body_of(node, call_id):
    return ("made by %s for %s; the end" % (node, call_id)).encode()


class Message:
    pass


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    out = Message()
    lines = head.split("\r\n")
    out.method, out.target, _ = lines[0].split(" ")
    out.fields = {l.split(":", 1)[0].lower(): l.split(":", 1)[1].strip() for l in lines[1:] if ":" in l}
    out.id = out.fields.get("x-call-id")
    out.body = await reader.readexactly(int(out.fields.get("content-length", 0)))
    return out


def request_bytes(call_id, class_name, volume, piece, method="GET", body=b"", budget_ms=2000, units=2, shard=0,
                  hosts=1, key=None, plan="priority"):
    lines = ["%s /api/%016x/%016x HTTP/1.1" % (method, volume, piece), "Host: app.svc", "X-Call-Id: " + call_id,
             "X-Call-Class: " + class_name, "Tier: " + plan, "X-Budget-Ms: %d" % budget_ms,
             "IO-Info: units=%d,shard=%d,hosts=%d" % (units, shard, hosts)]
    if key:
        lines.append("Idempotency-Key: " + key)
    if method != "GET":
        lines.append("Content-Length: %d" % len(body))
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """One connection of a client; one request at a time."""

    def __init__(self, record, address, name="client"):
        self.record, self.address, self.name = record, address, name

    async def connect(self):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        return self

    def send(self, data, note):
        self.record("%s: sends %s" % (self.name, note))
        self.writer.write(data)

    async def read(self, wait):
        """(status, fields, body), or None if no whole answer came within `wait` seconds."""
        try:
            return await asyncio.wait_for(self._read(), wait)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
            self.record("%s: no answer: %s" % (self.name, type(error).__name__))
            return None

    async def _read(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        status = int(lines[0].split(" ")[1])
        fields = {l.split(":", 1)[0].lower(): l.split(":", 1)[1].strip() for l in lines[1:] if ":" in l}
        body = await self.reader.readexactly(int(fields.get("content-length", 0)))
        self.record("%s: answered %d, body of %d bytes %r" % (self.name, status, len(body), body[:120]))
        return status, fields, body

    def close(self):
        self.record("%s: closes" % self.name)
        self.writer.close()


class Scheduler:
    """The `run` command of deploy/balancer.toml in a process of its own."""

    def __init__(self, record, discovery, config_settings, known=None, memory_mb=64, sockets=512, name="n0"):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="heronworks-review-")
        self.listen = "127.0.0.1:%d" % free_port()
        self.config = {"name": name, "listen": self.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                       "known": known, "settings": config_settings}
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "([^"]*)"', file.read(), re.M).group(1)
        if not os.path.exists(os.path.join(ROOT, command.split()[1])):
            raise CannotRun("%s is not built" % command.split()[1])
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        environment = dict(os.environ, LB_NAME=self.config["name"], LB_LISTEN=self.listen,
                           LB_DISCOVERY=self.config["discovery"], LB_CONFIG=path, TMPDIR=self.folder)
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        self.record("platform: starts the scheduler at %s" % self.listen)

    async def ready(self, wait=10.0):
        end = time.monotonic() + wait
        while time.monotonic() < end:
            try:
                client = await Client(lambda text: None, self.listen).connect()
                client.writer.write(b"GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                answer = await client.read(1.0)
                client.writer.close()
                if answer and answer[0] == 200:
                    self.record("platform: the scheduler is ready")
                    return
            except ConnectionError:
                pass
            if self.process.poll() is not None:
                raise CannotRun("the scheduler ended at its start with %s" % self.process.returncode)
            await asyncio.sleep(0.05)
        raise CannotRun("the scheduler was not ready within %s s" % wait)

    def signal(self, number):
        self.record("platform: %s to the scheduler" % signal.Signals(number).name)
        self.process.send_signal(number)

    def memory_mb(self, field="VmRSS"):
        with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as file:
            return int(re.search(field + r":\s+(\d+) kB", file.read()).group(1)) / 1024

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_port():
    import socket
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def run_case(folder, play, limit=110):
    """Plays `play(record, schedulers)`, which returns the list of breaks. Exits with 0, 1 or 2."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the schedulers too, by `finally`
    record = Record(folder)
    schedulers = []
    try:
        breaks = asyncio.run(asyncio.wait_for(play(record, schedulers), limit))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record("the case could not run: %s %s" % (type(error).__name__, error))
        print("could not run: %s %s" % (type(error).__name__, error))
        sys.exit(2)
    finally:
        for scheduler in schedulers:
            scheduler.end()
    for text in breaks:
        record("BROKEN: " + text)
        print("broken: " + text)
    record("result: %s" % ("the rule was broken" if breaks else "the rule held"))
    print("the rule was broken" if breaks else "the rule held")
    sys.exit(1 if breaks else 0)
