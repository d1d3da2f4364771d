"""Stand-ins for the state service, the cloud, workers, users and the network, on loopback and the real
clock, and a checker of the users' rules. Written for review/4 to review/8; Python's standard library only.

The stand-ins follow PROTOCOL. Disruptions are set by a case through the fields named `fault`, through
signals to the controllers that the case started, and through the relays between controllers.
"""

import asyncio
import bisect
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "release", "quillbend")
START = time.monotonic()
# A day may last this long, start and end of the processes included.
LIMIT_S = 112.0


def now():
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not run; its script exits with 2."""


class Record:
    """What was sent, answered and run, in `record.txt`."""

    def __init__(self, path):
        self.file = open(path, "w")

    def write(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    """Free ports below those that the operating system hands out by itself, which a stand-in could be given
    before a controller listens on them."""
    found = []
    while len(found) < count:
        port = random.randrange(12000, 30000)
        if port in found:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """Reads one HTTP message with a Content-Length body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += part[:-2]
        else:
            length = int(headers.get("content-length", "0"))
            body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server; `handler(method, path, query, body)` gives (status, value), or None for no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                path, _, text = target.partition("?")
                query = dict(p.split("=", 1) for p in text.split("&") if "=" in p)
                answer = await self.handler(method, path, query, body)
                if answer is None:
                    await asyncio.sleep(30)
                    break
                if answer == "reset":
                    writer.transport.abort()
                    return
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()


class Client:
    """One connection, kept open; one request at a time."""

    def __init__(self, host_port):
        host, port = host_port.split(":")
        self.host, self.port = host, int(port)
        self.reader = self.writer = None
        self.longest_line = 0

    def close(self, hard=False):
        if self.writer:
            if hard:
                self.writer.transport.abort()
            else:
                self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, body=None, timeout=4.0):
        """(status, value, headers), or None if no answer came."""
        try:
            return await asyncio.wait_for(self._request(method, path, body), timeout)
        except (asyncio.TimeoutError, ConnectionError, OSError):
            self.close(hard=True)
            return None

    async def _request(self, method, path, body):
        if self.writer is None or self.writer.is_closing() or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port, limit=1 << 22)
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            self.close()
            raise ConnectionError
        first, headers, body = message
        status = int(first.split(" ")[1])
        self.longest_line = max(map(len, body.split(b"\n")))
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            value = json.loads(body) if body else None
        except ValueError:
            value = None
        return status, value, headers


async def once(address, method, path, body=None, timeout=4.0):
    client = Client(address)
    try:
        return await client.request(method, path, body, timeout)
    finally:
        client.close()


# ---------------------------------------------------------------- the state service

class Bucket:
    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, now()

    def take(self, amount):
        t = now()
        self.level = min(self.rate, self.level + (t - self.at) * self.rate)
        self.at = t
        if self.level < amount:
            return False
        self.level -= amount
        return True


class Store:
    """`fault[node]`: None, "refuse" (503), "hold" (no answer, nothing carried out), or "lost" (carried out,
    no answer). `delay_s[node]` is added before each request is carried out."""

    def __init__(self, nodes, rps=150.0, write_rps=25.0, value_kb=4.0, txn_ops=12, limits=True, latency_s=0.005):
        self.data, self.ledger, self.news = {}, 0, []
        self.leases, self.next_lease = {}, 0
        self.fault = {n: None for n in nodes}
        self.delay_s = {n: 0.0 for n in nodes}
        self.reads, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops, self.limits = value_kb * 1024, txn_ops, limits
        self.latency_s = latency_s
        self.changed = asyncio.Event()
        self.servers = {}
        self.counts = {}
        self.hook = None
        # While every node is refused, leases don't run out; afterwards each has its full time again.
        self.outage = False

    async def start(self):
        for node in self.fault:
            server = Server(lambda m, p, q, b, node=node: self.handle(node, m, p, q, b))
            await server.start()
            self.servers[node] = server
        asyncio.create_task(self.expire())

    def set_outage(self, on):
        self.outage = on
        for node in self.fault:
            self.fault[node] = "refuse" if on else None
        if not on:
            for lease in self.leases.values():
                lease["until"] = now() + lease["ttl"]

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                continue
            for number, lease in list(self.leases.items()):
                if now() > lease["until"] + 0.03:
                    del self.leases[number]
                    gone = [k for k, v in self.data.items() if v[2] == number]
                    if gone:
                        self.apply([{"drop": k} for k in gone])

    def apply(self, ops):
        self.ledger += 1
        for op in ops:
            if "put" in op:
                self.data[op["put"]] = (op["v"], self.ledger, op.get("permit"))
                self.news.append({"put": op["put"], "v": op["v"], "stamp": self.ledger})
            elif op["drop"] in self.data:
                del self.data[op["drop"]]
                self.news.append({"drop": op["drop"], "stamp": self.ledger})
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, stamp, permit = self.data[key]
        item = {"k": key, "v": value, "stamp": stamp}
        if permit:
            item["permit"] = permit
        return item

    async def handle(self, node, method, path, query, body):
        if path != "/watch":
            await asyncio.sleep(self.latency_s * random.uniform(0.6, 1.6) + self.delay_s[node])
        fault = self.fault[node]
        if fault == "hold":
            return None
        if fault == "refuse" and path != "/watch":
            return 503, {"error": "unavailable"}
        if self.limits and not self.reads.take(1):
            return 429, {"error": "too many requests"}
        answer = await self.carry_out(node, method, path, query, body)
        kind = (node, path.split("/")[1], answer[0])
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if self.hook:
            changed = self.hook(node, method, path, body, answer)
            if asyncio.iscoroutine(changed):
                changed = await changed
            if changed is not None:
                return None if changed == "lost" else changed
        return None if fault == "lost" else answer

    async def carry_out(self, node, method, path, query, body):
        if path == "/watch":
            return await self.watch(node, query)
        if path == "/commit":
            return self.commit(json.loads(body))
        if path == "/leases":
            ttl = json.loads(body)["lifeMs"] / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = {"ttl": ttl, "until": now() + ttl}
            return 200, {"permit": self.next_lease}
        if path.startswith("/leases/"):
            lease = self.leases.get(int(path.split("/")[2]))
            if lease is None:
                return 404, {}
            lease["until"] = now() + lease["ttl"]
            return 200, {}
        if path == "/keys":
            start, after = query.get("starts", ""), query.get("after", "")
            limit = min(int(query.get("limit", "1000")), 1000)
            keys = sorted(k for k in self.data if k.startswith(start) and k > after)
            return 200, {"items": [self.item(k) for k in keys[:limit]],
                         "hasNext": len(keys) > limit, "ledger": self.ledger}
        key = path[len("/keys/"):]
        if key in self.data:
            return 200, self.item(key)
        return 404, {"ledger": self.ledger}

    async def watch(self, node, query):
        start, after = query.get("starts", ""), int(query["after"])
        until = now() + int(query.get("waitMs", "0")) / 1000
        while True:
            # Open watches stay open throughout an outage or a refusal.
            if self.fault[node] in (None, "lost"):
                first = bisect.bisect_right(self.news, after, key=lambda n: n["stamp"])
                news = [n for n in self.news[first:] if (n.get("put") or n["drop"]).startswith(start)]
                if news or now() >= until:
                    return 200, {"ledger": self.ledger, "news": news}
                wait = min(0.5, max(0.0, until - now()))
            else:
                wait = 0.05
                if self.fault[node] == "refuse" and now() > until + 20:
                    return 503, {"error": "unavailable"}
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass

    def commit(self, transaction):
        ops, guards = transaction.get("then", []), transaction.get("guards", [])
        if len(ops) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return 400, {"error": "too many"}
        for op in ops:
            if "put" in op:
                if len(json.dumps(op["v"], separators=(",", ":"))) > self.value_bytes:
                    return 400, {"error": "value too large"}
                if op.get("permit") is not None and op["permit"] not in self.leases:
                    return 400, {"error": "no such lease"}
        if self.limits and ops and not self.writes.take(len(ops)):
            return 429, {"error": "too many changes"}
        failed = [g["k"] for g in guards
                  if (self.data[g["k"]][1] if g["k"] in self.data else 0) != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if ops:
            self.apply(ops)
        return 200, {"ledger": self.ledger}


# ---------------------------------------------------------------- the rules

class Rules:
    """Sees what users, workers and the platform see, and judges the rules of PROTOCOL."""

    def __init__(self, record, teams, cancel_s):
        self.record, self.teams, self.cancel_s = record, teams, cancel_s
        self.broken = []
        self.jobs = {}          # ref -> specification
        self.accepted = {}      # ref -> time of the first answer that accepted it
        self.final = {}         # ref -> (status, time)
        self.cancel_asked = {}
        self.withdrawn_at = {}  # ref -> when its user was told
        self.present = {}       # leg -> {machine: since}, tasks on a machine
        self.done = {}          # ref -> set of numbers
        self.starts = 0

    def broke(self, rule, text):
        self.broken.append((rule, text))
        self.record.write(f"RULE BROKEN {rule}: {text}")

    def job_of(self, leg):
        return leg.split("/")[0]

    def on_start(self, leg, machine):
        """A task is on a machine from the moment it has its image."""
        self.starts += 1
        self.record.write(f"start {leg} on {machine.name}")
        ref = self.job_of(leg)
        spec = self.jobs.get(ref)
        others = [m for m in self.present.get(leg, {}) if m != machine.name]
        if others:
            self.broke("ran_twice", f"{leg} starts on {machine.name} while it is on {others}")
        if spec is None:
            self.broke("invented", f"{leg} starts, nobody submitted it")
            return
        if spec.get("yard") and spec["yard"] != machine.zone:
            self.broke("wrong_place", f"{leg} in {machine.zone}")
        if spec.get("frames") and machine.frame not in spec["frames"]:
            self.broke("wrong_place", f"{leg} on {machine.frame}")
        if machine.spot and not spec["loaners"]:
            self.broke("wrong_place", f"{leg} on a spot machine")
        zones = {}
        for other, places in self.present.items():
            if self.job_of(other) == ref and other != leg:
                for zone in places.values():
                    zones[zone] = zones.get(zone, 0) + 1
        if spec["samePlace"] and any(z != machine.zone for z in zones):
            self.broke("wrong_place", f"{leg} in {machine.zone}, others of its job in {zones}")
        if spec["spread"] and zones.get(machine.zone, 0) + 1 > (spec["legs"] + 1) // 2:
            self.broke("wrong_place", f"{leg}: too many of its job in {machine.zone}")
        for needed in spec.get("awaits") or []:
            if len(self.done.get(needed, ())) < self.jobs[needed]["legs"]:
                self.broke("too_early", f"{leg} starts before {needed} is done")
        told = self.withdrawn_at.get(ref)
        if told is not None and now() > told + self.cancel_s:
            self.broke("ran_cancelled", f"{leg} starts {now() - told:.1f} s after its user was told")
        self.present.setdefault(leg, {})[machine.name] = machine.zone
        self.check_quota(spec["crew"])

    def check_quota(self, crew):
        most = self.teams.get(crew)
        if not most:
            return
        used = sum(self.jobs[self.job_of(leg)]["vcpus"] * len(places)
                   for leg, places in self.present.items()
                   if self.jobs[self.job_of(leg)]["crew"] == crew)
        if used > most + 1e-6:
            self.broke("quota", f"{crew} uses {used}, at most {most}")

    def on_end(self, leg, machine, done=False):
        places = self.present.get(leg, {})
        if machine.name in places:
            del places[machine.name]
            self.record.write(f"end {leg} on {machine.name} {'done' if done else 'ended'}")
        if not places:
            self.present.pop(leg, None)
        if done:
            self.done.setdefault(self.job_of(leg), set()).add(int(leg.split("/")[1]))

    def watch_cancelled(self):
        for leg, places in self.present.items():
            told = self.withdrawn_at.get(self.job_of(leg))
            if told is not None and now() > told + self.cancel_s and places:
                if not any(b[0] == "ran_cancelled" and leg in b[1] for b in self.broken):
                    self.broke("ran_cancelled", f"{leg} on {list(places)} "
                               f"{now() - told:.1f} s after its user was told")

    def on_answer(self, ref, status, sent_at, code, asked):
        """An answer with a job's state. `sent_at` is when the question was sent."""
        if ref not in self.jobs:
            self.broke("invented", f"{ref} was never submitted and is {status}")
            return
        known = self.final.get(ref)
        if known and known[1] <= sent_at and known[0] != status:
            self.broke("went_back", f"{ref} was called {known[0]}, now {status}")
        if status == "done" and len(self.done.get(ref, ())) < self.jobs[ref]["legs"]:
            self.broke("not_done", f"{ref} is called done, {len(self.done.get(ref, ()))} "
                       f"of {self.jobs[ref]['legs']} tasks are")
        if status == "withdrawn" and not self.is_cancelled(ref):
            self.broke("went_back", f"{ref} is called cancelled, its user did not ask for it")
        if status in ("done", "withdrawn") and ref not in self.final:
            self.final[ref] = (status, now())
            if status == "withdrawn":
                self.withdrawn_at.setdefault(ref, now())
        self.accepted.setdefault(ref, now())

    def is_cancelled(self, ref):
        if ref in self.cancel_asked:
            return True
        return any(self.is_cancelled(r) for r in self.jobs[ref].get("awaits") or [])

    def on_unknown(self, ref, sent_at, code):
        at = self.accepted.get(ref)
        if at is not None and at <= sent_at:
            self.broke("forgotten", f"{ref} was accepted and is answered {code}")


# ---------------------------------------------------------------- workers

class Worker:
    """One machine with its worker. `cut_to` are the nodes that it can't reach, `deaf_to` those whose answers
    it does not get; `hung` stops everything on it until it goes on."""

    def __init__(self, world, name, frame, zone, spot):
        self.world, self.name, self.frame, self.zone, self.spot = world, name, frame, zone, spot
        kind = world.frames[frame]
        self.cpus, self.ram = kind["vcpus"], kind["ramGb"]
        self.shift, self.tally, self.baton = 1, 0, 0
        self.legs = {}          # (leg, try) -> state
        self.answered_at = now()
        self.node = random.randrange(len(world.nodes))
        self.clients = {}
        self.cut_to, self.deaf_to = set(), set()
        self.hung = False
        self.gone = False
        self.change = asyncio.Event()
        self.statuses = {}
        self.longest_report = self.longest_ack = self.unsent = 0
        self.task = asyncio.create_task(self.run())
        self.runner = asyncio.create_task(self.execute())

    def report(self):
        self.tally += 1
        return {"rig": self.name, "endpoint": "127.0.0.1:9", "frame": self.frame, "yard": self.zone,
                "loaners": self.spot, "shift": self.shift, "tally": self.tally, "baton": self.baton,
                "recallS": None, "legs": [self.leg_report(k, s) for k, s in self.legs.items()]}

    def leg_report(self, key, state):
        out = {"leg": key[0], "try": key[1], "status": state["status"]}
        if state["status"] == "ended":
            out["cause"] = state["cause"]
        return out

    def used(self):
        jobs = [self.world.rules.jobs[k[0].split("/")[0]] for k, s in self.legs.items()
                if s["status"] != "ended"]
        return sum(j["vcpus"] for j in jobs), sum(j["ramGb"] for j in jobs)

    def end(self, key, cause):
        state = self.legs[key]
        if state["status"] == "running":
            self.world.rules.on_end(key[0], self, done=cause == "done")
        state["status"], state["cause"] = "ended", cause
        self.change.set()

    async def execute(self):
        """Runs tasks, and ends the session when the lease is over."""
        while not self.gone:
            await asyncio.sleep(0.03)
            if self.hung:
                continue
            if now() - self.answered_at > self.world.lease_s:
                self.new_shift()
            for key, state in list(self.legs.items()):
                if state["status"] == "fetching" and now() >= state["ready"]:
                    state["status"] = "running"
                    run_s = self.world.run_s(key[0])
                    state["ends"] = now() + run_s
                    self.world.rules.on_start(key[0], self)
                    self.change.set()
                elif state["status"] == "running" and now() >= state["ends"]:
                    broken = key[0].split("/")[0] in self.world.mistaken
                    if broken:
                        ref = key[0].split("/")[0]
                        self.world.failed[ref] = self.world.failed.get(ref, 0) + 1
                    self.end(key, "error" if broken else "done")

    def new_shift(self):
        had = len(self.legs)
        for key, state in self.legs.items():
            if state["status"] == "running":
                self.world.rules.on_end(key[0], self)
        self.legs = {}
        self.shift += 1
        self.answered_at = now()
        self.world.record.write(f"lease over on {self.name}, {had} tasks ended, session {self.shift}")
        self.change.set()

    def die(self):
        self.gone = True
        for key, state in self.legs.items():
            if state["status"] == "running":
                self.world.rules.on_end(key[0], self)
        self.legs = {}
        self.task.cancel()
        self.runner.cancel()
        for client in self.clients.values():
            client.close(hard=True)

    def obey(self, order):
        leg, verb = order["leg"], order["verb"]
        key = (leg, order["try"])
        if verb == "launch":
            if key in self.legs:
                return
            state = {"status": "ended", "cause": "unknown"}
            self.legs[key] = state
            self.change.set()
            ref = leg.split("/")[0]
            spec = self.world.rules.jobs.get(ref)
            if spec is None or int(leg.split("/")[1]) >= spec["legs"]:
                return
            if any(k[0] == leg and k != key and s["status"] != "ended" for k, s in self.legs.items()):
                state["cause"] = "in_use"
                return
            cpus, ram = self.used()
            if cpus + spec["vcpus"] > self.cpus + 1e-6 or ram + spec["ramGb"] > self.ram + 1e-6:
                state["cause"] = "full"
                return
            state.update(status="fetching", ready=now() + self.world.fetch_s)
        elif verb == "stop":
            if key in self.legs and self.legs[key]["status"] != "ended":
                self.end(key, "halted")
        elif verb == "clear":
            if key in self.legs and self.legs[key]["status"] == "ended":
                del self.legs[key]

    async def run(self):
        await asyncio.sleep(random.uniform(0, 0.5))
        while not self.gone:
            while self.hung:
                await asyncio.sleep(0.02)
            began = now()
            self.change.clear()
            pause = await self.one_report()
            wait = pause if pause is not None else self.world.report_s * random.uniform(0.75, 1.25)
            if pause is None:
                try:
                    await asyncio.wait_for(self.change.wait(), max(0.01, wait - (now() - began)))
                except asyncio.TimeoutError:
                    pass
                await asyncio.sleep(max(0.0, began + 0.5 - now()))
            else:
                await asyncio.sleep(pause)

    async def one_report(self):
        """None: stays with this node. A number: goes on that many seconds later."""
        world = self.world
        index = self.node
        shift, sent, body = self.shift, now(), self.report()
        size = len(json.dumps(body, separators=(",", ":")))
        self.longest_report = max(self.longest_report, size)
        if world.report_hook:
            world.report_hook(self, index, body)
        if size > 64 * 1024:
            # "A request body may be at most 64 KiB": there is no report that this worker may send.
            self.unsent += 1
            return None
        if index in self.cut_to or world.workers_cut[index]:
            await asyncio.sleep(4.0)
            answer = None
        else:
            client = self.clients.get(index)
            if client is None:
                client = self.clients[index] = Client(world.nodes[index].public)
            answer = await client.request("POST", "/v1/report", body, 4.0)
            if index in self.deaf_to or (answer and world.workers_cut[index]):
                await asyncio.sleep(max(0.0, sent + 4.0 - now()))
                client.close(hard=True)
                answer = None
        while self.hung:
            await asyncio.sleep(0.02)
        if answer is not None and now() - sent > 4.0:
            answer = None
        status = answer[0] if answer else None
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if answer and status == 200:
            value = answer[1] or {}
            self.longest_ack = max(self.longest_ack, client.longest_line)
            token = value.get("baton")
            if shift == self.shift and token is not None and token >= self.baton:
                if token > self.baton:
                    self.baton = token
                    self.change.set()
                self.answered_at = sent
                for order in value.get("orders", []):
                    self.obey(order)
            return None
        if answer and status == 421:
            named = (answer[1] or {}).get("dispatcher")
            names = [n.name for n in world.nodes]
            if named in names and named != names[index]:
                self.node = names.index(named)
                return random.uniform(0.0, 0.5)
        self.node = (index + 1) % len(world.nodes)
        return 1.0


# ---------------------------------------------------------------- relays between controllers

class Relay:
    """A TCP relay on the way to one controller's `back` address. `mode`: "pass", "refuse" or "hold"."""

    def __init__(self, target):
        self.target, self.mode, self.pairs = target, "pass", set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def set(self, mode):
        self.mode = mode
        if mode == "refuse":
            for w in list(self.pairs):
                w.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            while self.mode == "hold":
                await asyncio.sleep(0.05)
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.pairs |= {writer, up_writer}

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    while self.mode == "hold":
                        await asyncio.sleep(0.05)
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                sink.close()

        await asyncio.gather(pump(reader, up_writer), pump(up_reader, writer))
        self.pairs -= {writer, up_writer}


# ---------------------------------------------------------------- controllers

class Node:
    def __init__(self, name, zone, public, back):
        self.name, self.zone, self.public, self.back = name, zone, public, back
        self.process = None
        self.ended_itself = 0
        self.wanted = False
        self.stopped = False

    async def start(self, folder, env=None, arguments=()):
        self.wanted = True
        self.log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            BINARY, *arguments, "--config", self.settings, stderr=self.log, stdout=self.log,
            env={**os.environ, "LOG_LEVEL": os.environ.get("CASE_LOG", "info"), **(env or {})})

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.wanted = False
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def freeze(self):
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def thaw(self):
        self.stopped = False
        self.signal(signal.SIGCONT)


FRAMES = [
    {"label": "small", "vcpus": 4, "gpus": 0, "ramGb": 16, "localGb": 50, "fetchGbPerS": 0.5,
     "price": 0.16, "marketPrice": 0.06, "bootS": 5, "yards": ["north", "south"]},
    {"label": "large", "vcpus": 64, "gpus": 0, "ramGb": 512, "localGb": 50, "fetchGbPerS": 0.5,
     "price": 2.84, "marketPrice": 1.08, "bootS": 5, "yards": ["north", "south"]},
]


class World:
    """A small deployment: controllers, and all that they talk to."""

    def __init__(self, record, nodes=3, report_s=2.0, lease_s=12.0, cancel_s=37.0, teams=None,
                 rps=150.0, write_rps=25.0, value_kb=4.0, txn_ops=12, list_lag_s=3.0,
                 zones=("north", "south"), frames=FRAMES, capacity=None, boot_s=2.0, host="spoke", extra=""):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.report_s, self.lease_s, self.cancel_s = report_s, lease_s, cancel_s
        self.teams = teams or {"blue": (24.0, 48.0), "red": (24.0, 48.0)}
        self.rules = Rules(record, {t: m for t, (_, m) in self.teams.items()}, cancel_s)
        self.frames = {f["label"]: f for f in frames}
        self.zones, self.list_lag_s = zones, list_lag_s
        self.limits = dict(rps=rps, write_rps=write_rps, value_kb=value_kb, txn_ops=txn_ops)
        self.extra = extra
        ports = free_ports(2 * nodes)
        self.nodes = [Node(f"{host}-{i}", zones[i % len(zones)], f"127.0.0.1:{ports[2 * i]}",
                           f"127.0.0.1:{ports[2 * i + 1]}") for i in range(nodes)]
        self.workers_cut = [False] * nodes
        self.users_cut = [False] * nodes
        self.store = Store([n.name for n in self.nodes], **self.limits)
        self.cloud = Cloud(self, capacity, boot_s)
        self.workers = {}
        self.fetch_s = 0.2
        self.run_of = {}
        # Jobs submitted with a mistake: their tasks fail on every machine.
        self.mistaken, self.failed = set(), {}
        self.report_hook = None
        self.next_ref = 0
        self.poll_fail = {}

    def run_s(self, leg):
        return self.run_of.get(leg.split("/")[0], 3.0)

    async def start(self, env=None, arguments=lambda node: ()):
        if not os.path.exists(BINARY):
            raise CannotRun("target/release/quillbend is missing")
        await self.store.start()
        await self.cloud.start()
        self.relays = {}
        for a in self.nodes:
            for b in self.nodes:
                if a is not b:
                    relay = self.relays[a.name, b.name] = Relay(b.back)
                    await relay.start()
        for node in self.nodes:
            node.settings = os.path.join(self.folder, f"{node.name}.toml")
            with open(node.settings, "w") as f:
                f.write(self.settings(node))
            await node.start(self.folder, env, arguments(node))
        asyncio.create_task(self.watch_rules())

    def settings(self, node):
        text = (f'host_name = "{node.name}"\nzone = "{node.zone}"\npublic_addr = "{node.public}"\n'
                f'back = "{node.back}"\n')
        for other in self.nodes:
            if other is not node:
                port = self.relays[node.name, other.name].port
                text += (f'[[known]]\nhost_name = "{other.name}"\nzone = "{other.zone}"\n'
                         f'endpoint = "127.0.0.1:{port}"\n')
        text += (f'[external]\ncloud = "127.0.0.1:{self.cloud.server.port}"\n'
                 f'state = "127.0.0.1:{self.store.servers[node.name].port}"\n')
        text += f'[settings]\ncount = {len(self.nodes)}\nzones = {json.dumps(list(self.zones))}\n'
        text += 'clock_error_ms = 250.0\n'
        for team, (cpus, most) in self.teams.items():
            text += (f'[[settings.teams]]\nname = "{team}"\ncpus = {cpus}\ncpus_max = {most}\n'
                     'gpus = 0.0\ngpus_max = 0.0\n')
        limits = self.limits
        text += (f'[settings.workers]\nreport_s = {self.report_s}\nlease_s = {self.lease_s}\n'
                 f'gang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = {self.cancel_s}\n'
                 f'[settings.state]\nrps = {limits["rps"]}\nwrite_rps = {limits["write_rps"]}\n'
                 f'value_kb = {limits["value_kb"]}\ntxn_ops = {limits["txn_ops"]}\n'
                 f'[settings.cloud]\nrps = 6.0\nlist_lag_s = {self.list_lag_s}\n'
                 '[settings.resources]\ncpu = 0.12\nmemory_mb = 72.0\nmax_sockets = 1500\n')
        return text + self.extra

    async def watch_rules(self):
        while True:
            await asyncio.sleep(0.1)
            self.rules.watch_cancelled()
            for node in self.nodes:
                if node.wanted and node.process and node.process.returncode is not None:
                    node.wanted = False
                    node.ended_itself += 1
                    self.rules.broke("ended", f"{node.name} ended by itself: {node.process.returncode}")

    async def ready(self, count=None, timeout=25.0):
        """Waits until this many controllers are ready."""
        count = count or len(self.nodes)
        until = now() + timeout
        while now() < until:
            ok = 0
            for node in self.nodes:
                if node.process.returncode is not None:
                    raise CannotRun(f"{node.name} did not start")
                answer = await once(node.public, "GET", "/ready", timeout=1.0)
                ok += bool(answer and answer[0] == 200)
            if ok >= count:
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the controllers did not get ready")

    async def status(self, index):
        answer = await once(self.nodes[index].back, "GET", "/status", timeout=2.0)
        return answer[1] if answer else None

    def leader(self):
        item = self.store.data.get("qb/lead")
        if not item:
            return None
        names = [n.name for n in self.nodes]
        for value in item[0].values():
            if value in names:
                return names.index(value)
        return None

    # ---- users

    def job(self, **fields):
        self.next_ref += 1
        spec = {"ref": f"wk-{self.next_ref:06d}", "route": "thesis-compare", "crew": "blue", "shape": "batch",
                "urgency": "normal", "legs": 2, "vcpus": 1.0, "gpus": 0.0, "ramGb": 1.0, "kit": "img-1",
                "sizeGb": 0.1, "frames": None, "yard": None, "samePlace": False, "spread": False,
                "loaners": True, "rideS": 3.0, "waypointS": 0.0, "stowS": 0.0, "dueS": None}
        run = fields.pop("run_s", None)
        spec.update(fields)
        if run is not None:
            self.run_of[spec["ref"]] = run
            spec["rideS"] = fields.get("rideS", run)
        return spec

    def pick(self, node):
        if node is not None:
            return node
        up = [i for i, n in enumerate(self.nodes) if n.wanted and not n.stopped and not self.users_cut[i]]
        return random.choice(up) if up else 0

    async def user(self, node, method, path, body=None, timeout=5.0):
        index = self.pick(node)
        if self.users_cut[index]:
            await asyncio.sleep(timeout)
            return None
        return await once(self.nodes[index].public, method, path, body, timeout)

    async def submit(self, spec, node=None, within=60.0):
        """Submits as a user does; the code of the last answer, or None."""
        ref = spec["ref"]
        self.rules.jobs[ref] = spec
        until, code = now() + within, None
        while now() < until:
            sent = now()
            answer = await self.user(node, "POST", "/api/jobs", spec)
            code = answer[0] if answer else None
            value = answer[1] if answer else None
            self.record.write(f"submit {ref} -> {code} {json.dumps(value)}")
            if code in (200, 201):
                self.rules.on_answer(ref, value["status"], sent, code, "submit")
                return code
            if code in (400, 422, 404):
                if code != 404:
                    self.rules.on_unknown(ref, sent, code)
                return code
            await asyncio.sleep(1.0)
        return code

    async def poll(self, ref, node=None, quiet=False):
        sent = now()
        answer = await self.user(node, "GET", f"/api/jobs/{ref}", timeout=2.0)
        code = answer[0] if answer else None
        if code == 200:
            self.rules.on_answer(ref, answer[1]["status"], sent, code, "poll")
        elif code == 404:
            self.rules.on_unknown(ref, sent, code)
        if not quiet:
            self.record.write(f"poll {ref} -> {code} {json.dumps(answer[1]) if answer else ''}")
        return answer[1]["status"] if code == 200 else code

    async def cancel(self, ref, node=None, within=60.0):
        until = now() + within
        self.rules.cancel_asked.setdefault(ref, now())
        while now() < until:
            sent = now()
            answer = await self.user(node, "POST", f"/api/jobs/{ref}/cancel", {})
            code = answer[0] if answer else None
            self.record.write(f"cancel {ref} -> {code} {json.dumps(answer[1]) if answer else ''}")
            if code == 200:
                self.rules.on_answer(ref, answer[1]["status"], sent, code, "cancel")
                return answer[1]["status"]
            if code == 404:
                self.rules.on_unknown(ref, sent, code)
                return code
            await asyncio.sleep(1.0)
        return None

    async def wait_for(self, condition, timeout, every=0.05):
        until = now() + timeout
        while now() < until:
            if condition():
                return True
            await asyncio.sleep(every)
        return False

    def running(self, ref=None):
        return [leg for leg in self.rules.present if ref is None or leg.startswith(ref + "/")]

    async def stop(self):
        for node in self.nodes:
            if node.stopped:
                node.thaw()
            await node.kill()
        for worker in self.workers.values():
            worker.die()
        if not os.environ.get("CASE_KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Cloud:
    def __init__(self, world, capacity, boot_s):
        self.world, self.boot_s = world, boot_s
        # (frame, zone, spot) -> machines to be had
        self.capacity = capacity if capacity is not None else {}
        self.machines, self.bookings, self.next, self.history = {}, {}, 0, []
        self.outage = False
        self.hook = None

    async def start(self):
        self.server = Server(self.handle)
        await self.server.start()
        asyncio.create_task(self.boot())

    def add(self, frame, zone, spot, up=False):
        self.next += 1
        name = f"m-{self.next:06d}"
        self.machines[name] = {"frame": frame, "zone": zone, "spot": spot, "since": now(),
                               "up": now() if up else now() + self.boot_s * random.uniform(0.6, 1.5)}
        if up:
            self.world.workers[name] = Worker(self.world, name, frame, zone, spot)
        return name

    async def boot(self):
        while True:
            await asyncio.sleep(0.1)
            for name, m in list(self.machines.items()):
                if name not in self.world.workers and now() >= m["up"]:
                    self.world.workers[name] = Worker(self.world, name, m["frame"], m["zone"], m["spot"])
            rows = [{"ref": n, "endpoint": "127.0.0.1:9", "frame": m["frame"], "yard": m["zone"],
                     "loaners": m["spot"], "status": "running" if n in self.world.workers else "starting",
                     "heldS": round(now() - m["since"], 2)} for n, m in sorted(self.machines.items())]
            self.history.append((now(), rows))
            self.history = [h for h in self.history if h[0] > now() - 2 * self.world.list_lag_s - 1]

    def take(self, name):
        """The machine and everything on it are gone."""
        self.machines.pop(name, None)
        worker = self.world.workers.pop(name, None)
        if worker:
            worker.die()

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.03)
        if self.outage:
            return 503, {"error": "trouble"}
        if self.hook:
            answer = self.hook(method, path, query, body)
            if answer is not None:
                return answer
        if path == "/catalog":
            return 200, {"frames": list(self.world.frames.values())}
        if path == "/machines" and method == "GET":
            old = [h for h in self.history if h[0] <= now() - self.world.list_lag_s]
            rows = old[-1][1] if old else []
            rows = [r for r in rows if r["ref"] > query.get("after", "")]
            limit = int(query.get("limit", "500"))
            return 200, {"rigs": rows[:limit], "hasNext": len(rows) > limit}
        if path == "/machines":
            request = json.loads(body)
            if request["booking"] in self.bookings:
                return 200, {"rigs": self.bookings[request["booking"]]}
            pool = (request["frame"], request["yard"], request["loaners"])
            number = min(request["number"], self.capacity.get(pool, 0))
            if number == 0:
                return 503, {"error": "no capacity"}
            self.capacity[pool] -= number
            names = [self.add(*pool) for _ in range(number)]
            self.bookings[request["booking"]] = names
            self.world.record.write(f"rented {names} for {request['booking']}")
            return 200, {"rigs": names}
        if path == "/machines/return":
            for name in json.loads(body)["rigs"]:
                if name in self.machines:
                    m = self.machines[name]
                    pool = (m["frame"], m["zone"], m["spot"])
                    self.capacity[pool] = self.capacity.get(pool, 0) + 1
                    self.world.record.write(f"returned {name}")
                    self.take(name)
            return 200, {}
        return 400, {"error": "malformed"}


def run_case(main, folder):
    """Runs `main(record, trouble)`, which returns the broken rules; exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        # A script that is ended from outside ends its processes too.
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        return await asyncio.wait_for(main(record, trouble), LIMIT_S)

    try:
        broken = asyncio.run(limited())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as reason:
        record.write(f"COULD NOT RUN: {reason!r}")
        print(f"could not run: {reason!r}")
        sys.exit(2)
    if broken:
        record.write(f"RESULT broken: {broken}")
        print(f"broken: {broken[:3]}")
        sys.exit(1)
    record.write("RESULT held")
    print("held")
    sys.exit(0)
