"""Stand-ins for the cases 6 to 10: the platform's store and workers, and a client.

Everything runs in the driver's process, on loopback addresses; the project's own programs run
as separate processes with the commands of deploy/system.toml. Standard library only.
"""

import base64
import http.client
import json
import os
import re
import shutil
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
HOST = "minit.example"
PREFIX = "/jobs/"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the site kjmb-minit.
BOUNDS = {
    "bounds.holdMaxMs": 10000, "bounds.configApplyMs": 2000, "bounds.cancel_ms": 3000,
    "bounds.harmMs": 4000, "bounds.evacuateMs": 5000, "bounds.graceS": 6,
}
HOLD_MAX_MS = 10000
STOP_MS = 200
GANG_TIMEOUT_S = 3.0
HEARTBEAT_S = 1.5


def free_port(used=set()):
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in used:
            used.add(port)
            return port


class StartError(Exception):
    """The deployment did not start, as when another program has taken a port meanwhile."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} s  {text}\n")
            self.file.flush()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        pass

    def handle_one_request(self):
        try:
            super().handle_one_request()
        except (ConnectionError, TimeoutError, ValueError):
            self.close_connection = True

    def serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        answer = self.server.service.answer(self.command, self.path, dict(self.headers), body)
        if answer is None:
            self.close_connection = True
            return
        status, content = answer
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    do_GET = do_POST = do_DELETE = serve


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        pass


def serve(service, port):
    server = Server(("127.0.0.1", port), Handler)
    server.service = service
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Topic:
    def __init__(self):
        self.records, self.newest, self.producers = [], {}, {}


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self, port):
        self.topics, self.changed = {}, threading.Condition()
        self.port = port
        self.server = serve(self, port)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def push(self, topic, key, value):
        topic.records.append((key, value))
        if value:
            topic.newest[key] = len(topic.records) - 1
        else:
            topic.newest.pop(key, None)

    def write(self, name, key, value):
        with self.changed:
            self.push(self.topic(name), key, json.dumps(value).encode())
            self.changed.notify_all()

    def answer(self, _method, path, _headers, body):
        parts = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if parts.path == "/log-append":
            return self.append(query, body)
        if parts.path == "/log-read":
            return self.read(query)
        if parts.path == "/log-newest":
            return self.read_newest(query)
        return 404, {}

    def append(self, query, body):
        time.sleep(0.004)
        with self.changed:
            topic = self.topic(query["topic"])
            end = len(topic.records)
            name = query.get("producer")
            if name is not None:
                epoch, number = int(query.get("epoch", 0)), int(query.get("seqNo", 0))
                known = topic.producers.get(name)
                if known and epoch < known["epoch"]:
                    return 409, {"reason": "fenced"}
                if known and epoch == known["epoch"]:
                    for answered in known["answers"]:
                        if answered[0] == number:
                            return 200, {"offset": answered[1], "end": answered[2]}
                    if number != known["next"]:
                        return 409, {"reason": "seq", "seqNo": known["next"]}
            if "at" in query and int(query["at"]) != end:
                return 412, {"end": end}
            at = 0
            while at < len(body):
                (length,) = struct.unpack(">I", body[at:at + 4])
                record = body[at + 4:at + 4 + length]
                at += 4 + length
                size = record[0]
                self.push(topic, record[1:1 + size].decode(), record[1 + size:])
            new = len(topic.records)
            if name is not None:
                if not known or epoch > known["epoch"]:
                    known = topic.producers[name] = {"answers": []}
                known.update(epoch=epoch, next=number + 1)
                known["answers"] = (known["answers"] + [(number, end, new)])[-5:]
            self.changed.notify_all()
            return 200, {"offset": end, "end": new}

    def read(self, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        limit = int(query.get("maxKb", 1024)) * 1024
        with self.changed:
            topic = self.topic(query["topic"])
            while len(topic.records) <= start:
                left = until - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(left)
            page = [struct.pack(">QQ", len(topic.records), 0)]
            size = 0
            for key, value in topic.records[start:]:
                name = key.encode()
                size += 5 + len(name) + len(value)
                if size > limit and len(page) > 1:
                    break
                page.append(struct.pack(">IB", 1 + len(name) + len(value), len(name)) + name + value)
        return 200, b"".join(page)

    def read_newest(self, query):
        time.sleep(0.004)
        with self.changed:
            topic = self.topic(query["topic"])
            keys = sorted(key for key in topic.newest if key > query.get("after", ""))
            items = [
                {"key": key, "offset": topic.newest[key],
                 "value": base64.b64encode(topic.records[topic.newest[key]][1]).decode()}
                for key in keys[:500]
            ]
            return 200, {"items": items, "hasMore": len(keys) > 500, "end": len(topic.records)}


class Fleet:
    """What all workers share: the runs of all tasks, and the members of gangs."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.RLock()
        self.runs = []
        self.gangs = {}

    def going(self, task):
        return [run for run in self.runs if run.task == task and run.end is None]


class Run:
    def __init__(self, task, number, worker, life, spec, now):
        self.task, self.number, self.worker, self.life = task, number, worker, life
        self.spec, self.began, self.end, self.ended = spec, now, None, None
        # When its work began; a member of a gang waits for the others.
        self.works_since = now
        self.name = f"{task} run {number} on {worker.id} (life {life})"


class Worker:
    """One worker. `rules(run, now)` returns how a run ends now, or None while it goes on."""

    def __init__(self, fleet, index, kind, rules, capacity=32000, gang_size=0):
        self.fleet, self.index, self.kind, self.rules = fleet, index, kind, rules
        self.gang_size = gang_size
        self.capacity = capacity
        self.id = f"i-{index:02d}"
        self.port, self.control = free_port(), free_port()
        self.life, self.up, self.server = 0, False, None
        self.hold_back = None
        self.draining = False

    def start(self):
        with self.fleet.lock:
            self.life += 1
            self.born = int(time.time() * 1000)
            self.clock_began = time.monotonic()
            self.fence, self.lease_end, self.last_end, self.number = 0, 0, 0, 0
            self.running, self.last_runs, self.ended = {}, {}, []
            self.up = True
        self.server = serve(self, self.port)
        self.fleet.record(f"{self.id} starts: life {self.life}, born {self.born}")
        threading.Thread(target=self.beat, args=(self.life,), daemon=True).start()
        threading.Thread(target=self.tick, args=(self.life,), daemon=True).start()

    def crash(self):
        """Ends the worker as a crash does: its runs end, it forgets everything."""
        with self.fleet.lock:
            self.up = False
            for run in self.running.values():
                run.end, run.ended = "crashed", time.monotonic()
            self.running = {}
        self.server.shutdown()
        self.server.server_close()
        self.fleet.record(f"{self.id} crashes")

    def clock(self):
        return int((time.monotonic() - self.clock_began) * 1000)

    def beat(self, life):
        while self.up and self.life == life:
            self.number += 1
            body = {
                "service": "khidmat", "address": f"127.0.0.1:{self.port}", "zone": "klang",
                "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                "capacity": {"cpu": self.capacity, "memMb": 128000, "gpu": 0},
                "labels": [self.kind, f"r{self.index // 3}"], "clockMs": self.clock(),
                "seqNo": self.number, "born": self.born,
            }
            call(self.control, "POST", f"/instances/{self.id}/heartbeat", body, 1.0)
            time.sleep(HEARTBEAT_S)

    def tick(self, life):
        while self.up and self.life == life:
            with self.fleet.lock:
                self.advance()
            time.sleep(0.005)

    def finish(self, run, how):
        run.end, run.ended = how, time.monotonic()
        self.running.pop(run.task, None)
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, ""])
        self.fleet.record(f"{run.name} ends {how}")

    def advance(self):
        now = time.monotonic()
        lapsed = self.lease_end < self.clock()
        for run in list(self.running.values()):
            if lapsed:
                self.finish(run, "lapsed")
                continue
            if self.gang_size:
                members = self.fleet.gangs[gang_of(run)]
                if run.works_since is None:
                    if now - run.began > GANG_TIMEOUT_S:
                        self.finish(run, "alone")
                    continue
                # One that ends by itself now ends so; the others are broken 20 ms later.
                how = self.rules(run, now)
                gone = [m for m in members if m.end is not None]
                if how is not None:
                    self.finish(run, how)
                elif gone and now - min(m.ended for m in gone) > 0.02:
                    done = any(m.end == "done" for m in gone)
                    self.finish(run, "done" if done else "broken")
                continue
            how = self.rules(run, now)
            if how is not None:
                self.finish(run, how)

    def answer(self, _method, path, headers, body):
        body = json.loads(body or b"{}")
        if path == "/run-start" and self.hold_back and self.hold_back(self, body, headers):
            # The path to the worker has taken the call; no answer comes.
            time.sleep(1.5)
            return None
        with self.fleet.lock:
            if not self.up:
                return None
            expected = headers.get("X-Expect-Instance") or headers.get("x-expect-instance")
            if expected and expected != self.id:
                return 421, {"clockMs": self.clock()}
            self.advance()
            token = body.get("fencingToken", 0)
            if token < self.fence:
                return 409, {"clockMs": self.clock(), "reason": "fence"}
            self.fence = token
            if path == "/run-start":
                reason = self.begin(body)
                if reason:
                    return 409, {"clockMs": self.clock(), "reason": reason}
                return 200, {"clockMs": self.clock()}
            if path == "/run-stop":
                task, number = body["task"], body["run"]
                self.last_runs[task] = max(self.last_runs.get(task, 0), number)
                run = self.running.get(task)
                if run and run.number == number:
                    self.finish(run, "stopped")
                return 200, {"clockMs": self.clock()}
            if path == "/pace":
                return 200, {"clockMs": self.clock()}
            if path != "/hold":
                return 404, {}
            self.extend(body.get("deadlineMs"))
            self.ended = [end for end in self.ended if end[0] > body.get("lastSeen", 0)]
            life = self.life
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while True:
            with self.fleet.lock:
                if not self.up or self.life != life:
                    return None
                if self.ended or time.monotonic() >= until:
                    running = [[run.task, run.number, "", self.percent(run), 5]
                               for run in self.running.values()]
                    return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                                 "ended": self.ended[:500]}
            time.sleep(0.005)

    def percent(self, run):
        if run.works_since is None:
            return 0
        return min(99, int((time.monotonic() - run.works_since) * 4)) if self.finite(run) else 100

    def finite(self, run):
        return not run.spec.startswith("lasting")

    def extend(self, deadline):
        if deadline is not None:
            self.lease_end = max(self.lease_end, min(deadline, self.clock() + HOLD_MAX_MS))

    def begin(self, body):
        task, number = body["task"], body["run"]
        self.extend(body["deadlineMs"])
        known = self.running.get(task)
        if known and known.number == number:
            return None
        if self.last_runs.get(task, 0) >= number:
            return "old"
        if body["deadlineMs"] < self.clock():
            return "late"
        self.last_runs[task] = number
        run = Run(task, number, self, self.life, body.get("spec", ""), time.monotonic())
        others = self.fleet.going(task)
        self.running[task] = run
        self.fleet.runs.append(run)
        self.fleet.record(f"{run.name} starts" + "".join(f", WHILE {o.name} GOES ON" for o in others))
        if self.gang_size:
            members = self.fleet.gangs.setdefault(gang_of(run), [])
            members.append(run)
            run.works_since = None
            if len(members) == self.gang_size:
                for member in members:
                    member.works_since = run.began
        return None


def gang_of(run):
    return run.task.rsplit(".", 1)[0], run.number


def call(port, method, path, body=None, timeout=3.0, headers=None):
    """Calls a server; returns the status and the body, or (0, None) without an answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        content = None if body is None else json.dumps(body)
        sent = {"Host": HOST, "Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, content, sent)
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, json.loads(text) if text else None
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None
    finally:
        connection.close()


def render(template, values):
    """Fills in deploy/settings.ini as the platform does."""
    section = re.compile(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.S)
    text = section.sub(lambda m: m.group(2) if values.get(m.group(1)) else "", template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(values.get(m.group(1), "")), text)


class Deployment:
    """A store, workers, and the project's agents and entries."""

    def __init__(self, folder, workers, record, fleet, entries=2, attempts=3, queue="jobs"):
        self.record, self.fleet, self.workers = record, fleet, workers
        self.folder = tempfile.mkdtemp(prefix="cactusdoor-case-")
        self.processes, self.entries = [], []
        self.store = Store(free_port())
        self.store.write("keyed.op", "config", {
            "version": 3, "services": [{"name": "khidmat", "rejectsOverload": False}],
            "limits": {"maxBodyBytes": 262144},
            "routes": [{"name": queue, "host": HOST, "pathPrefix": PREFIX, "service": "khidmat",
                        "timeoutMs": 3000, "priority": 0, "maxAttempts": attempts,
                        "slackFactor": 3.0, "targetLatencyMs": 250}]})
        try:
            for worker in workers:
                worker.start()
                self.launch("agent", f"side-{worker.index}", {
                    "app": f"127.0.0.1:{worker.port}",
                    "listen.control": f"127.0.0.1:{worker.control}"})
            for index in range(entries):
                front, ready = free_port(), free_port()
                self.launch("entry", f"edge-{index}", {
                    "listen.front": f"127.0.0.1:{front}", "listen.ready": f"127.0.0.1:{ready}"})
                self.entries.append((front, ready))
            until = time.monotonic() + 20
            while not self.is_ready():
                ended = [process for process in self.processes if process.poll() is not None]
                if ended or time.monotonic() > until:
                    raise StartError(f"{len(ended)} processes ended" if ended else "not ready")
                time.sleep(0.02)
        except BaseException:
            self.close()
            raise

    def launch(self, role, name, values):
        values = {**BOUNDS, "node": name, "zone": "klang", "ip": "127.0.0.1",
                  "portRange.0": free_port(), "portRange.1": free_port(),
                  "platform.address": f"127.0.0.1:{self.store.port}", **values}
        with open(os.path.join(ROOT, "deploy/settings.ini")) as template:
            text = render(template.read(), values)
        path = os.path.join(self.folder, f"{name}.ini")
        with open(path, "w") as settings:
            settings.write(text)
        log = open(os.path.join(self.folder, f"{name}.log"), "w")
        program = os.path.join(ROOT, "target/release/cactusdoor-fleet")
        environment = {"PATH": os.environ.get("PATH", ""), "CACTUSDOOR_CONFIG": path}
        process = subprocess.Popen([program, role], cwd=ROOT, env=environment, stdout=log,
                                   stderr=log, stdin=subprocess.DEVNULL)
        self.processes.append(process)

    def is_ready(self):
        if any(call(ready, "GET", "/readiness", timeout=1)[0] != 200 for _, ready in self.entries):
            return False
        return all(worker.lease_end > worker.clock() + 1000 for worker in self.workers)

    def wait(self, holds, seconds, what):
        until = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > until:
                raise RuntimeError(f"timed out: {what}")
            time.sleep(0.02)

    def submit(self, job, body):
        for attempt in range(8):
            port = self.entries[attempt % len(self.entries)][0]
            status, _ = call(port, "POST", PREFIX + job, body, 4, {"X-Deadline-Ms": "3000"})
            self.record(f"client: POST {job} {json.dumps(body)} -> {status}")
            if status == 200:
                return
            time.sleep(0.3)
        raise RuntimeError("job was not accepted")

    def state(self, job, entry=0):
        status, body = call(self.entries[entry][0], "GET", PREFIX + job, None, 4,
                            {"X-Deadline-Ms": "3000"})
        return body.get("state", "") if status == 200 and body else f"status {status}"

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    code = 2

    def stop(*_):
        raise RuntimeError("out of time")

    signal.signal(signal.SIGTERM, stop)
    try:
        record(f"TROUBLE={1 if TROUBLE else 0}")
        for last in (False, False, True):
            try:
                broken = case(record)
                break
            except (StartError, OSError) as error:
                if last:
                    raise
                record(f"the deployment did not start ({error}); it is started anew")
        code = 1 if broken else 0
        record("RULE BROKEN: " + broken if broken else "the rule held")
    except Exception as error:  # a case that cannot run says so
        record(f"the case could not run: {error!r}")
    print({0: "the rule held", 1: "rule broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
