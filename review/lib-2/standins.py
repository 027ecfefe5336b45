"""Stand-ins for the second review: clients, endpoints, the platform and the network between relays.

Python's standard library only. Every address is a loopback address. What is sent, answered and run is kept in a
record, which a case writes to record.txt.
"""
import asyncio
import base64
import ctypes
import json
import logging
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def run_command(key):
    """A command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == key:
                return value.strip().strip('"')
    raise LookupError(key)


class Record:
    def __init__(self):
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, kind, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.lines.append(f"{self.now():8.3f} {kind} {text}")

    def write(self, path):
        with open(path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


def own_network():
    """The first three numbers of loopback addresses that no other run of a case uses at present."""
    pid = os.getpid()
    return f"127.{64 + random.randrange(128)}.{pid % 250 + 1}"


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def common_free_ports(ips, count):
    """Ports that are free at each of the addresses, for streams and for datagrams."""
    found = []
    for _ in range(200):
        port, sockets = free_port(ips[0]), []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sockets.append(socket.socket(socket.AF_INET, kind))
                    sockets[-1].bind((ip, port))
            if port not in found:
                found.append(port)
        except OSError:
            pass
        finally:
            for each in sockets:
                each.close()
        if len(found) == count:
            return found
    raise RuntimeError("no free ports")


def die_with_parent():
    """In a child: the kernel ends it with the script, however that ends (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


# ------------------------------------------------------------------------------------------------- HTTP

class Closed(Exception):
    pass


async def read_message(reader):
    """Returns the first line, the headers (lower case) and the body of a request or an answer."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        raise Closed
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        raise Closed
    return lines[0], headers, body


def http_answer(status, headers=None, body=b"", close=False):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in (headers or {}).items():
        text += f"{name}: {value}\r\n"
    if close:
        text += "Connection: close\r\n"
    return text.encode() + b"\r\n" + body


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.close()


# --------------------------------------------------------------------------------------------- platform

class Platform:
    """Discovery, pushed, and the address for notices: an agent on the relay's own machine."""

    def __init__(self, world, ip, name):
        self.world, self.ip, self.name = world, ip, name
        self.watches = set()
        self.version = 1
        self.entries = {}
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    def list_json(self):
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                if method == "POST" and target == "/v1/outcomes":
                    for row in body.decode().splitlines():
                        notice = json.loads(row)
                        self.world.on_notice(self.name, notice)
                    writer.write(http_answer(204))
                    await writer.drain()
                elif target.startswith("/catalog/members"):
                    await self.watch(writer) if "watch=1" in target else writer.write(
                        http_answer(200, body=json.dumps(self.list_json()).encode()))
                else:
                    writer.write(http_answer(404))
        except (Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def watch(self, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent = None
        while True:
            if sent != self.version:
                sent = self.version
                line = json.dumps(self.list_json()).encode() + b"\n"
            else:
                line = b"\n"
            writer.write(b"%x\r\n" % len(line) + line + b"\r\n")
            await writer.drain()
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), 2)
            except asyncio.TimeoutError:
                pass


# --------------------------------------------------------------------------------------------- endpoints

class Endpoint:
    """A partner's endpoint. It runs a call when its last byte has arrived; `work` says how long that takes (the site has
    160 to 270 ms). It answers 400 for a message of another partner or one that no client handed in, and closes a
    connection that has been idle for the time in the settings."""

    def __init__(self, world, ip, ident, cell, kind, zone, work=0.2):
        self.world, self.ip, self.ident, self.cell, self.kind, self.zone = world, ip, ident, cell, kind, zone
        self.work = work
        self.behaviour = None  # coroutine(endpoint, ids, headers) -> (status, headers) or None for silence

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="SERVING"):
        return {"id": self.ident, "addr": f"{self.ip}:{self.port}", "zone": self.zone, "kind": self.kind,
                "cell": self.cell, "state": state, "weight": 5.0, "started_ms": 0}

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers, body = await asyncio.wait_for(read_message(reader),
                                                             SETTINGS["allowed"]["connIdle"] / 1000)
                target = line.split(" ")[1]
                if target == "/inbox":
                    items = [(headers["x-request-id"], body)]
                else:
                    items = [(e["id"], base64.b64decode(e["body"])) for e in json.loads(body)]
                status, extra = 200, {}
                known = [self.world.submitted.get(ident) for ident, _ in items]
                if any(message is None or message[2] != self.cell for message in known):
                    self.world.record.add("call_that_nobody_sent", ids=",".join(i for i, _ in items))
                    status = 400
                elif self.behaviour is None:
                    self.world.on_call(self, items, headers)
                    await asyncio.sleep(self.work)
                else:
                    answer = await self.behaviour(self, items, headers, reader, writer)
                    if answer is None:
                        return
                    status, extra = answer
                text = b""
                if target != "/inbox" and status == 200:  # (a bulk call)
                    text = json.dumps([{"id": i, "state": "done"} for i, _ in items]).encode()
                writer.write(http_answer(status, extra, text))
                await writer.drain()
                self.world.on_call_answered(self, items, status)
        except (Closed, ConnectionError, KeyError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()


# ------------------------------------------------------------------------------------------------ client

class Client:
    """A client process beside its relay. It keeps connections and opens more when all are busy."""

    def __init__(self, world, address):
        self.world = world
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.idle = []

    async def hand_in(self, ident, cls, dest, timeout_ms, body, retried=None, wait=0.4):
        """Returns the status and headers of the answer; status 0: none within 400 ms, -1: refused or broken."""
        lines = [f"POST /{cls} HTTP/1.1", "Host: app.svc", f"X-Request-ID: {ident}", f"X-Timeout-Ms: {timeout_ms}",
                 f"Content-Length: {len(body)}", f"X-Addressing: dest={dest}"]
        if retried:
            lines.append(f"X-Retried: {retried}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.world.on_submit(ident, cls, dest, timeout_ms, body)
        status, headers = -1, {}
        try:
            status, headers = await asyncio.wait_for(self.exchange(data), wait)
        except asyncio.TimeoutError:
            status = 0
        except (Closed, ConnectionError, OSError):
            status = -1
        self.world.on_answer(ident, status, headers)
        return status, headers

    async def exchange(self, data):
        for attempt in range(2):
            reused = bool(self.idle)
            if reused:
                reader, writer = self.idle.pop()
            else:
                reader, writer = await asyncio.open_connection(self.host, self.port)
            try:
                writer.write(data)
                line, headers, _ = await read_message(reader)
            except (Closed, ConnectionError):
                writer.close()
                if reused and attempt == 0:
                    self.idle.clear()
                    continue  # the request crossed the close of a resting connection
                raise
            except asyncio.CancelledError:
                writer.close()
                raise
            if headers.get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
            return int(line.split(" ")[1]), headers
        raise Closed


# ------------------------------------------------------------------------------------------------- relays

SETTINGS = {
    "allowed": {"cancel": True, "connIdle": 5000.0, "connectTimeout": 1000.0, "cpuUsPerRequest": 0.0,
                "cpuUsPerS": 50000, "maxAttempts": 6, "maxOpen": 320, "maxRetryAfter": 3000.0, "mayTell": False,
                "probing": True, "retryAfter": True, "secondCopies": False, "streamsPerConn": 8},
    "areas": ["room-a", "room-b"], "balancers": 3,
    "classes": [
        {"name": "status-update", "aim": 1500.0, "deadline": 8000.0, "idempotency": "idempotent",
         "keyScope": "all", "lateWorth": 0.1, "streamed": False, "window": 5000.0, "worth": 1.0},
        {"name": "collection", "aim": 2000.0, "deadline": 16000.0, "idempotency": "at_most_once",
         "keyScope": "all", "lateWorth": 0.5, "streamed": False, "window": 5000.0, "worth": 3.0}],
    "clients": {"marksRetry": True}, "discovery": "automatic", "domainType": "deliver",
    "familyInfo": {"feeByZone": [0.0, 0.0], "kindApart": [False, False, False], "kindBatch": [10, 1, 1],
                   "losesWorth": "linear", "turnedAwayPrice": 0.05, "workers": 16},
    "hostTypes": ["processor", "merchant", "bank"], "layer": 0, "me": 0, "orgs": [], "overShareWorth": 0.1,
    "rules": {"askWithin": 10000.0, "graceToAnswer": 20.0, "overloadFactor": 2.0, "overloadFor": 1500.0,
              "startCapacity": 0.19, "stopSendingWithin": 2000.0, "warmAfter": 10000.0},
    "stages": ["partners"], "stats": {"fields": ["x0", "x1"], "how": "inline"}, "tick": 5.0,
    "weights": "rough", "worthBy": "request", "zone": "room-a",
}


class Relay:
    """One relay: its folder, configuration and processes."""

    def __init__(self, world, name, ip, platform, limits=None):
        self.world, self.name, self.ip, self.platform = world, name, ip, platform
        self.folder = os.path.join(world.folder, name)
        self.state = os.path.join(self.folder, "state")
        os.makedirs(self.state)
        self.address = f"{ip}:{free_port(ip)}"
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.extra = {}
        self.settings = json.loads(json.dumps(SETTINGS))
        self.processes = []
        self.starts = 0
        self.last_config = None

    def write_config(self, admin=None):
        self.starts += 1
        config = {"name": self.name, "listen": self.address, "discovery": self.platform.address,
                  "seed": "%016x" % random.getrandbits(64), "limits": self.limits,
                  "known": self.platform.list_json(), "settings": self.settings}
        if admin:
            config["admin_addr"] = admin
        config.update(self.extra)
        path = os.path.join(self.folder, f"config-{self.starts}.json")
        with open(path, "w") as file:
            json.dump(config, file)
        return path

    def start(self, admin=None):
        path = self.write_config(admin)
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": self.folder,
               "PROXY_NAME": self.name, "PROXY_LISTEN": self.address, "PROXY_DISCOVERY": self.platform.address,
               "PROXY_STATE": self.state, "PROXY_CONFIG": path}
        if os.environ.get("TRACE"):
            env["PROXY_TRACE"] = "1"
        log = open(os.path.join(self.folder, f"log-{self.starts}"), "wb")
        process = subprocess.Popen(["/bin/sh", "-c", run_command("run")], cwd=ROOT, env=env, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL, preexec_fn=die_with_parent)
        log.close()
        self.processes.append(process)
        self.world.record.add("start", relay=self.name, pid=len(self.processes))
        return process

    @property
    def process(self):
        return self.processes[-1]

    async def ready(self, within=10):
        host, port = self.address.rsplit(":", 1)
        end = time.monotonic() + within
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                line, _, _ = await read_message(reader)
                writer.close()
                if " 200 " in line:
                    return True
            except (OSError, Closed):
                pass
            await asyncio.sleep(0.03)
        return False

    async def admin(self, address, line, within=1.0):
        try:
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), within)
            writer.write(line.encode() + b"\n")
            reply = await asyncio.wait_for(reader.readline(), within)
            writer.close()
            return reply.decode().strip()
        except (OSError, asyncio.TimeoutError):
            return ""

    def signal(self, number, process=None):
        process = process or self.process
        self.world.record.add("signal", relay=self.name, signal=signal.Signals(number).name)
        if process.poll() is None:
            process.send_signal(number)


# ----------------------------------------------------------------------------- the network between relays

class Wire:
    """What relays say to each other: each is reached at an address of its own, from where it goes on `way` seconds
    later. A relay in `cut` neither sends nor gets anything: nothing is said, open connections stay open and silent."""

    def __init__(self, world, places, ports, way):
        self.world, self.places, self.ports, self.way = world, places, ports, way  # name -> (own ip, reached ip)
        self.cut = set()
        self.owner = {own: name for name, (own, _) in places.items()}
        self.sockets = {}
        self.tasks = set()

    async def start(self, datagram_port):
        self.links = {}  # by the address from which an endpoint is reached: the Link that ends there
        loop = asyncio.get_running_loop()
        for name, (own, reached) in self.places.items():
            wire = self

            class Port(asyncio.DatagramProtocol):
                def __init__(self, to):
                    self.to = to

                def datagram_received(self, data, source):
                    sender = wire.owner.get(source[0])
                    if sender is None or sender in wire.cut or self.to in wire.cut:
                        return
                    loop.call_later(wire.way, wire.deliver, sender, self.to, data, datagram_port)

            transport, _ = await loop.create_datagram_endpoint(lambda to=name: Port(to),
                                                               local_addr=(reached, datagram_port))
            self.sockets[name] = transport
            for port in self.ports:
                await asyncio.start_server(lambda r, w, to=name, port=port: self.carry(r, w, to, port), reached, port)

    def deliver(self, sender, to, data, port):
        if sender in self.cut or to in self.cut:
            return
        self.sockets[sender].sendto(data, (self.places[to][0], port))

    async def carry(self, reader, writer, to, port):
        sender = self.owner.get(writer.get_extra_info("peername")[0])
        while sender in self.cut or to in self.cut:
            await asyncio.sleep(0.01)
        try:
            onward_reader, onward_writer = await asyncio.open_connection(self.places[to][0], port)
        except OSError:
            reset(writer)
            return
        self.keep(self.pump(reader, onward_writer, sender, to))
        self.keep(self.pump(onward_reader, writer, to, sender))

    def keep(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def pump(self, reader, writer, sender, to):
        queue = asyncio.Queue()

        async def out():
            while True:
                due, data = await queue.get()
                await asyncio.sleep(max(0, due - time.monotonic()))
                while sender in self.cut or to in self.cut:
                    await asyncio.sleep(0.01)
                if data is None:
                    writer.close()
                    return
                if not writer.is_closing():
                    writer.write(data)

        self.keep(out())
        try:
            while data := await reader.read(65536):
                queue.put_nowait((time.monotonic() + self.way, data))
        except ConnectionError:
            pass
        queue.put_nowait((time.monotonic() + self.way, None))


class Link:
    """One connection of a relay to an endpoint, over the network of the relay's machine."""

    def __init__(self):
        self.relay_ended = False  # the relay has closed or reset it, whether the endpoint has heard of that or not


async def endpoint_address(wire, name, ip, host):
    """An address at which the relay `name` reaches the endpoint `host`: what it sends there, and what comes back, goes on
    `wire.way` seconds later, and not while the relay's machine is cut off. What a relay has not got through before it
    closes or resets a connection is dropped with it, as by its kernel."""

    async def carry(reader, writer):
        while name in wire.cut:
            await asyncio.sleep(0.01)
        try:
            onward_reader, onward_writer = await asyncio.open_connection(host.ip, host.port)
        except OSError:
            reset(writer)
            return
        link = Link()
        wire.links[onward_writer.get_extra_info("sockname")] = link
        wire.keep(pump(reader, onward_writer, link, True))
        wire.keep(pump(onward_reader, writer, link, False))

    async def pump(reader, writer, link, from_relay):
        queue = asyncio.Queue()

        async def out():
            while True:
                due, data, ended = await queue.get()
                await asyncio.sleep(max(0, due - time.monotonic()))
                was_cut = False
                while name in wire.cut:
                    was_cut = True
                    await asyncio.sleep(0.01)
                if ended or writer.is_closing() or (from_relay and was_cut and link.relay_ended):
                    reset(writer) if ended == "reset" or was_cut else writer.close()
                    return
                writer.write(data)

        wire.keep(out())
        ended = "closed"
        try:
            while data := await reader.read(65536):
                queue.put_nowait((time.monotonic() + wire.way, data, ""))
        except ConnectionError:
            ended = "reset"
        link.relay_ended = link.relay_ended or from_relay
        queue.put_nowait((time.monotonic() + wire.way, b"", ended))

    server = await asyncio.start_server(carry, ip, 0)
    return "%s:%d" % server.sockets[0].getsockname()


# -------------------------------------------------------------------------------------------------- world

class World:
    def __init__(self):
        self.record = Record()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = own_network()
        self.submitted, self.answers, self.calls, self.delivered, self.notices = {}, {}, [], {}, {}
        self.relays = []

    def ip(self, last):
        return f"{self.net}.{last}"

    def on_submit(self, ident, cls, dest, timeout_ms, body):
        self.submitted.setdefault(ident, (self.record.now(), cls, dest, timeout_ms, bytes(body)))
        self.record.add("submit", id=ident, cls=cls, dest=dest, timeout_ms=timeout_ms, body=body[:24].decode("latin1"))

    def on_answer(self, ident, status, headers):
        self.answers[ident] = (self.record.now(), status)
        self.record.add("answer", id=ident, status=status, retry_after=headers.get("retry-after", "-"))

    def on_call(self, endpoint, items, headers):
        for ident, body in items:
            self.calls.append((self.record.now(), ident, endpoint.ident, bytes(body)))
            self.record.add("call", id=ident, endpoint=endpoint.ident, via=headers.get("via", "-").replace(" ", "_"),
                            body=body[:24].decode("latin1"))

    def on_call_answered(self, endpoint, items, status):
        for ident, _ in items:
            if status == 200:
                self.delivered.setdefault(ident, self.record.now())
            self.record.add("called", id=ident, endpoint=endpoint.ident, status=status)

    def on_notice(self, name, notice):
        self.notices.setdefault(notice["message"], (self.record.now(), notice["outcome"]))
        self.record.add("notice", id=notice["message"], outcome=notice["outcome"], at=name)

    def close(self):
        for relay in self.relays:
            for process in relay.processes:
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


BROKEN, HELD, COULD_NOT_RUN = 10, 0, 2  # an error of Python itself ends with 1: run.sh makes 1 of 10, and 2 of all else


def main(case, here):
    """Runs `case(world)`, a coroutine that returns a list of broken rules."""
    code, world = COULD_NOT_RUN, None
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # broken connections are part of a case

    def end(*_):
        raise SystemExit("ended by a signal")

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    try:
        world = World()
        broken = asyncio.run(asyncio.wait_for(case(world), 110))
        for line in broken:
            world.record.add("BROKEN", rule=line)
            print(line)
        code = BROKEN if broken else HELD
    except (Exception, SystemExit) as e:  # the case could not run
        print(f"could not run: {type(e).__name__}: {e}", file=sys.stderr)
        if world:
            world.record.add("could_not_run", why=repr(e))
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        try:
            if world:
                world.close()
                world.record.write(os.path.join(here, "record.txt"))
        except OSError as e:
            print(f"no record: {e}", file=sys.stderr)
            code = COULD_NOT_RUN
    sys.stdout.flush()
    os._exit(code)
