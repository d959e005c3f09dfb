"""Stand-ins for a small site: the table service, workers, the operator and callers, and real instances.

Every address is a loopback address. The stand-ins follow the users' pages; where a page is silent they behave
like a sound table, worker or caller. The instances are real processes with the deploy file's command.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "release", "bankvalve")
HOST = "127.0.0.1"
MAX_HOLD_MS = 6000
STOP_MS = 300
HEARTBEAT_S = 1.5


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Http:
    """A small HTTP/1.1 server; `handler(method, path, headers, body)` returns (status, dict) or None."""

    def __init__(self, handler):
        self.handler, self.server, self.writers, self.port = handler, None, set(), 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handler(method, path, headers, body)
                if answer is None:
                    return
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Closes the port and all connections, as the end of a process does."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Table:
    """The platform's table service."""

    def __init__(self):
        self.rows, self.ver, self.log = {}, 0, []
        self.changed = asyncio.Event()
        self.started = time.monotonic()
        self.http = Http(self.handle)
        # Called with ("tx" or "read", request) before the call is carried out, and with its answer after. May
        # wait; returns "refuse" or "silent" for that.
        self.before = self.after = None

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def put(self, table, part, key, value):
        self.apply([(table, part, key, base64.b64encode(value).decode())], [])

    def remove(self, table, part, key):
        self.apply([], [(table, part, key)])

    def apply(self, puts, removals):
        self.ver += 1
        for table, part, key, value in puts:
            self.rows[(table, part, key)] = (value, self.ver)
            self.log.append((self.ver, table, part, key, value))
        for name in removals:
            if self.rows.pop(name, None):
                self.log.append((self.ver, *name, None))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    @staticmethod
    def row(table, part, key, value, ver):
        return {"table": table, "part": part, "TlsKey": key, "Value": value, "ver": ver}

    async def handle(self, method, path, headers, body):
        path, _, query = path.partition("?")
        fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        request = (path, fields, body, headers)
        if self.before:
            verdict = await self.before(request)
            if verdict == "refuse":
                return 503, {}
            if verdict == "silent":
                await asyncio.sleep(3600)
        answer = await self.carry_out(path, fields, body)
        if self.after:
            verdict = await self.after(request, answer)
            if verdict == "silent":
                await asyncio.sleep(3600)
        return answer

    async def carry_out(self, path, fields, body):
        await asyncio.sleep(0.004)
        if path == "/rows-tx":
            call = json.loads(body)
            wanted = call.get("ExpectedRev", [])
            name = lambda row: (row["table"], row.get("part", ""), row["TlsKey"])
            held = [(name(row), self.rows.get(name(row)), row.get("ver", 0)) for row in wanted]
            if any((row[1] if row else 0) != ver for _, row, ver in held):
                rows = [self.row(*key, *row) for key, row, _ in held if row]
                return 412, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
            puts = [(*name(row), row.get("Value", "")) for row in call.get("put", [])]
            self.apply(puts, [name(row) for row in call.get("Remove", [])])
            return 200, {"ver": self.ver, "now_ms": self.now_ms()}
        if path == "/rows-get":
            table, part = fields.get("table", ""), fields.get("part", "")
            first, limit = fields.get("Source", ""), min(int(fields.get("limit", 500)), 500)
            names = sorted(n for n in self.rows if n[0] == table and n[1] == part and n[2] >= first)
            rows = [self.row(*n, *self.rows[n]) for n in names[:limit]]
            return 200, {"rows": rows, "more": len(names) > limit, "ver": self.ver, "now_ms": self.now_ms()}
        if path == "/rows-parts":
            parts = sorted({n[1] for n in self.rows if n[0] == fields.get("table", "")})
            return 200, {"parts": parts, "more": False, "ver": self.ver, "now_ms": self.now_ms()}
        if path == "/rows-feed":
            table, after = fields.get("table", ""), int(fields.get("AfterRev", 0))
            end = time.monotonic() + int(fields.get("WaitMs", 0)) / 1000
            while True:
                news = [e for e in self.log if e[0] > after and e[1] == table]
                left = end - time.monotonic()
                if news or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            rows = []
            for ver, table, part, key, value in news:
                row = self.row(table, part, key, value or "", ver)
                if value is None:
                    row["gone"] = True
                rows.append(row)
            return 200, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
        return 404, {}


class Worker:
    """A worker: runs tasks for the time that their job's text gives ("work_ms=N")."""

    count = 0

    def __init__(self, site, service="billing", zone="z1", rack="r1", cpu=16000, mem=65536):
        Worker.count += 1
        self.site, self.number = site, Worker.count
        self.id = f"i-{self.number:04x}"
        self.entry = {"Service": service, "Zone": zone, "Version": "v1", "Slots": 8, "State": "ready",
                      "ColdLeftMs": 0, "Capacity": {"Cpu": cpu, "MemMb": mem, "Gpu": 0}, "Labels": ["a", rack]}
        self.running, self.ended, self.highest = {}, [], {}
        self.next_end, self.fence, self.hold_until = 1, 0, 0
        self.up, self.beating = False, True
        self.born = time.monotonic()
        self.http = Http(self.handle)
        self.news = asyncio.Event()
        self.late = None  # called with (path, call); returns seconds by which the order is late, or None

    def clock(self):
        return int((time.monotonic() - self.born) * 1000) + 100000

    async def start(self, port=0):
        await self.http.start(port)
        self.up = True
        self.entry["Address"] = f"{HOST}:{self.http.port}"
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.watch())]

    async def beat(self):
        seq = 0
        while self.up:
            seq += 1
            if self.beating:
                entry = dict(self.entry, Seq=seq)
                self.site.table.put("servers", "", self.id, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """The worker crashes: all that it runs dies, and its port refuses connections."""
        self.up = False
        self.http.crash()
        for task in list(self.running):
            self.site.note("died", task=task, run=self.running[task]["run"], worker=self.id)
        self.running.clear()
        for task in self.tasks:
            task.cancel()
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.site.table.remove, "servers", "", self.id)

    def end(self, task, how, saved=""):
        run = self.running.pop(task)
        self.site.note("end", task=task, run=run["run"], how=how, worker=self.id)
        self.ended.append([self.next_end, task, run["run"], how, saved])
        self.next_end += 1
        event, self.news = self.news, asyncio.Event()
        event.set()

    async def watch(self):
        while True:
            await asyncio.sleep(0.01)
            clock = self.clock()
            if self.running and clock > self.hold_until:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                if run["stop_at"] is not None and clock >= run["stop_at"]:
                    self.end(task, "stopped")
                elif clock >= run["done_at"]:
                    self.end(task, run["how"])

    def extend(self, deadline):
        if deadline is not None:
            self.hold_until = max(self.hold_until, min(deadline, self.clock() + MAX_HOLD_MS))

    async def handle(self, method, path, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        call = json.loads(body or b"{}")
        seconds = self.late(path, call) if self.late else None
        if seconds is not None:
            asyncio.get_running_loop().call_later(seconds, lambda: asyncio.ensure_future(self.act(path, call)))
            await asyncio.sleep(3600)
        return await self.act(path, call)

    async def act(self, path, call):
        if not self.up:
            return None
        token = call.get("FencingToken", 0)
        if token < self.fence:
            return 409, {"ClockMs": self.clock(), "Reason": "fence"}
        self.fence = token
        if path == "/hold":
            self.extend(call.get("DeadlineMs"))
            self.ended = [end for end in self.ended if end[0] > call.get("LastSeen", 0)]
            until = time.monotonic() + min(call.get("WaitMs", 0), 2000) / 1000
            while not self.ended and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.news.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            clock = self.clock()
            running = [[task, run["run"], "", min(99, int(100 * (clock - run["since"]) / run["work"]))]
                       for task, run in self.running.items()]
            return 200, {"ClockMs": self.clock(), "Running": running, "Ended": self.ended[:500]}
        task, run = call.get("TaskId"), call.get("RunId", 0)
        if path == "/run-start":
            held = self.running.get(task)
            if held and held["run"] == run:
                return 200, {"ClockMs": self.clock()}
            if run <= self.highest.get(task, 0):
                return 409, {"ClockMs": self.clock(), "Reason": "old"}
            if call["DeadlineMs"] < self.clock():
                return 409, {"ClockMs": self.clock(), "Reason": "late"}
            self.extend(call["DeadlineMs"])
            spec = dict(pair.split("=") for pair in call["Spec"].split(",") if "=" in pair)
            work, clock = int(spec.get("work_ms", 1000)), self.clock()
            self.highest[task] = run
            self.running[task] = {"run": run, "since": clock, "work": work, "done_at": clock + work,
                                  "stop_at": None, "how": "done"}
            self.site.note("start", task=task, run=run, worker=self.id)
            self.site.started(self, task, run)
            return 200, {"ClockMs": self.clock()}
        if path == "/run-stop":
            held = self.running.get(task)
            self.highest[task] = max(self.highest.get(task, 0), run)
            if held and held["run"] <= run and held["stop_at"] is None:
                held["stop_at"] = self.clock() + STOP_MS
            return 200, {"ClockMs": self.clock()}
        return 400, {}


class Instance:
    """A process of the system, with the command of the deploy file."""

    def __init__(self, site, number, zone):
        self.site, self.number = site, number
        ports = [free_port() for _ in range(4)]
        self.front, self.ready_port, self.peer, self.metrics = ports
        self.file = os.path.join(site.folder, f"front-{number}.jsonc")
        settings = {
            "site": {"name": f"front-{number}", "domain": zone},
            "listen": {"callers": f"{HOST}:{ports[0]}", "readiness": f"{HOST}:{ports[1]}",
                       "peers": f"{HOST}:{ports[2]}", "metrics": f"{HOST}:{ports[3]}"},
            "platform": {"table": f"{HOST}:{site.table.http.port}", "policy": None, "machines": None},
            "bounds_ms": {"hold_limit": MAX_HOLD_MS, "early": 250, "status": 120000, "stop": 4200},
            "processor": {"share": 0.25, "speed": 1.0},
            "limits": {"row_bytes": 65536, "descriptors": 4200},
            "log": {"level": "info"},
        }
        with open(self.file, "w") as file:
            json.dump(settings, file)
        self.process = None

    async def start(self):
        log = open(os.path.join(self.site.folder, f"front-{self.number}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            BINARY, "serve", f"--settings={self.file}", cwd=ROOT, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        try:
            status, _ = await call(self.ready_port, "GET", "/ready", timeout=1)
            return status == 200
        except Exception:
            return False

    async def leads(self):
        """Returns whether the instance says in its metrics that it leads."""
        try:
            _, text = await call(self.metrics, "GET", "/metrics", timeout=1, raw=True)
        except Exception:
            return False
        for line in text.splitlines():
            if "leading" in line and not line.startswith("#"):
                return float(line.split()[-1]) == 1
        return False


async def call(port, method, path, body=None, host=None, timeout=3.0, raw=False, headers=()):
    """Sends one request on a new connection; returns (status, decoded body)."""
    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host or HOST}", "Content-Type: application/json",
                     f"Content-Length: {len(data)}", f"X-Deadline-Ms: {int(timeout * 1000)}",
                     "Connection: close", *headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            answer = await reader.read()
        finally:
            writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        if not head:
            raise ConnectionError("no answer")
        status = int(head.split(b" ")[1])
        if raw:
            return status, rest.decode()
        return status, json.loads(rest) if rest.strip().startswith((b"{", b"[")) else None
    return await asyncio.wait_for(exchange(), timeout)


class Site:
    """A small site with its record of what was sent, answered and run."""

    def __init__(self, record):
        self.record = open(record, "w")
        self.begun = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="bankvalve-site-")
        self.table, self.workers, self.instances = Table(), [], []
        self.on_start = None
        self.events = []

    def note(self, what, **fields):
        at = time.monotonic() - self.begun
        self.events.append((at, what, fields))
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(f"{at:8.3f} {what} {text}\n")
        self.record.flush()

    def started(self, worker, task, run):
        if self.on_start:
            self.on_start(worker, task, run)

    async def begin(self, workers=12, instances=3, routes=None, version=1):
        await self.table.http.start()
        self.config(version, routes)
        for number in range(workers):
            await self.add_worker(zone=f"z{number % 3 + 1}", rack=f"r{number // 4 + 1}")
        for number in range(instances):
            instance = Instance(self, number + 1, f"z{number % 3 + 1}")
            self.instances.append(instance)
            await instance.start()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if all([await instance.is_ready() for instance in self.instances]):
                self.note("ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the instances did not become ready")

    def config(self, version, routes=None):
        routes = routes or [self.route()]
        config = {"Version": version, "Routes": routes,
                  "Services": [{"Name": "billing", "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1",
                                "Tls": False, "AdmissionCheck": False, "Headroom": False}],
                  "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                             "IdleTimeoutMs": 15000}}
        self.table.put("op", "", "config", json.dumps(config).encode())
        self.note("config", version=version)

    @staticmethod
    def route(name="q1", prefix="/q1/", priority=1, attempts=4, **more):
        return dict({"Name": name, "Host": "site.example", "PathPrefix": prefix, "Kind": "unsafe", "TimeoutMs": 3000,
                     "TargetLatencyMs": 1000, "Priority": priority, "Service": "billing", "MaxAttempts": attempts,
                     "Stretch": 2.0}, **more)

    async def add_worker(self, **fields):
        worker = Worker(self, **fields)
        self.workers.append(worker)
        await worker.start()
        return worker

    async def request(self, instance, method, path, body=None, timeout=3.0):
        try:
            status, answer = await call(instance.front, method, path, body, host="site.example", timeout=timeout)
        except Exception as error:
            status, answer = None, type(error).__name__
        self.note("answer", method=method, path=path, at=instance.number, status=status, body=answer)
        return status, answer

    async def leader(self):
        for instance in self.instances:
            if instance.process.returncode is None and await instance.leads():
                return instance
        return None

    async def close(self):
        for instance in self.instances:
            await instance.kill()
        for worker in self.workers:
            if worker.up:
                worker.up = False
                worker.http.crash()
        self.table.http.crash()
        self.record.close()


def run(scenario):
    """Runs a scenario: `scenario(site, trouble)` returns whether the rule held. Exits with 0, 1 or 2."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        site = Site(os.path.join(folder, "record.txt"))
        try:
            held = await asyncio.wait_for(scenario(site, trouble), 110)
            site.note("verdict", rule="held" if held else "broken", trouble=trouble)
            return 0 if held else 1
        except Exception as error:
            site.note("verdict", rule="not run", error=repr(error))
            return 2
        finally:
            await site.close()
            if os.environ.get("KEEP_LOGS"):
                print(site.folder)
            else:
                shutil.rmtree(site.folder, ignore_errors=True)

    code = asyncio.run(play())
    sys.stdout.flush()
    os._exit(code)
