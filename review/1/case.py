"""A disk server sends some answers a second time, some milliseconds late, over a network with the site's delays."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import *  # noqa: E402,F403
import queue  # noqa: E402
import random  # noqa: E402
import socket  # noqa: E402
import threading  # noqa: E402

DELAY = 0.0004             # s that the relay waits; with its own work a message takes 0.5 to 0.7 ms one way
MOST_DELAY = 0.00078       # the site file has cross_ms = [0.42, 0.78]; what took longer here is not judged
COPY_AFTER = (0.001, 0.012)  # s from an answer to its copy, drawn evenly
SERVICE = (0.001, 0.003)   # s that a request takes
CLIENTS = 10
RATE = 200.0               # requests a second of all clients
SECONDS = 15
SEED = 1


class Relay:
    """The network: everything arrives DELAY after it was sent, in order, in both directions."""

    def __init__(self, port, sent):
        self.port_behind = port
        self.sent = sent      # when the disk server sent an answer: its id, and if it is the copy
        self.took = {}        # s by what was passed on: ("request", id), ("answer", id), ("copy", id)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            far = socket.create_connection(("127.0.0.1", self.port_behind))
            for a, b in ((near, far), (far, near)):
                a.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                line = queue.SimpleQueue()
                threading.Thread(target=self.take, args=(a, line), daemon=True).start()
                threading.Thread(target=self.pass_on, args=(b, line), daemon=True).start()

    def take(self, source, line):
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                data = b""
            line.put((time.monotonic(), data))
            if not data:
                return

    def pass_on(self, target, line):
        while True:
            taken, data = line.get()
            wait = taken + DELAY - time.monotonic()
            if wait > 0:
                time.sleep(wait)
            try:
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                target.sendall(data)
            except OSError:
                return
            self.measure(taken, data)

    def measure(self, taken, data):
        now = time.monotonic()
        for call_id in re.findall(rb"X-Call-Id: (\S+)", data):
            self.took["request", call_id.decode()] = now - taken
        for call_id in re.findall(rb"made by s-0 for (\w+)", data):
            what = ("answer", call_id.decode())
            if what in self.took:
                what = ("copy", call_id.decode())
            self.took[what] = now - self.sent[what]

    def within_bounds(self, asked, got):
        """Whether the answer `got`, its copy and the request `asked` took no longer than the site's network."""
        return all(self.took.get(what, 1.0) <= MOST_DELAY
                   for what in (("request", asked), ("answer", got), ("copy", got)))


class DiskServer:
    """Every other answer comes a second time, unless another request has come on the connection by then."""

    def __init__(self, record):
        self.record = record
        self.answers = 0
        self.copies = 0
        self.held_back = 0
        self.sent = {}    # when, by ("answer" or "copy", id)
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        received = b""
        copy = None       # (when, the answer, its id, when it was first sent)
        try:
            while True:
                connection.settimeout(None if copy is None else max(copy[0] - time.monotonic(), 1e-5))
                try:
                    data = connection.recv(65536)
                except (socket.timeout, BlockingIOError):
                    self.send_again(connection, *copy[1:])
                    copy = None
                    continue
                if not data:
                    return
                received += data
                if copy is not None:  # "when nothing else is waiting on the connection"
                    with self.lock:
                        self.held_back += 1
                    copy = None
                if b"\r\n\r\n" not in received:
                    continue
                head, received = received.split(b"\r\n\r\n", 1)
                call_id = re.search(rb"X-Call-Id: (\S+)", head).group(1).decode()
                body = body_of("s-0", call_id)
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                connection.settimeout(5)
                time.sleep(random.uniform(*SERVICE))
                first = self.sent["answer", call_id] = time.monotonic()
                connection.sendall(answer)
                self.record("disk server: runs %s and answers it" % call_id)
                with self.lock:
                    self.answers += 1
                    again = TROUBLE and self.answers % 2 == 1
                if again:
                    copy = (first + random.uniform(*COPY_AFTER), answer, call_id, first)
        except OSError:
            pass
        finally:
            connection.close()

    def send_again(self, connection, answer, call_id, first):
        """Sends the copy, unless a request waits unread, or the machine made it later than it may be."""
        connection.setblocking(False)
        try:
            waiting = connection.recv(1, socket.MSG_PEEK) != b""
        except BlockingIOError:
            waiting = False
        now = time.monotonic()
        if waiting or now - first > COPY_AFTER[1]:
            with self.lock:
                self.held_back += 1
            return
        self.sent["copy", call_id] = now
        connection.sendall(answer)
        with self.lock:
            self.copies += 1
        self.record("disk server: sent the answer to %s again, %.1f ms late; nothing waited on its connection"
                    % (call_id, 1e3 * (now - first)))


def one_request(record, connection, call_id, name, volume):
    record("%s: sends %s, a read of volume %d" % (name, call_id, volume))
    connection.sendall(request_bytes(call_id, "rate-read", volume, volume, budget_ms=3000))
    got = b""
    while True:
        if b"\r\n\r\n" in got:
            head, body = got.split(b"\r\n\r\n", 1)
            length = int(re.search(rb"content-length: (\d+)", head.lower()).group(1))
            if len(body) >= length:
                break
        data = connection.recv(65536)
        if not data:
            return None
        got += data
    status = int(head.split(b" ")[1])
    record("%s: answered %d %r" % (name, status, body))
    return status, body


def client(record, address, number, relay, breaks, not_judged):
    """One client with its own connection and its own volume, one request at a time, at random times."""
    host, port = address.rsplit(":", 1)

    def connect():
        connection = socket.create_connection((host, int(port)))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(3.5)  # its 3 s, and half a second in which an answer only earns nothing
        return connection

    connection = connect()
    at = time.monotonic()
    end = at + SECONDS
    i = 0
    while at < end:
        at += random.expovariate(RATE / CLIENTS)
        time.sleep(max(at - time.monotonic(), 0))
        i += 1
        call_id = "%02x%014x" % (number, i)
        try:
            answered = one_request(record, connection, call_id, "client %d" % number, number)
            if answered is None:  # a close that crosses a request: it is sent once more on a new connection
                connection = connect()
                answered = one_request(record, connection, call_id, "client %d" % number, number)
        except OSError as error:
            record("client %d: %s" % (number, error))
            answered = None
        if answered is None:
            breaks.append("%s got no answer" % call_id)
            return
        status, body = answered
        if status != 200 or body == body_of("s-0", call_id):
            continue
        made_for = re.search(rb"for (\w+);", body)
        time.sleep(0.005)  # the relay's measurements are complete
        if made_for and relay.within_bounds(call_id, made_for.group(1).decode()):
            breaks.append("%s was served with %r" % (call_id, body))
        else:
            not_judged.append(call_id)
            record("not judged: %s was served with %r, but the network was slower than the site's" % (call_id, body))


def clients(record, address, relay):
    random.seed(SEED)
    breaks, not_judged = [], []
    threads = [threading.Thread(target=client, args=(record, address, n, relay, breaks, not_judged))
               for n in range(1, CLIENTS + 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return breaks, not_judged


async def play(record, schedulers):
    discovery = Discovery(record)
    await discovery.start()
    node = DiskServer(record)
    relay = Relay(node.port, node.sent)
    discovery.put({"instanceId": "s-0", "hostPort": "127.0.0.1:%d" % relay.port, "zone": "hall-b",
                   "machineType": "standard", "cell": 0, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0})
    classes = [request_class("rate-read", "safe", 0.6, 3.0)]
    scheduler = Scheduler(record, discovery.address, settings(classes, [PLAN]), discovery.whole())
    schedulers.append(scheduler)
    scheduler.start()
    await scheduler.ready()
    breaks, not_judged = await asyncio.get_running_loop().run_in_executor(None, clients, record, scheduler.listen,
                                                                  relay)
    record("disk server: %d answers, %d of them a second time, %d copies held back" % (
        node.answers, node.copies, node.held_back))
    record("%d foreign answers, %d more not judged" % (len(breaks), len(not_judged)))
    if not_judged and not breaks:
        raise CannotRun("the machine made the network slower than the site's")
    return breaks


run_case(HERE, play)
