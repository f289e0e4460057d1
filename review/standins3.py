"""Stand-ins of the platform for the cases of this review: store, workers, clients, and a checker.

They follow PROTOCOL.md. All listen on loopback, in one process. The programs under test run as
processes of their own.
"""
import asyncio, base64, json, os, shutil, signal, socket, struct, sys, tempfile, time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
BIN = os.environ.get('FLEET_BIN', os.path.join(ROOT, 'target/release/cactusdoor-fleet'))
B = dict(configApplyMs=2000, cancel_ms=3000, harmMs=4000, evacuateMs=5000, graceS=6, holdMaxMs=10000,
         stopMs=900, restoreMs=600, gangTimeoutMs=3000, checkpointS=1, early_ms=250, visible_ms=3000)


def now():
    return time.monotonic()


TAKEN = set()
# An address of this installation alone: outgoing connections take no port of it.
HOST = '127.%d.%d.1' % (20 + os.getpid() // 250 % 200, 1 + os.getpid() % 250)


def free_port():
    """A free port below the range of outgoing connections."""
    import random
    r = random.SystemRandom()
    while True:
        port = r.randrange(10000, 32000)
        if port in TAKEN:
            continue
        with socket.socket() as s:
            try:
                s.bind((HOST, port))
            except OSError:
                continue
        TAKEN.add(port)
        return port


class Drop(Exception):
    """The connection ends without an answer."""


class Mute(Exception):
    """The connection stays open without an answer."""


SERVED = set()


async def serve(port, handler):
    conns, tasks = set(), SERVED

    async def conn(r, w):
        me = asyncio.current_task()
        tasks.add(me)
        me.add_done_callback(tasks.discard)
        conns.add(w)
        try:
            while True:
                line = await r.readline()
                if not line:
                    break
                if line == b'\r\n':
                    continue
                method, path, _ = line.decode('latin1').split(' ', 2)
                headers = {}
                while True:
                    h = await r.readline()
                    if h in (b'\r\n', b''):
                        break
                    k, v = h.decode('latin1').split(':', 1)
                    headers[k.strip().lower()] = v.strip()
                n = int(headers.get('content-length', 0))
                body = await r.readexactly(n) if n else b''
                try:
                    status, out, ctype = await handler(method, path, headers, body)
                except Drop:
                    w.transport.abort()
                    return
                except Mute:
                    await asyncio.sleep(3600)
                    return
                w.write(b'HTTP/1.1 %d X\r\ncontent-type: %s\r\ncontent-length: %d\r\n\r\n' %
                        (status, ctype.encode(), len(out)) + out)
                await w.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, RuntimeError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            conns.discard(w)
            w.close()

    server = await asyncio.start_server(conn, HOST, port, backlog=512, limit=1 << 20)
    server.open_conns = conns
    return server


def js(status, obj):
    return status, json.dumps(obj).encode(), 'application/json'


async def call(port, method, path, body=None, headers=None, timeout=3.0, host='q.example'):
    """One request on a connection of its own; (status, body), or (0, why) without an answer."""
    async def go():
        r, w = await asyncio.open_connection(HOST, port)
        try:
            data = b'' if body is None else json.dumps(body).encode()
            hs = {'Host': host, 'Content-Type': 'application/json', 'Content-Length': str(len(data)),
                  'Connection': 'close', **(headers or {})}
            w.write(('%s %s HTTP/1.1\r\n' % (method, path) +
                     ''.join('%s: %s\r\n' % kv for kv in hs.items()) + '\r\n').encode() + data)
            await w.drain()
            raw = await r.read()
            if b'\r\n\r\n' not in raw:
                return 0, 'cut'
            head, rest = raw.split(b'\r\n\r\n', 1)
            status = int(head.split(b' ', 2)[1])
            try:
                return status, json.loads(rest) if rest else None
            except ValueError:
                return status, rest.decode('latin1')
        finally:
            w.close()
    try:
        return await asyncio.wait_for(go(), timeout)
    except (OSError, asyncio.TimeoutError) as e:
        return 0, type(e).__name__


class Store:
    def __init__(self):
        self.topics = {}
        self.cond = asyncio.Condition()
        self.log = []

    def topic(self, name):
        return self.topics.setdefault(name, dict(recs=[], first=0, newest={}, prods={}))

    def push(self, name, key, val):
        t = self.topic(name)
        off = len(t['recs'])
        t['recs'].append((key, val))
        if val:
            t['newest'][key] = off
        else:
            t['newest'].pop(key, None)

    async def write(self, name, key, val):
        self.push(name, key, json.dumps(val).encode() if val is not None else b'')
        async with self.cond:
            self.cond.notify_all()

    def append(self, q, body):
        t = self.topic(q['topic'])
        p = q.get('producer')
        epoch, seq = int(q.get('epoch', 0)), int(q.get('seqNo', 0))
        end = len(t['recs'])
        if p is not None:
            s = t['prods'].setdefault(p, dict(epoch=-1, next=0, old={}))
            if epoch < s['epoch']:
                return js(409, dict(reason='fenced'))
            if epoch == s['epoch']:
                if seq in s['old']:
                    return js(200, s['old'][seq])
                if seq != s['next']:
                    return js(409, dict(reason='seq', seqNo=s['next']))
        if 'at' in q and int(q['at']) != end:
            return js(412, dict(end=end))
        i = 0
        while i < len(body):
            n, = struct.unpack('>I', body[i:i + 4])
            rec = body[i + 4:i + 4 + n]
            i += 4 + n
            k = rec[0]
            self.push(q['topic'], rec[1:1 + k].decode(), rec[1 + k:])
        ans = dict(offset=end, end=len(t['recs']))
        if p is not None:
            if epoch > s['epoch']:
                s['old'] = {}
            s['epoch'], s['next'] = epoch, seq + 1
            s['old'][seq] = ans
            while len(s['old']) > 5:
                s['old'].pop(min(s['old']))
        return js(200, ans)


class Endpoint:
    """One address of the store; `mode` tells how it treats the calls of its machine."""

    def __init__(self, store):
        self.store, self.port = store, free_port()
        self.mode = 'ok'       # ok busy reset silent lost
        self.reads = 'ok'
        self.delay = 0.004

    async def start(self):
        self.server = await serve(self.port, self.handle)
        return self

    async def handle(self, method, path, headers, body):
        path, _, query = path.partition('?')
        q = dict(p.split('=', 1) for p in query.split('&') if '=' in p)
        q = {k: v.replace('%40', '@').replace('%21', '!') for k, v in q.items()}
        mode = self.mode if path == '/log-append' or self.mode != 'ok' else self.reads
        await asyncio.sleep(self.delay)
        if mode == 'busy':
            return js(503, {})
        if mode == 'reset':
            raise Drop
        if mode == 'silent':
            raise Mute
        st = self.store
        if path == '/log-append':
            ans = st.append(q, body)
            async with st.cond:
                st.cond.notify_all()
            if mode == 'lost':
                raise Drop
            return ans
        t = st.topic(q['topic'])
        if path == '/log-newest':
            keys = sorted(k for k in t['newest'] if k > q.get('after', ''))
            page = keys[:500]
            items = [dict(key=k, value=base64.b64encode(t['recs'][t['newest'][k]][1]).decode(),
                          offset=t['newest'][k]) for k in page]
            return js(200, dict(items=items, hasMore=len(keys) > 500, end=len(t['recs'])))
        if path == '/log-read':
            frm = int(q['from'])
            until = now() + int(q.get('waitMs', 0)) / 1000
            while len(t['recs']) <= frm and now() < until:
                async with st.cond:
                    try:
                        await asyncio.wait_for(st.cond.wait(), max(0.001, until - now()))
                    except asyncio.TimeoutError:
                        pass
            if frm < t['first']:
                return js(410, dict(first=t['first']))
            out = bytearray(struct.pack('>QQ', len(t['recs']), t['first']))
            for k, v in t['recs'][frm:]:
                rec = bytes([len(k)]) + k.encode() + v
                if len(out) > 16 and len(out) + len(rec) + 4 > int(q.get('maxKb', 1024)) * 1024:
                    break
                out += struct.pack('>I', len(rec)) + rec
            return 200, bytes(out), 'application/octet-stream'
        return js(404, {})


class Platform:
    """What the workers share: the jobs as the clients sent them, gangs, and the history."""

    def __init__(self):
        self.jobs = {}       # id -> body
        self.t0 = now()
        self.events = []
        self.breaks = []
        self.live = {}       # task -> {(worker, life, run): since}
        self.done = {}       # task -> time at which its end as done was taken note of
        self.failed = {}
        self.gangs = {}      # (step name, run) -> dict
        self.starts = 0
        self.tickets_missing = 0
        self.late_starts = 0
        self.forgotten = {}  # tasks whose end as done was dropped by a call from before the worker's restart

    def rec(self, *a):
        self.events.append('%8.3f ' % (now() - self.t0) + ' '.join(str(x) for x in a))

    def broken(self, rule, text):
        self.breaks.append((rule, text))
        self.rec('BROKEN', rule, text)

    def step(self, task):
        job, k, s, i = task.split('.')
        body = self.jobs.get(job)
        return body, (body['steps'][int(s)] if body else None)


class Worker:
    def __init__(self, plat, n, agent_port, zone, cpu=32000, mem=128000, gpu=0, rack='r1-1', kind='a', service='svc',
                 port=None):
        self.p, self.n, self.agent_port, self.zone = plat, n, agent_port, zone
        self.cap = dict(cpu=cpu, memMb=mem, gpu=gpu)
        self.labels = [kind, rack]
        self.service = service
        self.port = port or free_port()
        self.id = 'i-%08x' % (0x1000 + n)
        self.up = False
        self.mode = 'ok'         # ok silent hang503
        self.late = 0.0          # share of orders carried out late without an answer
        self.late_s = 4.0
        self.path_keeps = False
        self.late_kinds = ('run-start', 'run-stop', 'pace', 'hold')
        self.fail_all = False
        self.rejects = False
        self.drain_at = None
        self.seq = 0
        self.beat_delay = 1.5
        self.tasks = []

    def clock(self):
        return int((now() - self.c0) * 1000)

    async def boot(self, new_id=False):
        if new_id:
            self.id = 'i-%08x' % (int(self.id[2:], 16) + 0x100)
        self.born = int(time.time() * 1000)
        self.c0 = now() - 0.0
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.last = {}
        self.ended = []
        self.nend = 0
        self.lapsed_ends = 0
        self.seq = 0
        self.draining = False
        self.wake = asyncio.Event()
        self.up = True
        self.server = await serve(self.port, self.handle)
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.tick())]
        self.p.rec('worker', self.n, self.id, 'up, born', self.born)

    async def crash(self):
        self.up = False
        for t in self.tasks:
            t.cancel()
        for task in list(self.running):
            self.finish(task, 'crashed')
        self.server.close()
        for w in list(self.server.open_conns):
            w.transport.abort()
        self.p.rec('worker', self.n, 'down')

    async def beat(self):
        while True:
            self.seq += 1
            body = dict(service=self.service, address='%s:%d' % (HOST, self.port), zone=self.zone, version='v1',
                        slots=8, state='draining' if self.draining else 'ready', coldRemainingMs=0,
                        capacity=self.cap, labels=self.labels, clockMs=self.clock(), seqNo=self.seq, born=self.born)
            if self.draining:
                body['remainingMs'] = 2000
            st, _ = await call(self.agent_port, 'POST', '/instances/%s/heartbeat' % self.id, body, timeout=1.0)
            await asyncio.sleep(self.beat_delay if st == 200 else 0.3)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            self.advance()

    def advance(self):
        t = now()
        if self.lease < self.clock():
            for task in list(self.running):
                self.finish(task, 'lapsed')
            # Ends from before a lapse of the lease are never taken note of.
            self.lapsed_ends = self.nend
        for task, r in list(self.running.items()):
            if task not in self.running:
                continue
            g = r.get('gang')
            if g is not None:
                if g['began'] is None:
                    if t - r['t'] > B['gangTimeoutMs'] / 1000:
                        self.finish(task, 'alone')
                    continue
                if not r['begun']:
                    r['begun'] = True
                    r['work_t'] = g['began']
            if r['fail_at'] is not None and t >= r['work_t'] + r['fail_at']:  # by itself, or by the worker's fault
                self.finish(task, 'failed')
            elif r['ms'] is not None and t >= r['work_t'] + r['ms'] / 1000:
                if g is not None:
                    for w, name in list(g['members'].values()):
                        w.finish(name, 'done')
                else:
                    self.finish(task, 'done')

    def progress(self, r):
        if r['ms'] is None:
            return 100 if now() - r['work_t'] > 0.3 else 50
        if r.get('gang') is not None and r['gang']['began'] is None:
            return int(100 * r['base'])
        return max(0, min(99, int(100 * (r['base'] + (now() - r['work_t']) * 1000 / max(1, r['total'])))))

    def saved(self, r):
        if not r['ckpt']:
            return ''
        if r.get('gang') is not None and r['gang']['began'] is None:
            return r['from']
        done = r['base'] * r['total'] / 1000 + max(0, now() - r['work_t'])
        step = int(done / B['checkpointS']) * B['checkpointS']
        return r['from'] if step <= r['base'] * r['total'] / 1000 else '%s@%d' % (r['key'], step * 1000)

    def finish(self, task, how):
        r = self.running.pop(task, None)
        if r is None:
            return
        saved = self.saved(r)
        if how == 'stopped' and r['ckpt'] and not (r.get('gang') and r['gang']['began'] is None):
            done = int(r['base'] * r['total'] + max(0, now() - r['work_t']) * 1000)
            saved = '%s@%d' % (r['key'], done)
        self.nend += 1
        if how != 'crashed':
            self.ended.append([self.nend, task, r['run'], how, saved])
        self.p.live.get(task, {}).pop((self.n, self.born, r['run']), None)
        self.p.rec('end', task, 'run', r['run'], 'worker', self.n, how)
        body, st = self.p.step(task)
        if how == 'done' and body is not None:
            body['_meta']['ended_done'].add(task)
        g = r.get('gang')
        if how == 'alone':
            self.p.broken('GANG', '%s run %d alone on worker %d' % (task, r['run'], self.n))
        if g is not None:
            g['members'].pop(task, None)
            if how != 'done':
                g['dead'] = True
                if g['began'] is not None and not g.get('told'):
                    # The other members learn of it by a message.
                    g['told'] = True

                    def tell():
                        for w, name in list(g['members'].values()):
                            w.finish(name, 'broken')
                    asyncio.get_running_loop().call_later(0.02, tell)
        self.wake.set()

    def used(self, step_of=None):
        u = dict(cpu=0, memMb=0, gpu=0)
        for task in self.running:
            _, st = self.p.step(task)
            if st:
                u['cpu'] += 0 if st.get('fills') else st.get('cpu', 0)
                u['memMb'] += st.get('memMb', 0)
                u['gpu'] += st.get('gpu', 0)
        return u

    def start_run(self, b, late=False, former=False):
        if b.get('fencingToken', 0) < self.fence:
            return 'fence'
        self.fence = max(self.fence, b.get('fencingToken', 0))
        task, run = b['task'], b['run']
        self.lease = max(self.lease, min(b['deadlineMs'], self.clock() + B['holdMaxMs']))
        r = self.running.get(task)
        if r and r['run'] == run:
            return None
        if self.last.get(task, 0) >= run:
            return 'old'
        if b['deadlineMs'] < self.clock():
            return 'late'
        body, st = self.p.step(task)
        if st is None:
            self.p.broken('UNASKED', '%s: no such job was sent' % task)
            return None
        if body['_meta'].get('advice') and not b.get('ticket'):
            self.p.tickets_missing += 1
            return 'ticket'
        if r:
            self.finish(task, 'stopped')
        p = self.p
        p.starts += 1
        self.last[task] = run
        if b.get('spec', '') != body.get('spec', ''):
            p.broken('UNASKED', '%s run %d has another spec' % (task, run))
        ck = b.get('checkpoint', '')
        key = '.'.join(task.split('.')[:3]) if st.get('gang') else task
        if ck and not ck.startswith(key + '@'):
            p.broken('UNASKED', '%s run %d has a checkpoint of another task: %s' % (task, run, ck))
        if p.live.get(task) and not st.get('speculative'):
            p.broken('TWICE', '%s run %d on worker %d while %s run' % (task, run, self.n, list(p.live[task])))
        if task in p.done:
            p.broken('TWICE', '%s run %d on worker %d after its end as done was noted%s' %
                     (task, run, self.n, ', by a call from before the restart' if former else ''))
            p.late_starts += former
        meta = body['_meta']
        job, k, s, i = task.split('.')
        for a in st.get('after', []):
            for j in range(body['steps'][a]['count']):
                if '%s.%s.%d.%d' % (job, k, a, j) not in meta['ended_done']:
                    p.broken('ORDER', '%s before step %d' % (task, a))
                    break
        if body.get('iterations'):
            due = body['startTimeMs'] + int(k) * body['intervalMs']
            if time.time() * 1000 < due - B['early_ms']:
                p.broken('ORDER', '%s %d ms early' % (task, due - time.time() * 1000))
        if st.get('requires') and st['requires'] not in self.labels:
            p.broken('ROUTE', '%s on worker %d without label' % (task, self.n))
        if st.get('antiAffinity'):
            same = sum(1 for x in self.running if x.rsplit('.', 1)[0] == task.rsplit('.', 1)[0])
            if same + 1 > st['antiAffinity']:
                p.broken('ROUTE', '%s beyond antiAffinity on worker %d' % (task, self.n))
        if meta.get('cancelled') and now() > meta['cancelled'] + B['cancel_ms'] / 1000:
            p.broken('UNASKED', '%s run %d started %.1f s after the cancel' % (task, run, now() - meta['cancelled']))
        meta['started'] = True
        sp = json.loads(body.get('spec') or '{}')
        ms = sp.get('ms', 500)
        if isinstance(ms, list):
            ms = ms[int(s)]
        if sp.get('vary') and ms:
            ms = int(ms * (0.5 + (hash((task, sp['vary'])) % 1000) / 1000))
        total = ms or 1
        base = 0.0
        if ck:
            base = min(0.99, int(ck.split('@')[1]) / total)
        t = now()
        fail_at = None
        if self.fail_all:
            fail_at = 0.1
        else:
            f = sp.get('fail', {}).get('%s.%s' % (s, i), 0)
            if run <= f:
                fail_at = 0.2
        if st.get('longRunning'):
            ms = None
        r = dict(run=run, t=t, work_t=t + (B['restoreMs'] / 1000 if ck else 0), ms=None if ms is None else ms * (1 - base),
                 total=total, base=base, ckpt=bool(st.get('checkpointing')), fail_at=fail_at, begun=False,
                 key=key, speed=100)
        r['from'] = ck
        self.running[task] = r
        p.live.setdefault(task, {})[(self.n, self.born, run)] = t
        if st.get('gang'):
            g = p.gangs.setdefault((task.rsplit('.', 1)[0], run), dict(members={}, began=None, dead=False))
            g['members'][task] = (self, task)
            r['gang'] = g
            if len(g['members']) == st['count'] and not g['dead']:
                g['began'] = t + (B['restoreMs'] / 1000 if ck else 0)
        p.rec('start', task, 'run', run, 'worker', self.n, 'token', b.get('fencingToken'), 'late' if late else '')
        u = self.used()
        if any(u[x] > self.cap[x] for x in u):
            if self.rejects:
                del self.running[task]
                p.live[task].pop((self.n, self.born, run), None)
                self.last.pop(task)
                return 'room'
            p.broken('LIMIT', '%s run %d brings worker %d to %s' % (task, run, self.n, u))
        return None

    def stop_run(self, b):
        if b.get('fencingToken', 0) < self.fence:
            return 'fence'
        self.fence = b.get('fencingToken', 0)
        task, run = b['task'], b['run']
        r = self.running.get(task)
        if r and r['run'] <= run and not r.get('stopping'):
            r['stopping'] = True

            async def end():
                await asyncio.sleep(B['stopMs'] / 1000 * 0.5)
                if self.up and self.running.get(task) is r:
                    self.finish(task, 'stopped')
            asyncio.ensure_future(end())
        old = self.last.get(task, 0) >= run and not r
        self.last[task] = max(self.last.get(task, 0), run)
        return 'old' if old else None

    async def handle(self, method, path, headers, body):
        if not self.up:
            raise Drop
        if self.mode == 'silent':
            raise Mute
        if headers.get('x-expect-instance', self.id) != self.id:
            return js(421, {})
        b = json.loads(body)
        name = path.strip('/')
        if self.mode == 'unhealthy' and name != 'hold':
            return js(503, dict(clockMs=self.clock()))
        import random
        if self.late and name in self.late_kinds and random.random() < self.late:
            life = self.born

            async def later():
                # The path to the worker has the call, and delivers it as an ordinary one. By default it forgets it
                # when the worker's process ends.
                await asyncio.sleep(self.late_s() if callable(self.late_s) else self.late_s)
                if not self.up or headers.get('x-expect-instance', self.id) != self.id:
                    return
                if self.born != life and not self.path_keeps:
                    return
                self.p.rec('late', name, b.get('task', ''), b.get('run', ''), 'lastSeen %s' % b['lastSeen'] if name == 'hold'
                           else '', 'worker', self.n, '' if self.born == life else 'in its next life')
                self.order(name, b, True, self.born != life)
            asyncio.ensure_future(later())
            raise Mute
        if name == 'hold':
            if b['fencingToken'] < self.fence:
                return js(409, dict(clockMs=self.clock(), reason='fence'))
            self.order(name, b)
            until = now() + min(2000, b.get('waitMs', 0)) / 1000
            while not self.ended and now() < until and self.up:
                self.wake.clear()
                try:
                    await asyncio.wait_for(self.wake.wait(), max(0.001, until - now()))
                except asyncio.TimeoutError:
                    pass
            if not self.up:
                raise Drop
            rows = [[t, r['run'], self.saved(r), self.progress(r), 5 if r['ms'] is None else 100]
                    for t, r in self.running.items()]
            return js(200, dict(clockMs=self.clock(), born=self.born, running=rows, ended=self.ended[:500]))
        why = self.order(name, b)
        if why:
            return js(409, dict(clockMs=self.clock(), reason=why))
        return js(200, dict(clockMs=self.clock()))

    def order(self, name, b, late=False, former=False):
        if name == 'run-start':
            return self.start_run(b, late, former)
        if name == 'run-stop':
            return self.stop_run(b)
        if name == 'pace':
            r = self.running.get(b['task'])
            if r and r['run'] == b['run']:
                r['speed'] = b['percent']
            return None
        if b['fencingToken'] < self.fence:
            return 'fence'
        self.fence = b['fencingToken']
        if b.get('deadlineMs') is not None:
            self.lease = max(self.lease, min(b['deadlineMs'], self.clock() + B['holdMaxMs']))
        noted = [e for e in self.ended if e[0] <= b['lastSeen']]
        self.ended = [e for e in self.ended if e[0] > b['lastSeen']]
        for n, task, run, how, _ in noted:
            body, st = self.p.step(task)
            if st is None:
                continue
            if how == 'done' and not st.get('longRunning') and n > self.lapsed_ends:
                names = [task]
                if st.get('gang'):
                    names = ['%s.%d' % (task.rsplit('.', 1)[0], j) for j in range(st['count'])]
                for x in names:
                    if former and x not in self.p.done:
                        self.p.forgotten[x] = (now(), self.n)
                        self.p.rec('the end of', x, 'run', run, 'as done, number', n, 'was not taken note of before, and is forgotten')
                    self.p.done.setdefault(x, now())
            if how == 'failed':
                self.p.failed.setdefault(task, set()).add(run)
        return None


class Installation:
    """Entries and agents as processes, with their settings."""

    def __init__(self, entries=2, agents=4, zones=('north', 'south')):
        self.dir = tempfile.mkdtemp(prefix='review3-')
        self.procs = {}
        self.plat = Platform()
        self.ne, self.na, self.zones = entries, agents, zones
        self.entry_ports, self.workers, self.ini, self.endpoints = [], [], {}, {}
        self.version = 0

    async def start(self, worker_args=None, queues=None, boot_workers=True):
        self.store = Store()
        for i in range(self.ne):
            await self.make('entry', i)
        for i in range(self.na):
            await self.make('agent', i, (worker_args or (lambda i: {}))(i))
        await self.configure(queues or [dict(name='q', pathPrefix='/q/')])
        for n in self.ini:
            self.spawn(n)
        if boot_workers:
            for w in self.workers:
                await w.boot()
        await self.ready()

    async def ready(self):
        for _ in range(200):
            st = [(await call(p, 'GET', '/readiness', timeout=1))[0] for p in self.ready_ports]
            if all(s == 200 for s in st):
                pend = [(await call(p, 'GET', '/q/', timeout=1))[0] for p in self.entry_ports]
                if all(s == 200 for s in pend):
                    break
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def make(self, role, i, wargs=None):
        name = '%s-%d' % (role, i)
        ep = self.endpoints[name] = await Endpoint(self.store).start()
        zone = self.zones[i % len(self.zones)]
        txt = '[process]\nname = %s\ndata_centre = %s\npeer_address = HOST:%d\nmetrics_address = HOST:%d\n' % (
            name, zone, free_port(), free_port())
        txt += '\n[store]\naddress = HOST:%d\n' % ep.port
        if role == 'entry':
            front, ready = free_port(), free_port()
            self.entry_ports.append(front)
            self.ready_ports = getattr(self, 'ready_ports', []) + [ready]
            txt += '[callers]\naddress = HOST:%d\nready_address = HOST:%d\n' % (front, ready)
        else:
            control = free_port()
            w = Worker(self.plat, i, control, zone, **(wargs or {}))
            self.workers.append(w)
            txt += '[worker]\naddress = HOST:%d\nannounce_address = HOST:%d\nlease_limit_ms = %d\n' % (
                w.port, control, B['holdMaxMs'])
        txt += ('\n[bounds]\nconfig_ms = %(configApplyMs)d\ncancel_ms = %(cancel_ms)d\nharm_ms = %(harmMs)d\n'
                'take_out_ms = %(evacuateMs)d\nstop_ms = %(graceS)d000\n\n[scheduling]\nheadroom_forecast = on\n'
                'job_order = on\nmoves = on\nrefusals = on\nlearned_state = on\nstop_run_ms = %(stopMs)d\n'
                'restore_ms = %(restoreMs)d\n' % B)
        path = os.path.join(self.dir, name + '.ini')
        open(path, 'w').write(txt.replace('HOST', HOST))
        self.ini[name] = path

    def spawn(self, name):
        log = open(os.path.join(self.dir, name + '.log'), 'ab')
        import subprocess
        self.procs[name] = subprocess.Popen([BIN, name.split('-')[0]], env=dict(os.environ, CACTUSDOOR_CONFIG=self.ini[name]),
                                            stdout=log, stderr=log, cwd=ROOT)
        self.plat.rec('process', name, 'started')

    def kill(self, name, sig=signal.SIGKILL):
        self.plat.rec('process', name, signal.Signals(sig).name)
        self.procs[name].send_signal(sig)
        if sig == signal.SIGKILL:
            self.procs[name].wait()

    async def configure(self, queues, services=('svc',)):
        self.version += 7
        routes = []
        for x in queues:
            r = dict(name='q', host='q.example', pathPrefix='/q/', service='svc', timeoutMs=3000, targetLatencyMs=1000,
                     priority=0, maxAttempts=4, slackFactor=3.0)
            r.update(x)
            routes.append(r)
        await self.store.write('keyed.op', 'config', dict(version=self.version, routes=routes,
                               services=[dict(name=s) for s in services], limits=dict(maxBodyBytes=262144)))
        self.plat.rec('config', self.version, [r['name'] for r in routes])

    def owner(self):
        """Name of the agent whose heartbeat is the newest."""
        t = self.store.topic('keyed.owner')
        off = t['newest'].get('owner')
        return json.loads(t['recs'][off][1])['owner'] if off is not None else None

    async def submit(self, job, body, entry=None, attempts=4, prefix='/q/'):
        """Sends a job as a client does, up to `attempts` times."""
        import random
        meta = dict(ended_done=set(), prefix=prefix, sent=now())
        body = dict(body)
        self.plat.jobs[job] = dict(body, _meta=meta)
        for a in range(attempts):
            e = entry if entry is not None and a == 0 else random.randrange(self.ne)
            st, _ = await call(self.entry_ports[e], 'POST', prefix + job, body, headers={'X-Deadline-Ms': '3000'})
            self.plat.rec('POST', job, 'entry', e, '->', st)
            if 200 <= st < 300:
                meta['accepted'] = now()
                return st
            if st in (429, 503, 404, 400):
                meta['rejected'] = True
                await asyncio.sleep(0.5)
            else:
                meta['open'] = True
        return st

    async def cancel(self, job, attempts=4):
        import random
        meta = self.plat.jobs[job]['_meta']
        meta['cancel_sent'] = now()
        for a in range(attempts):
            e = random.randrange(self.ne)
            st, _ = await call(self.entry_ports[e], 'DELETE', meta['prefix'] + job, headers={'X-Deadline-Ms': '3000'})
            self.plat.rec('DELETE', job, 'entry', e, '->', st)
            if 200 <= st < 300 or st == 410:
                meta['cancelled'] = now()
                return st
            await asyncio.sleep(0.2)
        return st

    async def state(self, job, entry=None):
        import random
        e = random.randrange(self.ne) if entry is None else entry
        meta = self.plat.jobs[job]['_meta']
        st, body = await call(self.entry_ports[e], 'GET', meta['prefix'] + job, headers={'X-Deadline-Ms': '3000'})
        s = body.get('state') if st == 200 else st
        if st == 410 and meta.get('accepted') and not meta.get('cancel_sent') and now() > meta['accepted'] + B['visible_ms'] / 1000:
            self.plat.broken('LOST', 'GET %s is answered 410 by entry %d, %.1f s after the acknowledgement' % (job, e, now() - meta['accepted']))
        return s

    async def stop(self):
        for n, p in self.procs.items():
            if p.poll() is None:
                try:
                    p.send_signal(signal.SIGCONT)
                    p.send_signal(signal.SIGKILL)
                except OSError:
                    pass
                p.wait()
        for w in self.workers:
            if w.up:
                for t in w.tasks:
                    t.cancel()
        for t in list(SERVED):
            t.cancel()
        await asyncio.gather(*SERVED, return_exceptions=True)

    def clean(self):
        shutil.rmtree(self.dir, ignore_errors=True)
