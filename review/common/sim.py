"""Stand-ins for the review cases: state service, cloud, workers and users, as PROTOCOL describes them.

Everything runs in one process on 127.0.0.1. Only the controllers are separate processes; they are started
with the `run` command of deploy/service.toml. Standard library only.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()


def now():
    return time.monotonic()


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def write(self, *words):
        line = "%8.3f  %s" % (now() - START, " ".join(str(word) for word in words))
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, *words):
        self.write(*words)
        print(" ".join(str(word) for word in words), flush=True)


# --- HTTP -------------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads one HTTP message; returns (first line, headers, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
    return lines[0], headers, body


async def serve(handler):
    """Serves `handler(method, path, query, body) -> (status, value)` on a free port."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ")
                split = urlsplit(target)
                query = {k: v[-1] for k, v in parse_qs(split.query, keep_blank_values=True).items()}
                status, value = await handler(method, unquote(split.path), query, body)
                text = json.dumps(value, separators=(",", ":")).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write((head % (status, len(text))).encode() + text)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", 0, limit=1 << 22)
    return server, "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


async def call(address, method, path, value=None, timeout=2.0):
    """One request on a connection of its own; (status, value, headers, longest line) or None."""
    writer = None

    async def exchange():
        nonlocal writer
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
        body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
        writer.write((head % (method, path, address, len(body))).encode() + body)
        await writer.drain()
        return await read_message(reader)

    try:
        message = await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    first, headers, body = message
    try:
        answer = json.loads(body) if body else None
    except ValueError:
        answer = None
    longest = max((len(line) for line in body.split(b"\n")), default=0)
    return int(first.split(" ")[1]), answer, headers, longest


class Proxy:
    """Passes connections on to `target`. When cut, it resets those that are open and closes new ones at once."""

    def __init__(self, target):
        self.target, self.is_cut, self.open = target, False, set()

    async def start(self):
        server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.server, self.address = server, "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self

    async def connection(self, reader, writer):
        if self.is_cut:
            writer.transport.abort()
            return
        try:
            host, port = self.target.split(":")
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.open |= {writer, to_writer}
        await asyncio.gather(self.copy(reader, to_writer), self.copy(to_reader, writer))
        self.open -= {writer, to_writer}

    async def copy(self, reader, writer):
        try:
            while True:
                part = await reader.read(65536)
                if not part:
                    break
                writer.write(part)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()

    def cut(self):
        self.is_cut = True
        for writer in list(self.open):
            writer.transport.abort()


class Bucket:
    """A rate limit that allows bursts."""

    def __init__(self, rate, burst_s=1.0):
        self.rate, self.burst = rate, rate * burst_s
        self.tokens, self.at = self.burst, now()

    def take(self, amount=1):
        time_now = now()
        self.tokens = min(self.burst, self.tokens + (time_now - self.at) * self.rate)
        self.at = time_now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


# --- State service ----------------------------------------------------------------------------------


class Store:
    """The key-value store, with the limits of the settings."""

    def __init__(self, record, rps, write_rps, value_kb, txn_ops):
        self.record = record
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.requests, self.changes = Bucket(rps), Bucket(write_rps)
        self.values, self.revision, self.history = {}, 0, []
        self.leases, self.next_lease = {}, 1
        self.changed = asyncio.Event()
        self.malformed = 0

    def lower(self, value_kb, txn_ops, write_rps):
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.changes = Bucket(write_rps)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def apply(self, mutations):
        self.revision += 1
        for kind, key, value, lease in mutations:
            if kind == "put":
                self.values[key] = (value, self.revision, lease)
                self.history.append((self.revision, {"put": key, "v": value, "stamp": self.revision}))
            elif self.values.pop(key, None) is not None:
                self.history.append((self.revision, {"drop": key, "stamp": self.revision}))
        del self.history[:-10000]
        self.wake()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [k for k, (ends, _) in self.leases.items() if now() > ends]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        held = [key for key, (_, _, of) in self.values.items() if of == lease]
        if held:
            self.apply([("drop", key, None, None) for key in held])

    def stamp(self, key):
        return self.values[key][1] if key in self.values else 0

    def commit(self, body):
        transaction = json.loads(body)
        guards, then = transaction.get("guards") or [], transaction.get("then") or []
        mutations, too_large = [], len(body) > 64 * 1024
        for change in then:
            if change.get("put") is not None:
                value = change.get("v")
                size = len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())
                if size > self.value_kb * 1024:
                    too_large = True
                    self.record.write("state service: 400, value of %d bytes for %s, limit %d" % (size, change["put"], self.value_kb * 1024))
                lease = change.get("permit")
                if lease is not None and lease not in self.leases:
                    return 400, {"error": "no such lease"}
                mutations.append(("put", change["put"], value, lease))
            else:
                mutations.append(("drop", change["drop"], None, None))
        if too_large or len(then) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            self.malformed += 1
            return 400, {"error": "too large"}
        if not self.changes.take(len(then)):
            return 429, {"error": "too many changes"}
        failed = [guard["k"] for guard in guards if self.stamp(guard["k"]) != guard["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if mutations:
            self.apply(mutations)
        return 200, {"ledger": self.revision}

    async def watch(self, query):
        prefix, after = query.get("starts", ""), int(query.get("after", "0"))
        ends = now() + min(int(query.get("waitMs", "0")), 60000) / 1000.0
        while True:
            if self.history and after + 1 < self.history[0][0] and self.revision > 10000:
                return 410, {"error": "compacted"}
            news = [event for revision, event in self.history if revision > after
                    and (event.get("put") or event.get("drop")).startswith(prefix)]
            left = ends - now()
            if news or left <= 0:
                return 200, {"ledger": self.revision, "news": news}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, path, query, body):
        if not self.requests.take():
            return 429, {"error": "too many requests"}
        await asyncio.sleep(0.004)
        if method == "POST" and path == "/commit":
            return self.commit(body)
        if method == "GET" and path == "/watch":
            return await self.watch(query)
        if method == "GET" and path == "/keys":
            prefix, after, limit = query.get("starts", ""), query.get("after", ""), min(int(query.get("limit", "1000")), 1000)
            keys = sorted(key for key in self.values if key.startswith(prefix) and key > after)
            items, size = [], 0
            for key in keys[:limit]:
                value, stamp, _ = self.values[key]
                size += len(json.dumps(value)) + len(key)
                if size > 512 * 1024 and items:
                    break
                items.append({"k": key, "v": value, "stamp": stamp})
            return 200, {"items": items, "hasNext": len(items) < len(keys), "ledger": self.revision}
        if method == "GET" and path.startswith("/keys/"):
            key = path[len("/keys/"):]
            if key not in self.values:
                return 404, {"ledger": self.revision}
            value, stamp, lease = self.values[key]
            return 200, {"k": key, "v": value, "stamp": stamp, "permit": lease}
        if method == "POST" and path == "/leases":
            life = json.loads(body)["lifeMs"] / 1000.0
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (now() + life, life)
            return 200, {"permit": lease}
        if path.startswith("/leases/"):
            parts = path.split("/")
            lease = int(parts[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_lease(lease)
                return 200, {}
            life = self.leases[lease][1]
            self.leases[lease] = (now() + life, life)
            return 200, {}
        return 400, {"error": "malformed"}


# --- Cloud and workers ------------------------------------------------------------------------------


class Cloud:
    """Rents machines as far as `capacity` allows: {(frame, yard, loaners): number at a time}."""

    def __init__(self, record, frames, capacity, rps, new_worker):
        self.record, self.frames, self.capacity = record, frames, capacity
        self.requests = Bucket(rps, 2.0)
        self.new_worker = new_worker
        self.machines, self.bookings, self.next_name = {}, {}, 1

    def add(self, frame, yard, loaners, boot_s):
        name = "m-%06d" % self.next_name
        self.next_name += 1
        machine = {"ref": name, "endpoint": "127.0.0.1:1", "frame": frame, "yard": yard, "loaners": loaners,
                   "since": now(), "up": now() + boot_s}
        self.machines[name] = machine
        machine["task"] = asyncio.ensure_future(self.boot(machine, boot_s))
        return name

    async def boot(self, machine, boot_s):
        await asyncio.sleep(boot_s)
        worker = self.new_worker(machine)
        machine["worker"] = worker
        await worker.run()

    def gone(self, name):
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.record.write("cloud: returned", name)
            machine["task"].cancel()
            if "worker" in machine:
                machine["worker"].kill_all("machine returned")

    async def handle(self, method, path, query, body):
        if not self.requests.take():
            return 429, {"error": "too many requests"}
        if method == "GET" and path == "/catalog":
            return 200, {"frames": self.frames}
        if method == "GET" and path == "/machines":
            names = sorted(name for name in self.machines if name > query.get("after", ""))
            limit = min(int(query.get("limit", "500")), 500)
            rigs = []
            for name in names[:limit]:
                machine = self.machines[name]
                rig = {key: machine[key] for key in ("ref", "endpoint", "frame", "yard", "loaners")}
                rig["status"] = "running" if now() >= machine["up"] else "starting"
                rig["heldS"] = now() - machine["since"]
                rigs.append(rig)
            return 200, {"rigs": rigs, "hasNext": len(names) > limit}
        if method == "POST" and path == "/machines/return":
            for name in json.loads(body)["rigs"]:
                self.gone(name)
            return 200, {}
        if method == "POST" and path == "/machines":
            request = json.loads(body)
            if request["booking"] in self.bookings:
                return 200, {"rigs": self.bookings[request["booking"]]}
            kind = (request["frame"], request["yard"], request["loaners"])
            held = sum(1 for m in self.machines.values() if (m["frame"], m["yard"], m["loaners"]) == kind)
            number = min(request["number"], self.capacity.get(kind, 0) - held)
            if number <= 0:
                return 503, {"error": "no capacity"}
            boot_s = next(f["bootS"] for f in self.frames if f["label"] == request["frame"])
            rigs = [self.add(*kind, boot_s) for _ in range(number)]
            self.bookings[request["booking"]] = rigs
            self.record.write("cloud: rented", kind, rigs)
            return 200, {"rigs": rigs}
        return 400, {"error": "malformed"}


class Worker:
    """The worker of one machine. `jobs` holds the submitted jobs by id; `results` the completed tasks."""

    def __init__(self, record, machine, size, nodes, times, jobs, results):
        self.record, self.machine, self.size, self.nodes = record, machine, size, nodes
        self.report_s, self.lease_s = times
        self.jobs, self.results = jobs, results
        self.names = list(nodes)
        self.node = random.choice(self.names)
        self.shift, self.tally, self.baton = 1, 0, 0
        self.legs = {}
        self.lease_from = now()
        self.dirty = asyncio.Event()
        self.starts, self.kills, self.answers, self.largest_report, self.longest_line = [], [], {}, 0, 0

    @property
    def name(self):
        return self.machine["ref"]

    def kill_all(self, why):
        for (leg, attempt), task in self.legs.items():
            if task["status"] != "ended":
                self.kills.append((now(), leg, attempt, now() - task["began"]))
        live = sum(1 for task in self.legs.values() if task["status"] != "ended")
        self.record.write(self.name, "kills and forgets %d live tasks:" % live, why)
        self.legs.clear()

    def report(self):
        self.tally += 1
        legs = []
        for (leg, attempt), task in self.legs.items():
            entry = {"leg": leg, "try": attempt, "status": task["status"]}
            if task["status"] == "ended":
                entry["cause"] = task["cause"]
            legs.append(entry)
        machine = self.machine
        return {"rig": self.name, "endpoint": machine["endpoint"], "frame": machine["frame"], "yard": machine["yard"],
                "loaners": machine["loaners"], "shift": self.shift, "tally": self.tally, "baton": self.baton,
                "recallS": None, "legs": legs}

    async def run(self):
        tick = asyncio.ensure_future(self.ticks())
        try:
            while True:
                began = now()
                pause = await self.report_once()
                if pause is None:
                    wait = self.report_s * random.uniform(0.75, 1.25)
                    await asyncio.sleep(max(0.0, 0.5 - (now() - began)))
                    self.dirty.clear() if not self.dirty.is_set() else None
                    try:
                        await asyncio.wait_for(self.dirty.wait(), max(0.0, began + wait - now()))
                    except asyncio.TimeoutError:
                        pass
                else:
                    await asyncio.sleep(pause)
        finally:
            tick.cancel()

    async def ticks(self):
        while True:
            await asyncio.sleep(0.05)
            for (leg, attempt), task in self.legs.items():
                if task["status"] == "running" and now() >= task["ends"]:
                    task["status"], task["cause"] = "ended", task["result"]
                    if task["result"] == "done":
                        self.results.add(leg)
                        self.record.write(self.name, "task done", leg, "try", attempt)
                    self.dirty.set()
            if now() - self.lease_from > self.lease_s:
                self.kill_all("lease of session %d expired" % self.shift)
                self.shift += 1
                self.lease_from = now()
                self.dirty.set()

    async def report_once(self):
        self.dirty.clear()
        sent, shift = now(), self.shift
        report = self.report()
        size = len(json.dumps(report, separators=(",", ":")))
        self.largest_report = max(self.largest_report, size)
        answer = await call(self.nodes[self.node], "POST", "/v1/report", report, 4.0)
        status = answer[0] if answer else None
        self.answers[status] = self.answers.get(status, 0) + 1
        if report["legs"] or status != 200:
            self.record.write(self.name, "report of %d bytes, %d tasks, session %d, to %s: %s" % (size, len(report["legs"]), shift, self.node, status))
        if status == 200:
            self.longest_line = max(self.longest_line, answer[3])
            body = answer[1] or {}
            if shift == self.shift and body.get("baton", -1) >= self.baton:
                if body["baton"] > self.baton:
                    self.dirty.set()
                self.baton = body["baton"]
                self.lease_from = sent
                if body.get("orders"):
                    self.record.write(self.name, "answer of %d bytes, %d orders" % (answer[3], len(body["orders"])))
                for order in body.get("orders", []):
                    self.obey(order)
            return None
        if status == 421:
            to = (answer[1] or {}).get("dispatcher")
            if to in self.nodes and to != self.node:
                self.node = to
                return random.uniform(0.0, 0.5)
        self.node = self.names[(self.names.index(self.node) + 1) % len(self.names)]
        return 1.0

    def obey(self, order):
        key = (order["leg"], order["try"])
        if order["verb"] == "launch":
            if key not in self.legs:
                self.legs[key] = self.start(*key)
                self.dirty.set()
        elif order["verb"] == "stop":
            task = self.legs.get(key)
            if task is not None and task["status"] != "ended":
                task["status"], task["cause"] = "ended", "halted"
                self.record.write(self.name, "task stopped", *key)
                self.dirty.set()
        elif order["verb"] == "clear":
            if key in self.legs and self.legs[key]["status"] == "ended":
                del self.legs[key]
                self.dirty.set()

    def start(self, leg, attempt):
        refused = {"status": "ended", "cause": None, "began": now(), "ends": 0, "result": None}
        job = self.jobs.get(leg.split("/")[0])
        if job is None:
            return {**refused, "cause": "unknown"}
        if any(other == leg and task["status"] != "ended" for (other, _), task in self.legs.items()):
            return {**refused, "cause": "in_use"}
        used = [0.0, 0.0]
        for (other, _), task in self.legs.items():
            if task["status"] != "ended":
                of = self.jobs[other.split("/")[0]]
                used[0] += of["vcpus"]
                used[1] += of["ramGb"]
        if used[0] + job["vcpus"] > self.size[0] + 1e-6 or used[1] + job["ramGb"] > self.size[1] + 1e-6:
            return {**refused, "cause": "full"}
        self.starts.append((now(), leg, attempt))
        run_s = 0.0 if leg in self.results else job["_run_s"]
        return {"status": "running", "cause": None, "began": now(), "ends": now() + run_s, "result": "done"}


# --- Controllers ------------------------------------------------------------------------------------


USED_PORTS = set()


def free_port():
    """A free port below those that the system gives to outgoing connections, so that it stays free over a restart."""
    while True:
        port = random.randrange(12000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return port


def run_command():
    """The `run` command of the deploy file, as a list of words."""
    with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as deploy:
        for line in deploy:
            if line.startswith("run ="):
                return shlex.split(line.split("=", 1)[1].strip().strip('"'))
    raise RuntimeError("deploy/service.toml has no run command")


class Controllers:
    def __init__(self, record, settings, state, cloud, zones, count=3):
        self.record, self.settings = record, settings
        self.state, self.cloud = state, cloud
        self.folder = tempfile.mkdtemp(prefix="quillbend-review-")
        self.hosts = ["spoke-%d" % number for number in range(count)]
        self.zones = {host: zones[number % len(zones)] for number, host in enumerate(self.hosts)}
        self.public = {host: "127.0.0.1:%d" % free_port() for host in self.hosts}
        self.back = {host: "127.0.0.1:%d" % free_port() for host in self.hosts}
        self.processes = {}
        self.states, self.clouds, self.peers = {}, {}, {}  # Addresses that one controller has of its own, if any.

    def settings_text(self, host, extra):
        text = 'host_name = "%s"\nzone = "%s"\npublic_addr = "%s"\nback = "%s"\n' % (
            host, self.zones[host], self.public[host], self.back[host])
        for other in self.hosts:
            if other != host:
                text += '[[known]]\nhost_name = "%s"\nzone = "%s"\nendpoint = "%s"\n' % (
                    other, self.zones[other], self.peers.get((host, other), self.back[other]))
        text += '[external]\ncloud = "%s"\nstate = "%s"\n' % (
            self.clouds.get(host, self.cloud), self.states.get(host, self.state))
        return text + self.settings + extra

    async def start(self, host, extra=""):
        path = os.path.join(self.folder, host + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings_text(host, extra))
        log = open(os.path.join(self.folder, host + ".log"), "ab")
        words = run_command()
        words[0] = os.path.join(ROOT, words[0])
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        process = await asyncio.create_subprocess_exec(*words, path, stderr=log, stdout=log, env=environment)
        self.processes[host] = process
        self.record.write("controller started:", host, "pid", process.pid)

    async def kill(self, host):
        process = self.processes.pop(host, None)
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()
            self.record.write("controller killed:", host)

    async def ready(self, host, within_s=15.0):
        ends = now() + within_s
        while now() < ends:
            answer = await call(self.public[host], "GET", "/ready", timeout=1.0)
            if answer and answer[0] == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self):
        for host in list(self.processes):
            await self.kill(host)
        for host in self.hosts:
            path = os.path.join(self.folder, host + ".log")
            if os.path.exists(path):
                with open(path, encoding="utf-8", errors="replace") as log:
                    lines = log.read().splitlines()
                shown = lines if len(lines) <= 60 else lines[:30] + ["..."] + lines[-30:]
                for line in shown:
                    self.record.write("log of", host + ":", line[:300])
        shutil.rmtree(self.folder, ignore_errors=True)


# --- Users ------------------------------------------------------------------------------------------


class Users:
    """Users behind the load balancer, which is played by taking the nodes in turn."""

    def __init__(self, record, controllers, jobs):
        self.record, self.controllers, self.jobs = record, controllers, jobs
        self.turn = 0

    def next_node(self):
        hosts = self.controllers.hosts
        self.turn += 1
        return hosts[self.turn % len(hosts)]

    async def repeat(self, method, path, value, timeout, accept, within_s=60.0):
        """Repeats a request as PROTOCOL says; the answer, or None after `within_s`."""
        ends = now() + within_s
        while True:
            host = self.next_node()
            answer = await call(self.controllers.public[host], method, path, value, timeout)
            status = answer[0] if answer else None
            self.record.write("user:", method, path, (value or {}).get("ref", ""), "to", host + ":",
                              status, json.dumps(answer[1])[:200] if answer else "no answer")
            if status in accept:
                return answer
            pause = 1.0
            if answer:
                pause = max(pause, min(30.0, float(answer[2].get("retry-after", "0") or 0)))
            if now() + pause > ends:
                return None
            await asyncio.sleep(pause)

    async def submit(self, job, within_s=60.0):
        self.jobs[job["ref"]] = job
        body = {key: value for key, value in job.items() if not key.startswith("_")}
        return await self.repeat("POST", "/api/jobs", body, 5.0, (200, 201, 400, 422), within_s)

    async def cancel(self, ref, within_s=60.0):
        return await self.repeat("POST", "/api/jobs/%s/cancel" % ref, None, 5.0, (200,), within_s)

    async def poll(self, ref):
        host = self.next_node()
        answer = await call(self.controllers.public[host], "GET", "/api/jobs/" + ref, timeout=2.0)
        self.record.write("user: GET", ref, "to", host + ":", json.dumps(answer[1])[:200] if answer else "no answer")
        return answer


def new_job(ref, team, **fields):
    job = {"ref": ref, "route": "work", "crew": team, "shape": "batch", "urgency": "normal", "legs": 1, "vcpus": 1.0,
           "gpus": 0.0, "ramGb": 2.0, "kit": "img-1", "sizeGb": 0.1, "frames": None, "yard": None, "samePlace": False,
           "spread": False, "loaners": True, "rideS": 20.0, "waypointS": 0.0, "stowS": 0.0, "dueS": None, "_run_s": 20.0}
    job.update(fields)
    return job


def main(case):
    """Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt"))
    record.write("TROUBLE=%d" % trouble)

    async def bounded():
        # When the script is asked to end, the case still ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(record, trouble), 117.0)

    try:
        result = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:  # The case could not run.
        record.say("could not run: %r" % error)
        result = 2
    record.say("exit code", result)
    sys.exit(result)
