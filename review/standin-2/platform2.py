"""Stand-ins for the state service, the cloud, the workers and the users, and the start of the
controllers, for the cases 4 to 8. They follow PROTOCOL-bendspindle.md. All addresses are loopback
addresses; the clock is the real one.

A `World` holds one deployment. Its network has zones: `cut_zone` cuts one off from everything
outside. A packet across the cut gets no answer and no error, and nothing that was sent during the
cut is delivered later.
"""

import collections
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


# --- CBOR: maps, lists, text, numbers, booleans and null ---------------------------------------

def encode(value):
    out = bytearray()
    _encode(value, out)
    return bytes(out)


def _head(major, number, out):
    if number < 24:
        out.append(major << 5 | number)
    elif number < 1 << 8:
        out += bytes((major << 5 | 24, number))
    elif number < 1 << 16:
        out += struct.pack(">BH", major << 5 | 25, number)
    elif number < 1 << 32:
        out += struct.pack(">BI", major << 5 | 26, number)
    else:
        out += struct.pack(">BQ", major << 5 | 27, number)


def _encode(value, out):
    if value is None:
        out.append(0xF6)
    elif value is True or value is False:
        out.append(0xF5 if value else 0xF4)
    elif isinstance(value, int):
        _head(0, value, out) if value >= 0 else _head(1, -1 - value, out)
    elif isinstance(value, float):
        out += struct.pack(">Bd", 0xFB, value)
    elif isinstance(value, str):
        data = value.encode()
        _head(3, len(data), out)
        out += data
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _encode(item, out)
    else:
        _head(5, len(value), out)
        for key, item in value.items():
            _encode(key, out)
            _encode(item, out)


def decode(data):
    value, end = _decode(data, 0)
    if end != len(data):
        raise ValueError("bytes after the value")
    return value


def _decode(data, at):
    first = data[at]
    major, info = first >> 5, first & 31
    at += 1
    if major == 7:
        if info < 24:
            return {20: False, 21: True, 22: None}[info], at
        size, form = {25: (2, ">e"), 26: (4, ">f"), 27: (8, ">d")}[info]
        return struct.unpack_from(form, data, at)[0], at + size
    if info < 24:
        number = info
    else:
        size = 1 << (info - 24)
        number = int.from_bytes(data[at:at + size], "big")
        at += size
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major == 3:
        return data[at:at + number].decode(), at + number
    if major == 4:
        items = []
        for _ in range(number):
            item, at = _decode(data, at)
            items.append(item)
        return items, at
    if major == 5:
        items = {}
        for _ in range(number):
            key, at = _decode(data, at)
            items[key], at = _decode(data, at)
        return items, at
    raise ValueError("not a value of the protocol")


# --- HTTP -------------------------------------------------------------------------------------

class Lost(Exception):
    """The request gets no answer."""


def read_message(stream):
    """Returns the first line, the headers and the body, or None at the end of the connection."""
    first = stream.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = stream.readline()
        if not line:
            return None
        if line == b"\r\n":
            break
        name, _, value = line.partition(b":")
        headers[name.strip().lower().decode()] = value.strip().decode()
    body = stream.read(int(headers.get("content-length", "0")))
    return first.decode().strip(), headers, body


class HttpServer:
    """Serves one address, with a thread for each connection. `handle(method, path, body, peer)`
    returns a status and a value, or raises `Lost`."""

    def __init__(self, handle, admit=None):
        self.handle = handle
        self.admit = admit or (lambda connection: True)
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(128)
        self.port = self.socket.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        self.held = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def close(self):
        self.socket.close()

    def _serve(self, connection):
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if not self.admit(connection):
                self.held.append(connection)  # no answer and no error
                return
            stream = connection.makefile("rb")
            while True:
                message = read_message(stream)
                if message is None:
                    break
                method, path, _ = message[0].split(" ")
                try:
                    status, value = self.handle(method, path, message[2])
                except Lost:
                    self.held.append((connection, stream))
                    return
                body = encode(value)
                head = ("HTTP/1.1 %d X\r\nContent-Type: application/cbor\r\n"
                        "Content-Length: %d\r\n\r\n" % (status, len(body)))
                connection.sendall(head.encode() + body)
        except (OSError, ValueError, KeyError, IndexError):
            pass
        connection.close()


class HttpClient:
    """One connection that stays open. `call` raises OSError without an answer in time."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.endpoint = (host, int(port))
        self.connection = None
        self.stream = None

    def call(self, method, path, value=None, timeout=5.0):
        deadline = time.monotonic() + timeout
        try:
            if self.connection is None:
                self.connection = socket.create_connection(self.endpoint, timeout)
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.stream = self.connection.makefile("rb")
            self.connection.settimeout(max(deadline - time.monotonic(), 0.01))
            body = b"" if value is None else encode(value)
            self.connection.sendall(
                ("%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/cbor\r\n"
                 "Content-Length: %d\r\n\r\n" % (method, path, *self.endpoint, len(body))).encode()
                + body)
            message = read_message(self.stream)
            if message is None:
                raise OSError("the connection was closed")
            status = int(message[0].split(" ")[1])
            answer = decode(message[2]) if message[2] else None
            if message[1].get("connection", "").lower() == "close":
                self.close()
            return status, answer, message[1]
        except (OSError, ValueError, IndexError) as error:
            self.close()
            raise OSError(str(error)) from error

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = self.stream = None


def free_port():
    """Returns a free port below those that the system hands out by itself."""
    while True:
        port = random.SystemRandom().randrange(10000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def add(self, *words):
        with self.lock:
            self.file.write("%8.3f %s\n" % (self.now(), " ".join(str(word) for word in words)))
            self.file.flush()


# --- State service ----------------------------------------------------------------------------

class StateService:
    kept_changes = 10000

    def __init__(self, limits):
        self.limits = limits
        self.condition = threading.Condition()
        self.tick = 0
        self.keys = {}  # key: [value, stamp, lease or None]
        self.changes = collections.deque(maxlen=self.kept_changes)
        self.leases = {}  # id: [seconds, end]
        self.next_lease = 1
        self.requests = [limits["rps"], time.monotonic()]
        self.writes = [limits["write_rps"], time.monotonic()]
        threading.Thread(target=self._expire, daemon=True).start()

    def _take(self, bucket, rate, number):
        now = time.monotonic()
        bucket[0] = min(rate, bucket[0] + (now - bucket[1]) * rate)
        bucket[1] = now
        if bucket[0] < number:
            return False
        bucket[0] -= number
        return True

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.condition:
                for lease in [i for i, (_, end) in self.leases.items() if end < time.monotonic()]:
                    self._end(lease)

    def _end(self, lease):
        del self.leases[lease]
        gone = [key for key, entry in self.keys.items() if entry[2] == lease]
        if gone:
            self.tick += 1
            for key in gone:
                self._delete(key)
            self.condition.notify_all()

    def _delete(self, key):
        if self.keys.pop(key, None) is not None:
            self.changes.append((self.tick, {"delete": key, "stamp": self.tick}))

    def handle(self, method, path, body):
        path, _, query = path.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&")) if query else {}
        with self.condition:
            if not self._take(self.requests, self.limits["rps"], 1):
                return 429, {"error": "too many requests"}
            if path == "/watch":
                return self._watch(query)
            if path == "/kv":
                return self._list(query)
            if path.startswith("/kv/"):
                key = path[4:]
                if key not in self.keys:
                    return 404, {"ledger_tick": self.tick}
                value, stamp, lease = self.keys[key]
                answer = {"path": key, "v": value, "stamp": stamp}
                if lease is not None:
                    answer["loan"] = lease
                return 200, answer
            if path == "/txn":
                return self._transaction(decode(body), len(body))
            if path == "/leases":
                seconds = decode(body)["life_ms"] / 1000.0
                lease = self.next_lease
                self.next_lease += 1
                self.leases[lease] = [seconds, time.monotonic() + seconds]
                return 200, {"loan": lease}
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self._end(lease)
            else:
                self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}

    def _list(self, query):
        first = query.get("since", "")
        keys = sorted(k for k in self.keys if k.startswith(query["starts"]) and k > first)
        page = min(int(query.get("page", "1000")), 1000)
        pairs, size = [], 0
        for key in keys[:page]:
            size += len(json.dumps(self.keys[key][0])) + len(key) + 50
            if size > 512 * 1024 and pairs:
                break
            pairs.append({"path": key, "v": self.keys[key][0], "stamp": self.keys[key][1]})
        return 200, {"pairs": pairs, "truncated": len(pairs) < len(keys),
                     "ledger_tick": self.tick}

    def _watch(self, query):
        since, starts = int(query["since"]), query["starts"]
        end = time.monotonic() + min(int(query.get("wait_ms", "0")), 60000) / 1000.0
        while True:
            if self.changes and since < self.changes[0][0] - 1:
                return 410, {"error": "too old"}
            events = [event for tick, event in self.changes
                      if tick > since and event.get("put", event.get("delete")).startswith(starts)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"ledger_tick": self.tick, "events": events}
            self.condition.wait(left)

    def _transaction(self, request, size):
        conditions, operations = request.get("if", []), request.get("apply", [])
        if len(operations) > self.limits["txn_ops"] or size > 64 * 1024 or \
                len(conditions) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too large"}
        if not self._take(self.writes, self.limits["write_rps"], len(operations)):
            return 429, {"error": "too many changes"}
        for operation in operations:
            if operation.get("loan") is not None and operation["loan"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["path"] for c in conditions
                  if self.keys.get(c["path"], [None, 0])[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_tick": self.tick}
        if operations:
            self.tick += 1
            for operation in operations:
                if "put" in operation:
                    key = operation["put"]
                    self.keys[key] = [operation["v"], self.tick, operation.get("loan")]
                    self.changes.append(
                        (self.tick, {"put": key, "v": operation["v"], "stamp": self.tick}))
                else:
                    self._delete(operation["delete"])
            self.condition.notify_all()
        return 200, {"ledger_tick": self.tick}


# --- Cloud ------------------------------------------------------------------------------------

class Cloud:
    """Rented machines are up after `startup_s` and report from then on."""

    def __init__(self, world, kinds, list_lag):
        self.world = world
        self.kinds = kinds
        self.list_lag = list_lag
        self.lock = threading.Lock()
        self.machines = {}  # name: [entry, began, first listed]
        self.hires = {}
        self.number = 0

    def add(self, kind, zone, loaners, stage, age, address):
        self.number += 1
        name = "n-%06d" % self.number
        entry = {"uid": name, "addr": address or "127.0.0.1:1", "build": kind, "hall": zone,
                 "loaners": loaners, "stage": stage}
        self.machines[name] = [entry, time.monotonic() - age, time.monotonic() - age]
        return name

    def _boot(self, name):
        entry = self.machines[name][0]
        time.sleep(self.world.kinds[entry["build"]]["startup_s"])
        with self.lock:
            if name in self.machines:
                worker = Worker(self.world, self.world.kinds[entry["build"]], entry["hall"], name,
                                entry["loaners"])
                entry.update(stage="running", addr=worker.server.address)
                self.world.workers[name] = worker

    def handle(self, method, path, body):
        path, _, query = path.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&")) if query else {}
        with self.lock:
            if path == "/catalog":
                return 200, {"builds": self.kinds}
            if path == "/machines" and method == "GET":
                names = sorted(n for n in self.machines if n > query.get("since", ""))
                shown = [n for n in names
                         if time.monotonic() - self.machines[n][2] >= self.list_lag]
                page = int(query.get("page", "500"))
                return 200, {"spindles": [dict(self.machines[n][0], age_s=time.monotonic()
                                               - self.machines[n][1]) for n in shown[:page]],
                             "truncated": len(shown) > page}
            request = decode(body)
            if path == "/machines":
                if request["hire"] not in self.hires:
                    self.hires[request["hire"]] = [
                        self.add(request["build"], request["hall"], request["loaners"], "starting",
                                 0.0, None) for _ in range(min(request["number"], 50))]
                    self.world.record.add("cloud rents", request["build"], "in", request["hall"],
                                          self.hires[request["hire"]])
                    for name in self.hires[request["hire"]]:
                        threading.Thread(target=self._boot, args=(name,), daemon=True).start()
                return 200, {"spindles": self.hires[request["hire"]]}
            for name in request["spindles"]:
                self.world.record.add("cloud deletes", name)
                self.machines.pop(name, None)
                worker = self.world.workers.get(name)
                if worker is not None:
                    worker.end()
            return 200, {}


# --- Workers ----------------------------------------------------------------------------------

class Worker:
    """One machine. `world.run_time(piece)` says how long a task runs; images are on the machine
    after `world.fetch_s` seconds, the time that 0.12 GB take at 0.6 GB/s. No task saves. Tasks fail only while the machine is `sick` or if
    their job was submitted with a mistake (`world.mistaken`)."""

    def __init__(self, world, kind, zone, name=None, loaners=False):
        self.world = world
        self.zone = zone
        self.kind = kind
        self.loaners = loaners
        self.lock = threading.RLock()
        self.server = HttpServer(self._direct, self._admit)
        self.name = name or world.cloud.add(kind["sku"], zone, False, "running", 100.0,
                                            self.server.address)
        self.shift, self.tick, self.token = 1, 0, 0
        self.tasks = {}  # (piece, attempt): [stage, since, cause]
        self.renewed = time.monotonic()
        self.ended = False
        self.sick = False
        self.changed = threading.Event()
        threading.Thread(target=self._report_for_ever, daemon=True).start()
        threading.Thread(target=self._advance_for_ever, daemon=True).start()

    def end(self):
        with self.lock:
            self.ended = True
            self.tasks.clear()
            self.server.close()

    def pieces(self):
        with self.lock:
            return {key: task[0] for key, task in self.tasks.items()}

    def _report(self):
        self.tick += 1
        pieces = []
        for (piece, attempt), (stage, _, cause) in self.tasks.items():
            entry = {"piece": piece, "try": attempt, "stage": stage}
            if cause:
                entry["cause"] = cause
            pieces.append(entry)
        return {"spindle": self.name, "addr": self.server.address, "build": self.kind["sku"],
                "hall": self.zone, "loaners": self.loaners, "shift": self.shift, "tick": self.tick,
                "baton": self.token, "warning_s": None, "pieces": pieces}

    def _exit(self, key, cause):
        self.tasks[key] = ["exited", time.monotonic(), cause]
        self.world.record.add(self.name, "exit", key[0], key[1], cause)
        self.changed.set()

    def _execute(self, orders, how):
        for order in orders:
            key = (order["piece"], order["try"])
            self.world.record.add(self.name, how, order["verb"], *key)
            if order["verb"] == "start":
                if key in self.tasks:
                    continue
                self.world.started(self, key[0], how)
                job, _, index = key[0].rpartition("/")
                busy = any(k[0] == key[0] and t[0] != "exited" for k, t in self.tasks.items())
                spec = self.world.jobs.get(job)
                if spec is None or int(index) >= spec["pieces"]:
                    self._exit(key, "no_such")
                elif busy:
                    self._exit(key, "busy")
                elif not self._has_room(spec):
                    self._exit(key, "full")
                else:
                    self.tasks[key] = ["pulling", time.monotonic(), None]
                    self.changed.set()
            elif order["verb"] == "stop":
                if key in self.tasks and self.tasks[key][0] != "exited":
                    self._exit(key, "halted")
            elif key in self.tasks and self.tasks[key][0] == "exited":
                del self.tasks[key]
                self.changed.set()

    def _has_room(self, spec):
        for name in ("cores", "cards", "ram_gb"):
            used = sum(self.world.jobs[piece.rpartition("/")[0]][name]
                       for (piece, _), task in self.tasks.items() if task[0] != "exited")
            if used + spec[name] > self.kind[name] + 1e-6:
                return False
        return True

    def _direct(self, method, path, body):
        if path == "/inspect":
            with self.lock:
                return 200, self._report()
        request = decode(body)
        with self.lock:
            if self.ended:
                raise Lost
            if request.get("baton") is None or request.get("shift") is None:
                return 400, {"error": "missing"}
            current = request["baton"] >= self.token and request["shift"] == self.shift
            if request["baton"] > self.token:
                self.token = request["baton"]
                self.changed.set()
            if not current:
                return 409, self._report()
            self._execute(request["orders"], "direct")
            return 200, self._report()

    def _admit(self, connection):
        return not self.ended and self.world.admits(connection, self.zone)

    def _advance_for_ever(self):
        while not self.ended:
            time.sleep(0.02)
            with self.world.machines_lock, self.lock:
                now = time.monotonic()
                if now - self.renewed > self.world.agents["lease_s"]:
                    self.world.record.add(self.name, "lease expired", list(self.pieces()))
                    self.tasks.clear()
                    self.shift += 1
                    self.renewed = now
                    self.changed.set()
                for key in list(self.tasks):
                    self._advance(key, now)

    def _advance(self, key, now):
        stage, since, _ = self.tasks[key]
        job = key[0].rpartition("/")[0]
        gang = self.world.jobs[job]["shape"] == "ensemble"
        if stage == "pulling" and now - since >= self.world.fetch_s:
            stage = "waiting" if gang else "running"
            self._set(key, stage, now)
        if stage == "waiting":
            members = self.world.gang(job, key[1], ("waiting",))
            if len(members) == self.world.jobs[job]["pieces"]:
                for worker, member in members:
                    worker._set(member, "running", now)
            elif now - since > self.world.agents["gang_wait_s"]:
                self._exit(key, "alone")
        elif stage == "running":
            if gang and len(self.world.gang(job, key[1], ("running", "exited"))) < \
                    self.world.jobs[job]["pieces"]:
                self._exit(key, "peers")
            elif (self.sick or job in self.world.mistaken) and now - since >= 0.5:
                self._exit(key, "error")
            elif now - since >= self.world.run_time(key[0]):
                self._exit(key, "done")

    def _set(self, key, stage, now):
        self.tasks[key] = [stage, now, None]
        self.changed.set()
        self.world.record.add(self.name, "waits for its gang" if stage == "waiting" else "runs",
                              *key)

    def _report_for_ever(self):
        controllers = self.world.controllers
        node = random.randrange(len(controllers))
        client = None
        while not self.ended:
            controller = controllers[node]
            began = time.monotonic()
            with self.lock:
                self.changed.clear()
                report = self._report()
            try:
                if not self.world.connected(self.zone, controller.zone):
                    time.sleep(4.0)
                    raise OSError("cut off")
                client = client or HttpClient(controller.listen)
                status, answer, _ = client.call("POST", "/checkin", report, 4.0)
                if not self.world.connected(self.zone, controller.zone):
                    time.sleep(4.0)
                    raise OSError("cut off")
            except OSError:
                status, answer = None, None
            if self.ended:
                return
            if status == 200:
                self._take(report, answer, began, controller.name)
                self._pause(began)
                continue
            if client is not None:
                client.close()
                client = None
            named = (answer or {}).get("foreman") if status == 421 else None
            names = [c.name for c in controllers]
            if named in names and named != controller.name:
                node = names.index(named)
                time.sleep(random.uniform(0.0, 0.5))
            else:
                node = (node + 1) % len(controllers)
                time.sleep(1.0)

    def _take(self, report, answer, sent, sender):
        with self.lock:
            token = answer.get("baton")
            if token is None or token < self.token or report["shift"] != self.shift:
                return
            if token > self.token:
                self.token = token
                self.changed.set()
            self.renewed = sent
            if answer.get("orders"):
                self._execute(answer["orders"], "%s (report sent at %.3f)"
                              % (sender, sent - self.world.record.began))

    def _pause(self, began):
        interval = self.world.agents["report_s"] * random.uniform(0.75, 1.25)
        time.sleep(max(0.0, began + 0.5 - time.monotonic()))
        self.changed.wait(max(0.0, began + interval - time.monotonic()))


# --- Controllers, users and the network between them --------------------------------------------

class Relay:
    """Carries the bytes of one controller's connections to one sibling, unless they are cut off."""

    def __init__(self, world, zone, sibling_zone, target):
        self.world, self.zone, self.sibling_zone, self.target = world, zone, sibling_zone, target
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(128)
        self.address = "127.0.0.1:%d" % self.socket.getsockname()[1]
        self.held = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            connection, _ = self.socket.accept()
            if not self.world.connected(self.zone, self.sibling_zone):
                self.held.append(connection)
                continue
            try:
                other = socket.create_connection(self.target, 1.0)
                other.settimeout(None)
            except OSError:
                connection.close()
                continue
            for pair in ((connection, other), (other, connection)):
                threading.Thread(target=self._carry, args=pair, daemon=True).start()

    def _carry(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if not self.world.connected(self.zone, self.sibling_zone):
                    self.held.append((source, sink))
                    return
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


AMMAN_WORKERS = {"report_s": 3.0, "lease_s": 19.0, "gang_wait_s": 50.0, "gang_peer_s": 4.0,
                 "cancel_s": 39.0}
AMMAN_ZONES = ["abdali", "marka", "tabarbour"]
FALCON = {"sku": "falcon-gpu", "cores": 48.0, "cards": 4.0, "ram_gb": 288.0, "cache_gb": 80.0,
          "fetch_gb_per_s": 0.6, "rate": 10.1, "spot_price": 2.92, "startup_s": 45.0,
          "halls": AMMAN_ZONES}


def amman():
    """The settings of the small deployment of Amman, as DEPLOY-bendspindle.md shows them."""
    teams = [("booking-desk", 32.0, 72.0), ("integrity-unit", 48.0, 152.0),
             ("records-office", 24.0, 96.0)]
    return {"nodes": 3, "zones": AMMAN_ZONES,
            "teams": [{"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": gpus, "gpus_max": most}
                      for name, gpus, most in teams],
            "objectives": [{"kind": "wait", "class": "slot-matcher", "within_s": 35.0,
                            "share": 0.82}],
            "workers": AMMAN_WORKERS,
            "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 48},
            "cloud": {"rps": 2.0, "list_lag_s": 3.0},
            "resources": {"cpu_share": 0.12, "mem_mb": 104.0, "max_sockets": 1200},
            "time_bound_ms": 5.0}


HUDEC_ZONES = ["brno-hall", "jihlava-hall"]
BEAM = {"sku": "beam", "cores": 32.0, "cards": 0.0, "ram_gb": 256.0, "cache_gb": 80.0,
        "fetch_gb_per_s": 0.6, "rate": 1.61, "spot_price": 0.5, "startup_s": 35.0,
        "halls": HUDEC_ZONES}


def hudec():
    """The settings of the small deployment of Pilarna Hudec."""
    return {"nodes": 3, "zones": HUDEC_ZONES,
            "teams": [{"name": "yard-systems-%d" % i, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0,
                       "gpus_max": 0.0} for i in range(1, 17)],
            "objectives": [{"kind": "deadline", "class": "yard-tally", "share": 0.85,
                            "times": 1.0}],
            "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 50.0, "gang_peer_s": 4.0,
                        "cancel_s": 30.0},
            "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": 32.0, "txn_ops": 12},
            "cloud": {"rps": 5.0, "list_lag_s": 6.0},
            "resources": {"cpu_share": 0.12, "mem_mb": 72.0, "max_sockets": 700},
            "time_bound_ms": 5.0}


def tally(number, **fields):
    """A job of the class yard-tally whose tasks take most of a beam each."""
    return job(number, lane="yard-tally", crew="yard-systems-1", shape="batch", urgency="low",
               cores=30.0, cards=0.0, ram_gb=30.0, builds=None, notch_s=0.0,
               stow_s=0.0, **fields)


def job(number, **fields):
    """A job of one gang task that takes a whole falcon-gpu, unless the fields say otherwise."""
    spec = {"uid": "job-%06d" % number, "lane": "fraud-screen", "crew": "integrity-unit",
            "shape": "ensemble", "urgency": "urgent", "pieces": 1, "cores": 43.0, "cards": 4.0,
            "ram_gb": 230.0, "blueprint": "img-01", "pull_gb": 0.12, "builds": ["falcon-gpu"],
            "hall": None, "together": False, "apart": False, "loaners": False, "expect_s": 60.0,
            "notch_s": 20.0, "stow_s": 3.0, "due_s": None}
    spec.update(fields)
    return spec


class Controller:
    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.listen = "127.0.0.1:%d" % free_port()
        self.internal = "127.0.0.1:%d" % free_port()
        self.process = None


class World:
    def __init__(self, record, deployment, kinds, controller_zones, fetch_s=0.2):
        self.record = Record(record)
        self.deployment = deployment
        self.agents = deployment["workers"]
        self.fetch_s = fetch_s
        self.jobs = {}
        self.run_times = {}
        self.starts = []  # (seconds, worker, piece, how)
        self.mistaken = set()
        self.cut = set()
        self.workers = {}
        self.machines_lock = threading.RLock()
        self.state = StateService(deployment["state"])
        self.cloud = Cloud(self, kinds, deployment["cloud"]["list_lag_s"])
        self.kinds = {kind["sku"]: kind for kind in kinds}
        self.controllers = [Controller("spindle-%d" % i, zone)
                            for i, zone in enumerate(controller_zones)]
        self.temporary = tempfile.TemporaryDirectory()

    # The network

    def connected(self, zone, other):
        """Zone None is the region, which holds the users, the state service and the cloud."""
        return zone == other or (zone not in self.cut and other not in self.cut)

    def cut_zone(self, zone):
        self.cut.add(zone)
        self.record.add("zone", zone, "is cut off from everything")

    def heal(self):
        self.cut.clear()
        self.record.add("the cut ends")

    def admits(self, connection, zone):
        """Returns whether the controller at the other end of a direct connection reaches the zone."""
        if not self.cut:
            return True
        sender = self._controller_of(connection.getpeername()[1], connection.getsockname()[1])
        return sender is not None and self.connected(zone, sender.zone)

    def _controller_of(self, port, to):
        with open("/proc/net/tcp", encoding="ascii") as table:
            inodes = [line.split()[9] for line in table.readlines()[1:]
                      if line.split()[1].endswith(":%04X" % port)
                      and line.split()[2].endswith(":%04X" % to)]
        for controller in self.controllers:
            folder = "/proc/%d/fd" % controller.process.pid
            for entry in os.listdir(folder):
                try:
                    link = os.readlink(os.path.join(folder, entry))
                except OSError:
                    continue
                if any(link == "socket:[%s]" % inode for inode in inodes):
                    return controller
        return None

    def _through(self, handle, zone):
        def guarded(method, path, body):
            if not self.connected(None, zone):
                raise Lost
            answer = handle(method, path, body)
            if not self.connected(None, zone):
                raise Lost
            return answer
        return HttpServer(guarded).address

    # The processes

    def start(self, program, first_alone=False):
        """Starts all controllers; with `first_alone` the others once the first one leads."""
        run = _value(os.path.join(REPOSITORY, "deploy", "service.toml"), "run").split()
        run[0] = program or os.path.join(REPOSITORY, run[0])
        for controller in self.controllers:
            siblings = []
            for other in self.controllers:
                if other is controller:
                    continue
                host, port = other.internal.split(":")
                relay = Relay(self, controller.zone, other.zone, (host, int(port)))
                siblings.append({"node_name": other.name, "domain": other.zone,
                                 "endpoint": relay.address})
            settings = {"node_name": controller.name, "domain": controller.zone,
                        "listen": controller.listen, "internal_addr": controller.internal,
                        "siblings": siblings,
                        "external": {"cloud": self._through(self.cloud.handle, controller.zone),
                                     "state": self._through(self.state.handle, controller.zone)},
                        "deployment": self.deployment}
            path = os.path.join(self.temporary.name, controller.name + ".json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(settings, file)
            log = open(os.path.join(self.temporary.name, controller.name + ".log"), "wb")
            if first_alone and controller is not self.controllers[0]:
                self.wait("the first leader", self.leader, 20)
            controller.process = subprocess.Popen(run + [path], stdout=log, stderr=log,
                                                  stdin=subprocess.DEVNULL, cwd=REPOSITORY)

    def add_worker(self, sku, zone):
        worker = Worker(self, self.kinds[sku], zone)
        self.workers[worker.name] = worker
        return worker

    def end(self):
        for controller in self.controllers:
            if controller.process is not None:
                controller.process.send_signal(signal.SIGCONT)
                controller.process.kill()
                controller.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for controller in self.controllers:
                path = os.path.join(self.temporary.name, controller.name + ".log")
                with open(path, "rb") as log, \
                        open(os.path.join(os.environ["KEEP_LOGS"], controller.name + ".log"),
                             "wb") as kept:
                    kept.write(log.read())
        self.temporary.cleanup()

    def gang(self, job, attempt, stages):
        """Returns the tasks of one attempt in one of the stages: pairs of a worker and a key. An
        exited task is one of them if it is done."""
        return [(worker, key) for worker in self.workers.values() if not worker.ended
                for key, task in worker.tasks.items()
                if key[0].rpartition("/")[0] == job and key[1] == attempt and task[0] in stages
                and task[2] in (None, "done")]

    def die(self, worker):
        """The machine stops with all that is on it. The cloud's list shows it until it is
        deleted."""
        self.record.add(worker.name, "in", worker.zone, "stops with", list(worker.pieces()))
        with self.machines_lock:
            worker.end()

    # Jobs and users

    def started(self, worker, piece, how):
        self.starts.append((self.record.now(), worker, piece, how))

    def run_time(self, piece):
        return self.run_times.get(piece, self.run_times.get(piece.rpartition("/")[0], 1e9))

    def leader(self):
        """Returns the controller whose name is in the project's own key, or None. It serves only to
        choose whom a disruption meets."""
        entry = self.state.keys.get("steward")
        return next((c for c in self.controllers if entry and c.name == entry[0]["name"]), None)

    def user(self, method, path, value=None, nodes=None, timeout=5.0):
        """One request of a user, to one of the healthy nodes. Returns the status, the answer and the
        seconds after which the user may repeat it."""
        nodes = nodes or [c for c in self.controllers if self.connected(None, c.zone)]
        controller = random.choice(nodes)
        client = HttpClient(controller.listen)
        self.record.add("user ->", controller.name, method, path)
        try:
            status, answer, headers = client.call(method, path, value, timeout)
        except OSError as error:
            self.record.add("user <-", controller.name, path, "no answer:", error)
            return None, None, 1.0
        finally:
            client.close()
        self.record.add("user <-", controller.name, path, status, answer)
        return status, answer, min(max(float(headers.get("retry-after", "1")), 1.0), 30.0)

    def repeat(self, until, method, path, value=None, timeout=5.0, total=60.0, nodes=None):
        """Repeats a request after each answer that does not satisfy `until`, 1 s later or after
        `Retry-After`."""
        deadline = time.monotonic() + total
        while time.monotonic() < deadline:
            status, answer, pause = self.user(method, path, value, nodes, timeout)
            if status is not None and until(status, answer):
                return status, answer
            time.sleep(pause)
        raise TimeoutError(method + " " + path)

    def submit(self, spec, run_s, nodes=None):
        self.jobs[spec["uid"]] = spec
        self.run_times[spec["uid"]] = run_s
        return self.repeat(lambda status, _: status in (200, 201), "POST", "/work", spec,
                           nodes=nodes)

    def cancel(self, uid, nodes=None):
        return self.repeat(lambda status, answer: status == 200, "POST",
                           "/work/%s/cancel" % uid, nodes=nodes)

    def wait(self, what, condition, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.02)
        raise TimeoutError(what)

    def running(self, piece):
        return [worker for worker in self.workers.values()
                if any(key[0] == piece and stage == "running"
                       for key, stage in worker.pieces().items())]


def _value(path, name):
    with open(path, encoding="utf-8") as file:
        for line in file:
            key, _, value = line.partition("=")
            if key.strip() == name:
                return value.strip().strip('"')
    raise KeyError(name)


def main(case):
    """Runs `case(record, trouble)`: it writes the file `record`, which the first argument names, and
    returns a text if the rule was broken, else None."""
    record = os.path.abspath(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = case(record, trouble)
    except Exception as error:  # the case could not run
        print("could not run: %r" % error)
        return 2
    print("broken: " + broken if broken else "held")
    return 1 if broken else 0
