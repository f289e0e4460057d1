"""Stand-ins for the platform of a small deployment, and a harness that starts the project's
programs beside them: the store (a log with keyed topics), workers, an operator and clients.

They follow the users' pages (PROTOCOL.md). Everything listens on loopback. Python's standard
library only.
"""

import base64
import http.client
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "cactusdoor-fleet")
HOST = "minutes.example"
SERVICE = "minutes"
ZONES = ["north", "east", "west"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the small site files.
BOUNDS = {"config_ms": 2000, "cancel_ms": 3000, "harm_ms": 4000, "take_out_ms": 5000,
          "stop_ms": 6000}
HOLD_MAX_MS = 10_000
STOP_MS = 200
HEARTBEAT_MS = 1_500
GANG_TIMEOUT_MS = 3_000
CHECKPOINT_S = 2.0
RESTORE_MS = 600


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, body=b"", kind="application/json"):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, address):
        pass


def serve(port, handler):
    server = Server(("127.0.0.1", port), handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.02},
                     daemon=True).start()
    return server


class Store:
    """The platform's store: one partition a topic."""

    APPEND_S = 0.004

    def __init__(self):
        self.topics = {}
        # Topics whose partition is down: every call about them gets 503 and has no effect.
        self.down = set()
        self.changed = threading.Condition()
        self.port = free_port()
        store = self

        class StoreHandler(Handler):
            def do_POST(self):
                store.append(self)

            def do_GET(self):
                store.get(self)

        self.server = serve(self.port, StoreHandler)

    def topic(self, name):
        return self.topics.setdefault(name, {"records": [], "newest": {}, "producers": {}})

    def push(self, topic, key, value):
        offset = len(topic["records"])
        topic["records"].append((key, value))
        if value:
            topic["newest"][key] = offset
        else:
            topic["newest"].pop(key, None)

    def write(self, name, key, value):
        """A record of the operator; an empty value removes the key."""
        with self.changed:
            self.push(self.topic(name), key, value)
            self.changed.notify_all()

    def append(self, call):
        url = urlsplit(call.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        body = call.body()
        if url.path != "/log-append":
            return call.reply(404)
        if query["topic"] in self.down:
            return call.reply(503)
        time.sleep(self.APPEND_S)
        with self.changed:
            status, answer = self.append_records(self.topic(query["topic"]), query, body)
            self.changed.notify_all()
        call.reply(status, answer)

    def append_records(self, topic, query, body):
        end, name = len(topic["records"]), query.get("producer")
        producer = topic["producers"].setdefault(name, {"epoch": -1, "next": 0, "answers": []})
        epoch, number = int(query.get("epoch", 0)), int(query.get("seqNo", 0))
        if name is not None:
            if epoch < producer["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch == producer["epoch"]:
                for known, answer in producer["answers"]:
                    if known == number:
                        return 200, answer
                if number != producer["next"]:
                    return 409, {"reason": "seq", "seqNo": producer["next"]}
        if "at" in query and int(query["at"]) != end:
            return 412, {"end": end}
        at = 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            record = body[at + 4:at + 4 + length]
            key = record[1:1 + record[0]].decode()
            self.push(topic, key, record[1 + record[0]:])
            at += 4 + length
        answer = {"offset": end, "end": len(topic["records"])}
        if name is not None:
            if epoch > producer["epoch"]:
                producer["answers"] = []
            producer["epoch"], producer["next"] = epoch, number + 1
            producer["answers"] = (producer["answers"] + [(number, answer)])[-5:]
        return 200, answer

    def get(self, call):
        url = urlsplit(call.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if query.get("topic") in self.down:
            return call.reply(503)
        if url.path == "/log-read":
            return self.read(call, query)
        if url.path == "/log-newest":
            return self.newest(call, query)
        call.reply(404)

    def read(self, call, query):
        start, until = int(query["from"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.changed:
            topic = self.topic(query["topic"])
            while len(topic["records"]) <= start and time.monotonic() < until:
                self.changed.wait(until - time.monotonic())
            records, end = topic["records"][start:], len(topic["records"])
        body = struct.pack(">QQ", end, 0)
        for key, value in records:
            key = key.encode()
            body += struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
            if len(body) > 1_000_000:
                break
        call.reply(200, body, "application/octet-stream")

    def newest(self, call, query):
        with self.changed:
            topic = self.topic(query["topic"])
            keys = sorted(key for key in topic["newest"] if key > query.get("after", ""))
            page = keys[:500]
            items = [{"key": key, "offset": topic["newest"][key], "value": base64.b64encode(
                topic["records"][topic["newest"][key]][1]).decode()} for key in page]
            answer = {"items": items, "hasMore": len(keys) > 500, "end": len(topic["records"])}
        call.reply(200, answer)

    def newest_value(self, name, key):
        with self.changed:
            topic = self.topic(name)
            offset = topic["newest"].get(key)
            return None if offset is None else topic["records"][offset][1]


class Gang:
    """One run of a gang. Its members work from the moment at which all are present."""

    def __init__(self):
        self.members, self.began, self.broken, self.done = set(), None, False, False


class Worker:
    """A worker that doesn't guard its capacity. The `spec` of a task is JSON: `ms` is the time
    of its work (0: it lasts), `fails` how many of its runs end `failed` after `fail_ms` (50), `saves`
    whether it checkpoints, and `gang` the number of members if its step is a gang."""

    def __init__(self, deployment, index):
        self.deployment, self.record = deployment, deployment.record
        self.id, self.zone = f"i-{index:04x}", ZONES[index % len(ZONES)]
        self.port, self.agent_port = free_port(), free_port()
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.mute_until = 0.0
        self.down, self.connections = False, set()
        self.sequence = 0
        self.state = "ready"
        self.born_anew()
        worker = self

        class WorkerHandler(Handler):
            def setup(self):
                super().setup()
                worker.connections.add(self.connection)

            def finish(self):
                worker.connections.discard(self.connection)
                super().finish()

            def do_POST(self):
                worker.call(self)

        self.handler = WorkerHandler
        self.server = serve(self.port, WorkerHandler)
        threading.Thread(target=self.announce, daemon=True).start()
        threading.Thread(target=self.tick, daemon=True).start()

    def born_anew(self):
        with self.lock:
            self.born, self.began = int(time.time() * 1000), time.monotonic()
            self.fence = self.lease = self.last_end = 0
            self.running, self.highest, self.ended = {}, {}, []

    def crash(self, seconds):
        """The worker's process ends; a new incarnation with a new id starts after a while."""
        self.record.write(f"worker {self.id} ({self.zone}) crashes")
        self.server.shutdown()
        self.server.server_close()
        with self.lock:
            self.down = True
            for task in list(self.running):
                run = self.running.pop(task)
                if run["gang"]:
                    run["gang"].broken = True
                self.deployment.note_end(self, task, run["run"], "crashed")
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        time.sleep(seconds)
        self.id = f"i-{int(self.id[2:], 16) + 0x100:04x}"
        self.born_anew()
        self.sequence, self.down = 0, False
        self.server = serve(self.port, self.handler)
        self.record.write(f"worker {self.id} ({self.zone}) starts")

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, run["saved"](how == "stopped")])
        if run["gang"] and how != "done":
            run["gang"].broken = True
        self.deployment.note_end(self, task, run["run"], how)
        self.changed.notify_all()

    def tick(self):
        while True:
            time.sleep(0.005)
            with self.lock:
                now = time.monotonic()
                if self.clock() > self.lease:
                    for task in list(self.running):
                        self.end(task, "lapsed")
                for task, run in list(self.running.items()):
                    if task not in self.running:
                        continue
                    gang = run["gang"]
                    if gang and gang.broken and not gang.done:
                        self.end(task, "broken")
                    elif gang and not gang.began and now >= run["arrived"] + GANG_TIMEOUT_MS / 1000:
                        self.end(task, "alone")
                    elif run["until"]() is not None and now >= run["until"]():
                        if gang:
                            gang.done = True
                        self.end(task, run["how"])

    def announce(self):
        while True:
            if self.down:
                time.sleep(0.05)
                continue
            with self.lock:
                self.sequence += 1
                body = {"service": SERVICE, "address": f"127.0.0.1:{self.port}",
                        "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
                        "coldRemainingMs": 0, "labels": ["a", f"r-{self.zone}"],
                        "capacity": {"cpu": 32_000, "memMb": 128_000, "gpu": 0},
                        "clockMs": self.clock(), "seqNo": self.sequence, "born": self.born}
            status = request(self.agent_port, "POST", f"/instances/{self.id}/heartbeat", body,
                             timeout=1)[0]
            time.sleep(HEARTBEAT_MS / 1000 if status == 200 else 0.2)

    def call(self, call):
        body = json.loads(call.body() or b"{}")
        if time.monotonic() < self.mute_until:
            # Neither carried out nor answered; the connection stays open until the end.
            time.sleep(max(0, self.mute_until - time.monotonic()))
            call.close_connection = True
            return
        expected = call.headers.get("X-Expect-Instance")
        with self.lock:
            if self.down:
                call.close_connection = True
                return
            if expected not in (None, self.id):
                return call.reply(421)
            token = body.get("fencingToken", 0)
            if token < self.fence:
                return call.reply(409, {"clockMs": self.clock(), "reason": "fence"})
            self.fence = token
            if call.path == "/run-start":
                return self.start(call, body)
            if call.path == "/run-stop":
                return self.stop(call, body)
            if call.path == "/pace":
                return call.reply(200, {"clockMs": self.clock()})
            self.extend(body.get("deadlineMs"))
            seen = body.get("lastSeen", 0)
            self.deployment.note_seen(self, [e for e in self.ended if e[0] <= seen])
            self.ended = [e for e in self.ended if e[0] > seen]
            until = time.monotonic() + body.get("waitMs", 0) / 1000
            while not self.ended and time.monotonic() < until:
                self.changed.wait(until - time.monotonic())
            answer = {"clockMs": self.clock(), "born": self.born, "ended": self.ended[:500],
                      "running": [[task, run["run"], run["saved"](), run["percent"](), 0]
                                  for task, run in self.running.items()]}
        call.reply(200, answer)

    def extend(self, deadline):
        if deadline is not None:
            self.lease = max(self.lease, min(deadline, self.clock() + HOLD_MAX_MS))

    def start(self, call, body):
        task, run = body["task"], body["run"]
        self.extend(body["deadlineMs"])
        refuse = lambda reason: call.reply(409, {"clockMs": self.clock(), "reason": reason})
        if task in self.running and self.running[task]["run"] == run:
            return call.reply(200, {"clockMs": self.clock()})
        if run <= self.highest.get(task, 0):
            return refuse("old")
        if body["deadlineMs"] < self.clock():
            return refuse("late")
        self.highest[task] = run
        spec, now = json.loads(body["spec"]), time.monotonic()
        fails = run <= spec.get("fails", 0)
        length = spec.get("fail_ms", 50) / 1000 if fails else spec["ms"] / 1000
        checkpoint = body.get("checkpoint", "")
        before = int(checkpoint[:8], 16) / 1000 if checkpoint else 0.0
        restore = RESTORE_MS / 1000 if checkpoint else 0.0
        gang = self.deployment.join_gang(self, task, run, spec["gang"]) if "gang" in spec else None
        began = lambda: gang.began if gang else now

        def work():
            """Seconds of work done."""
            if not began():
                return before
            return min(length or 1e9, before + max(0.0, time.monotonic() - began() - restore))

        def until():
            return began() + restore + length - before if length and began() else None

        def saved(stopping=False):
            if not spec.get("saves"):
                return ""
            done = work() if stopping else before + (work() - before) // CHECKPOINT_S * CHECKPOINT_S
            return f"{int(done * 1000):08x}{task[4:12]}" if done > 0 else ""

        percent = lambda: min(99, int(work() / length * 100)) if length else 100
        self.running[task] = {"run": run, "until": until, "how": "failed" if fails else "done",
                              "percent": percent, "saved": saved, "gang": gang, "arrived": now}
        self.deployment.note_start(self, task, run, checkpoint)
        call.reply(200, {"clockMs": self.clock()})

    def stop(self, call, body):
        task, run = body["task"], body["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        if task in self.running and self.running[task]["run"] <= run:
            self.end(task, "stopped")
        call.reply(200, {"clockMs": self.clock()})


def request(port, method, path, body=None, host=None, timeout=3.0):
    """Status and JSON body of an answer; status 0 if the connection ended without one."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"}
        if host:
            headers["Host"] = host
            headers["X-Deadline-Ms"] = str(int(timeout * 1000))
        connection.request(method, path, json.dumps(body) if body is not None else None, headers)
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, json.loads(text) if text else None
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None
    finally:
        connection.close()


class Deployment:
    """Entries and agents as separate processes, with a store and a worker beside each agent."""

    def __init__(self, folder, workers=3, entries=2, routes=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory()
        self.processes, self.settings = {}, {}
        self.lock = threading.Lock()
        self.starts, self.ends, self.seen, self.checkpoints = [], [], [], []
        self.gangs = {}
        self.store = Store()
        self.version = 0
        self.configure(routes or [route("q")])
        self.entry_ports, self.ready_ports = [], []
        self.workers = [Worker(self, index) for index in range(workers)]
        for worker in self.workers:
            self.add("agent", len(self.settings), worker)
        for index in range(entries):
            self.add("entry", index, None)
        for name in self.settings:
            self.start(name)

    def configure(self, routes):
        """The operator writes a version of the configuration; the answer is its acknowledgement."""
        self.version += 2
        config = {"version": self.version, "routes": routes, "limits": {"maxBodyBytes": 262144},
                  "services": [{"name": SERVICE, "rejectsOverload": False}]}
        self.store.write("keyed.op", "config", json.dumps(config).encode())
        self.record.write(f"operator: configuration {self.version} acknowledged, routes "
                          f"{[(r['name'], r['maxAttempts']) for r in routes]}")

    def add(self, role, index, worker):
        name = f"{role}-{index}"
        lines = ["[process]", f"name = {name}", f"data_centre = {ZONES[index % len(ZONES)]}",
                 f"peer_address = 127.0.0.1:{free_port()}",
                 f"metrics_address = 127.0.0.1:{free_port()}",
                 "[store]", f"address = 127.0.0.1:{self.store.port}"]
        if role == "entry":
            self.entry_ports.append(free_port())
            self.ready_ports.append(free_port())
            lines += ["[callers]", f"address = 127.0.0.1:{self.entry_ports[-1]}",
                      f"ready_address = 127.0.0.1:{self.ready_ports[-1]}"]
        else:
            lines += ["[worker]", f"address = 127.0.0.1:{worker.port}",
                      f"announce_address = 127.0.0.1:{worker.agent_port}",
                      f"lease_limit_ms = {HOLD_MAX_MS}"]
        lines += ["[bounds]"] + [f"{key} = {value}" for key, value in BOUNDS.items()]
        path = os.path.join(self.temporary.name, f"{name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        self.settings[name] = path

    def start(self, name):
        environment = {"PATH": os.environ.get("PATH", ""),
                       "CACTUSDOOR_CONFIG": self.settings[name]}
        log = open(self.settings[name] + ".log", "a", encoding="utf-8")
        self.processes[name] = subprocess.Popen([PROGRAM, name.split("-")[0]], stdout=log,
                                                stderr=log, env=environment, cwd=ROOT)
        self.record.write(f"process {name} starts")

    def signal(self, name, number):
        self.record.write(f"process {name} gets {number.name}")
        self.processes[name].send_signal(number)

    def log_of(self, name):
        with open(self.settings[name] + ".log", encoding="utf-8") as file:
            return file.read()

    def owner(self):
        """Name of the agent with the newest heartbeat, or None."""
        value = self.store.newest_value("keyed.owner", "owner")
        return json.loads(value)["owner"] if value else None

    def join_gang(self, worker, task, run, members):
        with self.lock:
            gang = self.gangs.setdefault((task.rsplit(".", 1)[0], run), Gang())
            gang.members.add(task)
            if len(gang.members) == members:
                gang.began = time.monotonic()
            return gang

    def note_start(self, worker, task, run, checkpoint=""):
        with self.lock:
            self.starts.append((self.record.now(), worker.id, task, run))
            self.checkpoints.append((task, run, checkpoint))
        carried = f" with checkpoint {checkpoint}" if checkpoint else ""
        self.record.write(f"worker {worker.id} ({worker.zone}) starts {task} run {run}{carried}")

    def note_end(self, worker, task, run, how):
        with self.lock:
            self.ends.append((self.record.now(), worker.id, task, run, how))
        self.record.write(f"worker {worker.id} ({worker.zone}) ends {task} run {run}: {how}")

    def note_seen(self, worker, ends):
        for _, task, run, how, _ in ends:
            with self.lock:
                self.seen.append((self.record.now(), worker.id, task, run, how))
            self.record.write(f"worker {worker.id}: lastSeen reaches the end of {task} run {run}: {how}")

    def call(self, method, entry, path, body=None, timeout=3.0):
        self.record.write(f"client: {method} {path} to entry-{entry}")
        answer = request(self.entry_ports[entry], method, path, body, HOST, timeout)
        self.record.write(f"client: {method} {path} is answered {answer[0]} {answer[1]}")
        return answer

    def await_that(self, what, holds, seconds=20.0):
        until = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > until:
                raise CouldNotRun(f"timed out before: {what}")
            time.sleep(0.02)

    def await_ready(self):
        """Waits until the entries are ready and a job has run on the deployment."""
        for port in self.ready_ports:
            self.await_that("an entry is ready", lambda: request(port, "GET", "/readiness")[0] == 200)
        self.await_that("an owner is elected", lambda: self.owner() is not None)

    def state(self, path, entry=0):
        status, body = request(self.entry_ports[entry], "GET", path, None, HOST)
        return body.get("state") if status == 200 else str(status)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            for name in self.settings:
                with open(os.path.join(os.environ["KEEP_LOGS"], name + ".log"), "w") as file:
                    file.write(self.log_of(name))
        self.temporary.cleanup()


class CouldNotRun(Exception):
    pass


FINISH_S = 14.0


def idle_span(deployment, name, until, task_cpu, cpu_of):
    """Rule LOST: a span of 3 s, later than `finish_s` after the end of the traffic, in which the
    job has nothing running although a worker has room for its task twice over and under half
    of the service's capacity is in use; None if there is none up to `until`. `cpu_of(task)`: the
    processors of a task; `deployment.traffic_end`: when the last job was accepted."""
    with deployment.lock:
        changes = [(at, 1, task, worker) for at, worker, task, _ in deployment.starts]
        changes += [(at, -1, task, worker) for at, worker, task, _, _ in deployment.ends]
    changes.sort(key=lambda change: change[0])
    capacity = 32_000
    used = {worker.id: 0 for worker in deployment.workers}
    running, since = 0, None
    for at, change, task, worker in changes + [(until, 0, "", None)]:
        if since is not None and at - max(since, deployment.traffic_end + FINISH_S) >= 3.0:
            return max(since, deployment.traffic_end + FINISH_S), at
        if worker is None:
            continue
        used[worker] += change * cpu_of(task)
        running += change * task.startswith(name)
        room = any(capacity - cpu >= 2 * task_cpu for cpu in used.values())
        low = sum(used.values()) * 2 < capacity * len(used)
        idle = running == 0 and room and low
        since = (at if since is None else since) if idle else None
    return None


def route(name, attempts=3, **fields):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "service": SERVICE,
            "timeoutMs": 0, "priority": 0, "maxAttempts": attempts, "slackFactor": 2.0,
            "targetLatencyMs": 250, **fields}


def job(spec, **step):
    return {"spec": json.dumps(spec), "steps": [{"count": 1, "cpu": 500, "memMb": 256,
                                                 "estimateMs": 1000, **step}]}


def main(folder, case, **deployment):
    """Runs `case(deployment)`, which returns the broken rule's text or None, and exits."""
    running, code = None, 2
    try:
        if not os.path.exists(PROGRAM):
            raise CouldNotRun("target/release/cactusdoor-fleet is not built")
        running = Deployment(folder, **deployment)
        running.await_ready()
        broken = case(running)
        running.record.write(f"verdict: {broken or 'the rule held'}")
        print(broken or "the rule held")
        code = 1 if broken else 0
    except Exception as error:
        print(f"could not run: {error!r}")
    finally:
        if running:
            running.close()
    sys.stdout.flush()
    os._exit(code)
