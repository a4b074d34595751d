"""Stand-ins for the platform, its workers and its clients, for the scripts of this review.

Only the standard library is used. Everything listens on loopback addresses and free ports. The daemon runs as a
process of its own, with the command of the deploy file; only processes that were started here are signalled.

The stand-ins follow PROTOCOL.md: the store is linearizable and atomic, workers guard their capacity, refuse lower
fencing tokens and end their runs when the lease lapses, and the machine interface shows which worker each machine runs.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "release", "wasabiloftd")
HOST = "pule25.example"

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_MS = 100
MOVE_S = 1.5
UPKEEP_S = 2.0
TX_S = 0.008
ANSWER_S = 0.004


def now_ms():
    """The steady clock, in milliseconds."""
    return int(time.monotonic() * 1000)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def seconds(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.seconds():8.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    """Returns `count` consecutive ports on which nothing listens, below the range of outgoing connections."""
    first = 12_000 + (os.getpid() * 97 + time.monotonic_ns() // 1000) % 15_000
    while True:
        sockets = []
        try:
            for port in range(first, first + count):
                probe = socket.socket()
                probe.bind(("127.0.0.1", port))
                sockets.append(probe)
            return first
        except OSError:
            first += count
            if first > 31_000:
                first = 12_000
        finally:
            for probe in sockets:
                probe.close()


class Server:
    """A small HTTP/1.1 server; `handle(method, path, query, headers, body)` returns a status and a JSON value."""

    def __init__(self, handle, answer_s=0.0, connections_max=None):
        self.handle = handle
        self.answer_s = answer_s
        self.connections_max = connections_max
        # Connections that were reset because of the limit.
        self.turned_away = 0
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def abort(self):
        """Stops listening and resets all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.connections_max is not None and len(self.writers) >= self.connections_max:
            self.turned_away += 1
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is None:
                    # No answer: the connection delivers nothing further.
                    await asyncio.sleep(3600)
                status, value = answer
                if self.answer_s:
                    await asyncio.sleep(self.answer_s)
                data = json.dumps(value).encode() if value is not None else b""
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, path, body=None, headers=None, timeout_s=5.0):
    """Makes one call on a connection of its own; returns the status and the JSON value, or (None, reason)."""
    host, port = address.rsplit(":", 1)
    data = json.dumps(body).encode() if body is not None else b""
    lines = [f"{method} {path} HTTP/1.1", "connection: close", f"content-length: {len(data)}"]
    lines += [f"{name}: {value}" for name, value in {"host": address, **(headers or {})}.items()]

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            return await reader.read()
        finally:
            writer.close()

    try:
        answer = await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError) as error:
        return None, type(error).__name__
    head, _, content = answer.partition(b"\r\n\r\n")
    if not head:
        return None, "no answer"
    status = int(head.split(b" ", 2)[1])
    try:
        return status, json.loads(content) if content else None
    except ValueError:
        return status, None


class Store:
    """The platform's metadata store: rows, transactions and feeds."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.parts = {}
        self.server = Server(self.handle, ANSWER_S)

    async def put(self, table, key, value, part=""):
        """Writes a row as the operator or a worker."""
        async with self.changed:
            self.version += 1
            data = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
            self.rows[(table, part, key)] = (data, self.version)
            self.changed.notify_all()

    def get(self, table, key, part=""):
        data, _ = self.rows.get((table, part, key), (None, 0))
        return None if data is None else json.loads(base64.b64decode(data))

    def wire(self, name):
        data, version = self.rows[name]
        row = {"table": name[0], "part": name[1], "key": name[2], "recordVersion": version}
        if data is None:
            row["deleted"] = True
        else:
            row["value"] = data
        return row

    def around(self, rows, more=False):
        return {"rows": rows, "morePages": more, "recordVersion": self.version, "nowMs": now_ms()}

    async def handle(self, method, path, query, headers, body):
        if path == "/rows-tx":
            return await self.transact(json.loads(body))
        if path == "/rows-get":
            low, high = query.get("from", ""), query.get("to")
            limit = min(int(query.get("limit", 500)), 500)
            names = sorted(
                name
                for name, (data, _) in self.rows.items()
                if name[0] == query["table"]
                and name[1] == query.get("part", "")
                and data is not None
                and name[2] >= low
                and (high is None or name[2] < high)
            )
            return 200, self.around([self.wire(name) for name in names[:limit]], len(names) > limit)
        if path == "/rows-parts":
            parts = sorted({name[1] for name, (data, _) in self.rows.items() if name[0] == query["table"] and data})
            return 200, {"parts": parts, "morePages": False}
        if path == "/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query.get("waitMs", 0)))
        return 404, {}

    async def feed(self, table, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            found = [name for name, (_, version) in self.rows.items() if name[0] == table and version > after]
            left = until - time.monotonic()
            if found or left <= 0:
                found.sort(key=lambda name: self.rows[name][1])
                return 200, self.around([self.wire(name) for name in found])
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, call_body):
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        expected = call_body.get("expectRev", [])
        writes, removals = call_body.get("writes", []), call_body.get("remove", [])
        entries = expected + writes + removals
        parts = {row.get("part", "") for row in entries}
        if len(parts) > 1 or len(entries) > 100:
            return 400, {}
        if any(row["table"] in ("op", "servers") for row in writes + removals):
            return 403, {}
        part = parts.pop() if parts else ""
        async with self.parts.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TX_S)
            async with self.changed:
                failed = False
                for row in expected:
                    data, version = self.rows.get(name(row), (None, 0))
                    failed |= (version if data is not None else 0) != row["recordVersion"]
                if failed:
                    live = [name(row) for row in expected if self.rows.get(name(row), (None, 0))[0] is not None]
                    return 412, self.around([self.wire(row) for row in live])
                self.version += 1
                for row in writes:
                    self.rows[name(row)] = (row["value"], self.version)
                for row in removals:
                    if name(row) in self.rows:
                        self.rows[name(row)] = (None, self.version)
                self.changed.notify_all()
                return 200, self.around([])


class Run:
    def __init__(self, task, run, text, clock_ms):
        self.task, self.run, self.text, self.began_ms = task, run, text, clock_ms
        try:
            self.plan = json.loads(text)
        except ValueError:
            self.plan = {}
        self.stop_at_ms = None

    def percent(self, clock_ms):
        if self.plan.get("lasts"):
            return 100 if clock_ms - self.began_ms >= 300 else 0
        return min(99, (clock_ms - self.began_ms) * 100 // max(1, self.plan.get("ms", 500)))


class Worker:
    """One life of a machine: runs tasks under a lease."""

    def __init__(self, world, machine, number):
        self.world, self.machine = world, machine
        self.id = f"i-{machine.name}-{number}"
        self.server = Server(self.handle, connections_max=world.worker_connections_max)
        self.born_ms = int(time.time() * 1000)
        self.zero_ms = now_ms() - 1000
        self.fence = 0
        self.running, self.ended, self.highest = {}, [], {}
        self.numbers = 0
        self.until_ms = 0
        self.held_at_ms = 0
        # Fencing token of the newest start or stop.
        self.commanded = 0
        self.alive = True
        self.news = asyncio.Condition()

    def clock_ms(self):
        return now_ms() - self.zero_ms

    def entry(self, sequence):
        return {
            "service": self.machine.pool,
            "address": self.server.address,
            "zone": "andes",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": sequence,
            "capacity": self.machine.capacity,
            "labels": self.machine.labels,
            "born": self.born_ms,
            "clockMs": self.clock_ms(),
        }

    async def live(self):
        """Writes the registry entry, and ends runs that are over or whose lease has lapsed."""
        sequence, written = 0, 0.0
        while self.alive:
            if time.monotonic() - written >= HEARTBEAT_S:
                sequence, written = sequence + 1, time.monotonic()
                await self.world.store.put("servers", self.id, self.entry(sequence))
            await self.advance()
            await asyncio.sleep(0.01)

    async def advance(self):
        clock = self.clock_ms()
        over = []
        for run in self.running.values():
            if clock > self.until_ms:
                over.append((run, "lapsed"))
            elif run.stop_at_ms is not None and clock >= run.stop_at_ms:
                over.append((run, "stopped"))
            elif not run.plan.get("lasts") and clock - run.began_ms >= run.plan.get("ms", 500):
                over.append((run, "done"))
        for run, how in over:
            del self.running[run.task]
            self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
            self.numbers += 1
            self.ended.append([self.numbers, run.task, run.run, how, ""])
            self.world.run_ended(self, run, how)
        if over:
            async with self.news:
                self.news.notify_all()

    def hold_until(self, until_ms):
        if until_ms is not None:
            self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + MAX_HOLD_MS))

    def free(self):
        used = {"cpu": 0, "memMb": 0}
        for run in self.running.values():
            for name in used:
                used[name] += run.plan.get(name, 0)
        return {name: self.machine.capacity[name] - used[name] for name in used}

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        wire = json.loads(body) if body else {}
        clock = {"clockMs": self.clock_ms(), "born": self.born_ms}
        if wire.get("fenceToken", 0) < self.fence:
            return 409, {"reason": "fence", **clock}
        self.fence = max(self.fence, wire.get("fenceToken", 0))
        if path in ("/run-start", "/run-stop"):
            self.commanded = self.fence
        if path == "/run-start":
            task, number = wire["task"], wire["runId"]
            known = self.running.get(task)
            if known is not None and known.run == number:
                return 200, clock
            if number <= self.highest.get(task, 0) or known is not None:
                self.hold_until(wire["untilMs"])
                return 409, {"reason": "old", **clock}
            if wire["untilMs"] <= self.clock_ms():
                return 409, {"reason": "late", **clock}
            run = Run(task, number, wire["spec"], self.clock_ms())
            free = self.free()
            self.hold_until(wire["untilMs"])
            if any(run.plan.get(name, 0) > free[name] for name in free):
                return 409, {"reason": "room", **clock}
            self.running[task] = run
            self.world.run_started(self, run)
            return 200, clock
        if path == "/run-stop":
            task, number = wire["task"], wire["runId"]
            known = self.running.get(task)
            if known is not None and known.run == number:
                if known.stop_at_ms is None:
                    known.stop_at_ms = self.clock_ms() + STOP_MS
            else:
                self.highest[task] = max(self.highest.get(task, 0), number)
            return 200, clock
        if path == "/hold":
            self.held_at_ms = self.clock_ms()
            self.hold_until(wire.get("untilMs"))
            self.ended = [end for end in self.ended if end[0] > wire.get("ackIndex", 0)]
            until = time.monotonic() + wire.get("waitMs", 0) / 1000
            while not self.ended and self.alive and time.monotonic() < until:
                async with self.news:
                    try:
                        await asyncio.wait_for(self.news.wait(), max(0.0, until - time.monotonic()))
                    except asyncio.TimeoutError:
                        pass
            now = self.clock_ms()
            running = [[run.task, run.run, "", run.percent(now), 0] for run in self.running.values()]
            return 200, {"clockMs": now, "born": self.born_ms, "running": running, "endedRuns": self.ended[:500]}
        if path == "/pace":
            return 200, clock
        return 404, {}

    def crash(self):
        """Loses all that runs, at once; nothing is reported."""
        self.alive = False
        self.server.abort()
        for run in list(self.running.values()):
            self.world.run_ended(self, run, "lost")
        self.running.clear()


class Machine:
    def __init__(self, world, name, pool, rack, capacity):
        self.world, self.name, self.pool = world, name, pool
        self.labels, self.capacity = ["a", rack], capacity
        self.state = "down"
        self.worker = None
        self.lives = 0
        self.is_lost = False

    async def boot(self):
        if self.is_lost:
            return
        if self.pool in self.world.spare_pools:
            # Off, and without a worker.
            self.state = "up"
            return
        self.lives += 1
        self.worker = Worker(self.world, self, self.lives)
        await self.worker.server.start()
        self.world.spawn(self.worker.live())
        self.state = "up"

    async def crash(self, back_s):
        """The worker crashes; the machine is back after `back_s` with a new life. The old entry lapses."""
        worker, self.worker, self.state = self.worker, None, "down"
        worker.crash()
        self.world.spawn(self.forget(worker.id, 3 * HEARTBEAT_S))
        await asyncio.sleep(back_s)
        await self.boot()

    def lose(self):
        """The machine is lost for good; what ran there ends, and its entry lapses."""
        worker, self.worker, self.state, self.is_lost = self.worker, None, "down", True
        if worker is not None:
            worker.crash()
            self.world.spawn(self.forget(worker.id, 3 * HEARTBEAT_S))

    async def forget(self, worker_id, after_s):
        await asyncio.sleep(after_s)
        await self.world.store.put("servers", worker_id, None)

    async def change(self, state, pool, after_s):
        worker, self.worker, self.state = self.worker, None, state
        if worker is not None:
            worker.crash()
            await self.world.store.put("servers", worker.id, None)
        self.pool = pool
        await asyncio.sleep(after_s)
        await self.boot()

    def wire(self):
        row = {
            "machine": self.name,
            "pool": self.pool,
            "state": self.state,
            "zone": "andes",
            "labels": self.labels,
            "capacity": self.capacity,
        }
        if self.worker is not None:
            row["id"] = self.worker.id
        return row


class Node:
    """A daemon, with the command of the deploy file."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        first = free_ports(8)
        self.front, self.ready = f"127.0.0.1:{first}", f"127.0.0.1:{first + 1}"
        self.settings = os.path.join(world.folder, f"node-{number}.toml")
        self.log = os.path.join(world.folder, f"node-{number}.log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                f'nodeName = "front-{number}"\nrole = "entry"\nmachineClass = "front"\nserves = ["front"]\n'
                f'ip = "127.0.0.1"\nzone = "andes"\nregion = "andes-central"\ninternalPorts = [{first + 3},{first + 7}]\n'
                f'seeds = []\nbootstrap = true\ndiscovery = "platform"\nentry = "virtual_ip"\nheartbeatMs = 1500\n'
                f'commands = "request"\n[zones]\nandes = "andes-central"\n'
                f'[listen]\nfront = "{self.front}"\nready = "{self.ready}"\ncontrol = "127.0.0.1:{first + 2}"\n'
                f"[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
                f"[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n"
                f"[bounds]\ncontactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\nlostSlackMs = 200\n"
                f"configApplyMs = 2000\nmaxHoldMs = 10000\nstopTimeoutMs = 200\ngangTimeoutMs = 3000\ncancel_ms = 3000\n"
                f"visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nnoticeMs = 4500\nmoveS = 1.5\n"
                f"upkeepS = 2\nrequireFence = false\nleaseMs = 3000\n"
                f'[platform]\naddress = "{world.store.server.address}"\nform = "table"\nwritesPerS = 800\n'
                f"readsPerS = 2000\ntxMs = 8.0\npartWritesPerS = 150\nrowBytes = 65536\nacross = false\nhistoryS = 20\n"
                f'[cloud]\naddress = "{world.cloud.address}"\nratePerS = 64.0\nduties = []\ndutyPerS = 64.0\n'
            )
        self.process = None

    def start(self):
        log = open(self.log, "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.world.folder, "WASABILOFT_CONFIG": self.settings}
        self.process = subprocess.Popen(
            [DAEMON, "--platform"], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def lose_power(self):
        """The machine neither runs nor answers from here on, and closes no connection; the process ends with the case."""
        self.kill(signal.SIGSTOP)

    def kill(self, with_signal=signal.SIGKILL):
        if self.is_running():
            self.process.send_signal(with_signal)

    def memory_mb(self):
        """Resident memory of the process that was started here, in MB; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1_000_000
        except (OSError, IndexError, ValueError):
            return 0


class World:
    """A small deployment: nodes, a store, a machine interface, machines with workers."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.scratch = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.scratch.name
        self.store = Store()
        self.cloud = Server(self.handle_cloud)
        self.machines, self.nodes = [], []
        self.spare_pools = set()
        # Connections that a worker takes; the sites' services have 64.
        self.worker_connections_max = 64
        self.tasks = set()
        # Every start and end that workers have seen: (time, what, worker, task, run, how, spec).
        self.events = []

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def run_started(self, worker, run):
        self.events.append((self.record.seconds(), "start", worker.id, run.task, run.run, "", run.text))
        self.record.line(f"run start task={run.task} run={run.run} worker={worker.id}")

    def run_ended(self, worker, run, how):
        self.events.append((self.record.seconds(), "end", worker.id, run.task, run.run, how, run.text))
        self.record.line(f"run end task={run.task} run={run.run} worker={worker.id} how={how}")

    async def handle_cloud(self, method, path, query, headers, body):
        if path == "/machines":
            return 200, {"machines": [machine.wire() for machine in self.machines], "nextPageToken": ""}
        wire = json.loads(body) if body else {}
        machine = next((machine for machine in self.machines if machine.name == wire.get("machine")), None)
        if machine is None:
            return 400, {}
        self.record.line(f"machine order {path} {wire} holder={headers.get('x-lease-holder')} fence={headers.get('x-fence-token')}")
        if machine.state != "up":
            return 409, {"reason": "busy"}
        if path == "/machine-move":
            if machine.pool != wire["pool"]:
                self.on_move(machine, wire["pool"])
                self.spawn(machine.change("moving", wire["pool"], MOVE_S))
            return 200, {}
        if path == "/machine-upkeep":
            self.on_upkeep(machine, wire["wave"])
            self.spawn(machine.change("upkeep", machine.pool, UPKEEP_S))
            return 200, {}
        return 404, {}

    def on_move(self, machine, pool):
        """Overridden by cases that watch moves."""

    def on_upkeep(self, machine, wave):
        """Overridden by cases that watch waves."""

    async def configure(self, version, routes, services):
        await self.store.put(
            "op",
            "config",
            {"version": version, "routes": routes, "services": services, "limits": {"maxBodyBytes": 262144, "idleTimeoutMs": 15000}},
        )

    async def start(self, nodes, workers, routes, services, capacity=None):
        """Starts the platform, `workers` ({pool: count}) and the nodes, and waits until all nodes are ready."""
        capacity = capacity or {"cpu": 32000, "memMb": 131072, "gpu": 0}
        await self.store.server.start()
        await self.cloud.start()
        self.spare_pools = {entry["name"] for entry in services if entry.get("spare")}
        for pool, count in workers.items():
            for number in range(count):
                machine = Machine(self, f"m-{pool}-{number}", pool, f"r-{pool}-{number // 4}", capacity)
                self.machines.append(machine)
                await machine.boot()
        await self.configure(1, routes, services)
        self.nodes = [Node(self, number) for number in range(1, nodes + 1)]
        for node in self.nodes:
            node.start()
        until = time.monotonic() + 15
        for node in self.nodes:
            while (await call(node.ready, "GET", "/ready", timeout_s=1))[0] != 200:
                if time.monotonic() > until or not node.is_running():
                    raise RuntimeError(f"node {node.number} doesn't become ready")
                await asyncio.sleep(0.1)
        while not self.store.get("duty", "holder", "holder"):
            if time.monotonic() > until:
                raise RuntimeError("no node leads")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def replace(self, node):
        """A machine is gone for good; a new one comes at another address."""
        self.record.line(f"machine of front-{node.number} loses power for good")
        node.lose_power()
        fresh = Node(self, len(self.nodes) + 1)
        self.nodes.append(fresh)
        fresh.start()
        self.record.line(f"machine of front-{fresh.number} comes")
        return fresh

    def worker(self, worker_id):
        return next((m.worker for m in self.machines if m.worker is not None and m.worker.id == worker_id), None)

    def leader(self):
        """The node that the duty's row names, for the record only."""
        duty = self.store.get("duty", "holder", "holder") or {}
        return next((node for node in self.nodes if f"front-{node.number}" == duty.get("holder")), None)

    async def request(self, node, method, path, body=None, host=HOST, deadline_ms=3000, timeout_s=None, key=None):
        """Sends a client's request; records it and its answer."""
        headers = {"host": host, "content-type": "application/json", "x-deadline-ms": str(deadline_ms)}
        if key is not None:
            headers["authorization"] = f"Bearer {key}"
        began = time.monotonic()
        status, value = await call(node.front, method, path, body, headers, timeout_s or deadline_ms / 1000 + 0.5)
        took_ms = int((time.monotonic() - began) * 1000)
        sent = json.dumps(body)[:200] if body is not None else ""
        self.record.line(f"client front-{node.number} {method} {host}{path} {sent} -> {status} {value} in {took_ms} ms")
        return status, value

    async def stop(self):
        for node in self.nodes:
            if node.is_running():
                node.process.send_signal(signal.SIGCONT)
                node.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        for machine in self.machines:
            if machine.worker is not None:
                machine.worker.alive = False
                machine.worker.server.abort()
        self.store.server.abort()
        self.cloud.abort()
        for task in list(self.tasks):
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for node in self.nodes:
                with open(node.log, "rb") as source, open(os.path.join(keep, f"node-{node.number}.log"), "wb") as target:
                    target.write(source.read())
        self.scratch.cleanup()


def route(name, prefix, service, host=HOST, **more):
    """A route of the configuration."""
    return {
        "name": name,
        "host": host,
        "pathPrefix": prefix,
        "service": service,
        "targetLatencyMs": 600,
        "timeoutMs": 3000,
        "priority": 0,
        "maxAttempts": 3,
        "stretch": 1.6,
        **more,
    }


def service(name, **more):
    """A service of the configuration."""
    return {"name": name, "enforcesCapacity": True, "maxConns": 64, **more}


def main(case, world_class=World):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = os.getcwd()
    if not os.access(DAEMON, os.X_OK):
        print("the daemon isn't built")
        return 2

    async def run():
        world = world_class(os.path.join(folder, "record.txt"))
        world.record.line(f"begin trouble={int(trouble)}")
        try:
            try:
                await world.start_case()
            except (RuntimeError, OSError) as error:
                world.record.line(f"could not run: {error}")
                print(f"could not run: {error}")
                return 2
            broken = await asyncio.wait_for(case(world, trouble), 105)
            for line in broken:
                world.record.line(f"BROKEN {line}")
                print(f"BROKEN {line}")
            if not broken:
                world.record.line("held")
                print("held")
            return 1 if broken else 0
        finally:
            await world.stop()

    try:
        return asyncio.run(run())
    except (asyncio.TimeoutError, RuntimeError, OSError) as error:
        print(f"could not run: {type(error).__name__} {error}")
        return 2
