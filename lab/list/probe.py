#!/usr/bin/env python3
"""Measures one real relay given N endpoints of as many destinations.

probe.py PROGRAM N push|known OUT.json: push, the list comes by the watch; known, it is in the configuration.
In the result, `change_ms_alone` is the processor time of a change with its step, `loop` the answers of the
second address, seen from outside, `client` those to hand-ins. It ends itself after PROBE_LIMIT seconds (120).
"""
import sys, os, json, socket, threading, time, subprocess, tempfile, statistics, signal, http.client
prog, N, mode, out = sys.argv[1], int(sys.argv[2]), sys.argv[3], sys.argv[4]
LABEL = sys.argv[5] if len(sys.argv) > 5 else prog
LIMIT = float(os.environ.get("PROBE_LIMIT", "120"))
tmp = tempfile.mkdtemp(prefix="listprobe"); state = tmp + "/state"; os.mkdir(state)
CLK = os.sysconf("SC_CLK_TCK")
def entry(i, state="SERVING", addr=None):
    return '{"id":"s-%08x","addr":"%s","zone":"%s","kind":"m2","cell":%d,"state":"%s","weight":1.0,"started_ms":0}' % (
        i * 2654435761 % 2**32, addr or host_addr, "abcdef"[i % 6], i, state)
# endpoint: answers 200 to all
class Host(threading.Thread):
    def __init__(s):
        super().__init__(daemon=True); s.l = socket.create_server(("127.0.0.1", 0), backlog=256); s.addr = "127.0.0.1:%d" % s.l.getsockname()[1]
    def run(s):
        while True:
            c, _ = s.l.accept(); threading.Thread(target=s.serve, args=(c,), daemon=True).start()
    def serve(s, c):
        buf = b""
        try:
            while True:
                while b"\r\n\r\n" not in buf:
                    d = c.recv(65536)
                    if not d: return
                    buf += d
                head, buf = buf.split(b"\r\n\r\n", 1)
                n = 0
                for l in head.split(b"\r\n"):
                    if l.lower().startswith(b"content-length:"): n = int(l.split(b":")[1])
                while len(buf) < n: buf += c.recv(65536)
                buf = buf[n:]
                c.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except OSError: pass
host = Host(); host_addr = host.addr; host.start()
def whole_pieces(version, n, first=0):
    yield '{"version":%d,"full":true,"servers":[' % version
    for a in range(first, n, 500):
        yield ("," if a > first else "") + ",".join(entry(i) for i in range(a, min(n, a + 500)))
    yield "]}\n"
class Disc:
    def __init__(s):
        s.l = socket.create_server(("127.0.0.1", 0), backlog=64); s.addr = "127.0.0.1:%d" % s.l.getsockname()[1]
        s.lock = threading.Lock(); s.busy = False; s.watchers = 0; s.conn = None; s.cond = threading.Condition(); s.pre = None; s.sent_at = None
        threading.Thread(target=s.run, daemon=True).start()
    def run(s):
        while True:
            c, _ = s.l.accept(); threading.Thread(target=s.serve, args=(c,), daemon=True).start()
    def serve(s, c):
        buf = b""
        try:
            while b"\r\n\r\n" not in buf:
                d = c.recv(65536)
                if not d: return
                buf += d
            if buf.startswith(b"POST"):
                while True:
                    c.sendall(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
                    if not c.recv(65536): return
            c.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            with s.cond: s.conn = c; s.watchers += 1; s.cond.notify_all()
            while True:
                time.sleep(1)
                if s.busy: continue
                with s.lock: c.sendall(b"1\r\n\n\r\n")
        except OSError: pass
    def say(s, pieces):
        for p in pieces:
            b = p if isinstance(p, bytes) else p.encode()
            s.busy = True
            with s.lock: s.conn.sendall(b"%x\r\n" % len(b) + b + b"\r\n")
        s.sent_at = time.monotonic(); s.busy = False
disc = Disc()
known = (0, []) 
cls = lambda n, e: {"name": n, "aim": 1000.0, "deadline": 20000.0, "idempotency": e, "keyScope": "all", "lateWorth": 0.5, "window": 6000.0, "worth": 1.0}
conf = {"name": "n0", "listen": "127.0.0.1:0", "discovery": disc.addr, "seed": "8c1f30d27a5be964", "admin_addr": "127.0.0.1:0",
 "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 512, "disk_mb": 30}, "known": "KNOWN",
 "settings": {"allowed": {"connIdle": 9000.0, "connectTimeout": 1500.0, "maxAttempts": 4, "maxOpen": 400, "maxRetryAfter": 900.0, "retryAfter": True},
  "classes": [cls("note", "idempotent")], "discovery": "subscribe" if mode == "ask" else "push",
  "familyInfo": {"kindApart": [False], "kindBatch": [1], "losesWorth": "halving", "workers": 64}, "hostTypes": ["m2"], "overShareWorth": 0.1,
  "rules": {"overloadFactor": 2.0, "overloadFor": 3000.0, "startCapacity": 0.2, "warmAfter": 9000.0, "askWithin": 10000.0},
  "stats": {"fields": []}, "tick": 5.0, "weights": "off"}}
text = json.dumps(conf); a, b = text.split('"KNOWN"')
with open(tmp + "/config.json", "w") as f:
    f.write(a)
    for p in whole_pieces(1, N if mode == "known" else 8): f.write(p.strip("\n"))
    f.write(b)
t0 = time.monotonic()
log = open(tmp + "/log", "w")
proc = subprocess.Popen([prog], env={"PROXY_CONFIG": tmp + "/config.json", "PROXY_STATE": state, "PATH": os.environ["PATH"]}, stderr=log, stdout=log)
pid = proc.pid
def stat():
    f = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split(); return (int(f[11]) + int(f[12])) / CLK
def ms():
    # CPU time in ns, finer than stat
    return int(open(f"/proc/{pid}/schedstat").read().split()[0]) / 1e6
def mem(k="VmRSS"):
    for l in open(f"/proc/{pid}/status"):
        if l.startswith(k): return int(l.split()[1]) * 1024
def addresses():
    lis = adm = None
    for l in open(tmp + "/log"):
        if "listening on" in l and "standing" not in l: lis = l.split()[-1]
        if "second address on" in l: adm = l.split()[-1]
    return lis, adm
while not all(addresses()):
    if proc.poll() is not None: print(open(tmp + "/log").read()); sys.exit(1)
    time.sleep(0.02)
lis, adm = addresses()
def admin(line, timeout=20):
    c = socket.create_connection(("127.0.0.1", int(adm.split(":")[1])), timeout=timeout); c.sendall(line.encode() + b"\n"); r = c.recv(4096).decode().strip(); c.close(); return r
while not admin("HEALTH").startswith("ACK"): time.sleep(0.02)
ready = time.monotonic() - t0
r = {"program": LABEL, "entries": N, "mode": mode, "ready_s": round(ready, 3), "ready_cpu_s": round(ms() / 1000, 3), "rss_at_ready": mem(), "peak_at_ready": mem("VmHWM")}
with disc.cond: disc.cond.wait_for(lambda: disc.conn, timeout=30)
# clients: 202 latency of one connection, one request each 2 ms, destinations in turn
class Client(threading.Thread):
    def __init__(s, dests, every=0.004):
        super().__init__(daemon=True); s.dests = dests; s.every = every; s.on = True; s.lat = []; s.other = {}
    def run(s):
        c = socket.create_connection(("127.0.0.1", int(lis.split(":")[1]))); c.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1); i = 0
        c.settimeout(60)
        while s.on:
            d = s.dests[i % len(s.dests)]; i += 1
            body = b"x" * 100
            req = b"POST /note HTTP/1.1\r\nHost: a\r\nX-Request-ID: m%d-%d\r\nX-Timeout-Ms: 20000\r\nX-Addressing: dest=%d\r\nContent-Length: 100\r\n\r\n" % (id(s) % 100000, i, d) + body
            t = time.monotonic()
            try:
                c.sendall(req); ans = b""
                while b"\r\n\r\n" not in ans:
                    x = c.recv(4096)
                    if not x: raise OSError
                    ans += x
            except OSError:
                s.other["closed"] = s.other.get("closed", 0) + 1; c.close()
                c = socket.create_connection(("127.0.0.1", int(lis.split(":")[1]))); c.settimeout(60); continue
            code = ans[9:12].decode()
            if code == "202": s.lat.append((time.monotonic() - t) * 1000)
            else: s.other[code] = s.other.get(code, 0) + 1
            time.sleep(s.every)
    def end(s):
        s.on = False; s.join(70)
        l = sorted(s.lat)
        return {"requests": len(l), "other": s.other, "median_ms": round(statistics.median(l), 3) if l else None, "p99_ms": round(l[int(len(l) * .99)], 3) if l else None, "worst_ms": round(l[-1], 3) if l else None}
# the longest stop of the loop as seen from outside: a request at the second address, one after the other
class Stops(threading.Thread):
    def __init__(s): super().__init__(daemon=True); s.on = True; s.worst = 0; s.n = 0; s.lat = []
    def run(s):
        while s.on:
            t = time.monotonic()
            try: admin("HEALTH", 120)
            except OSError: pass
            s.lat.append((time.monotonic() - t) * 1000); time.sleep(0.001)
    def end(s):
        s.on = False; s.join(130); l = sorted(s.lat); return {"worst_ms": round(l[-1], 2), "p99_ms": round(l[int(len(l) * .99)], 2), "median_ms": round(statistics.median(l), 3), "looks": len(l)}
few = list(range(8))
def phase(name, work, dests=few):
    c, st = Client(dests), Stops(); cpu, t = ms(), time.monotonic(); c.start(); st.start(); x = work()
    r[name] = {"wall_s": round(time.monotonic() - t, 3), "cpu_s": round((ms() - cpu) / 1000, 3), "client": c.end(), "loop": st.end(), "rss": mem(), "peak": mem("VmHWM")}
    if x: r[name].update(x)
    print(name, json.dumps(r[name]), flush=True)
last = [1]
MARK = N + 10**6
mark = [N + 2 * 10**6]
def until_known(cell, limit=LIMIT):
    # a change behind it has been taken: its id is known by name
    t = time.monotonic()
    ident = "s-%08x" % (cell * 2654435761 % 2**32)
    while time.monotonic() - t < limit:
        try:
            if admin("ONLINE " + ident, 60) == "ACK": return True
        except OSError: pass
        time.sleep(0.005)
    return False
phase("rest", lambda: time.sleep(3))
pieces = [p.encode() for p in whole_pieces(2, N)]
def quiet_take():
    cpu, t = ms(), time.monotonic(); base = mem()
    mark[0] += 1
    try:
        disc.say(pieces)
        disc.say(['{"version":%d,"full":false,"servers":[%s]}\n' % (mark[0], entry(mark[0]))])
    except OSError as e: return {"taken": False, "why": str(e)}
    ok = until_known(mark[0])
    return {"taken": ok, "take_wall_s": round(time.monotonic() - t, 3), "take_cpu_s": round((ms() - cpu) / 1000, 3), "bytes": sum(map(len, pieces)), "rss_before": base, "rss_after": mem()}
if mode != "known":
    phase("whole_list", quiet_take)
    if not r["whole_list"].get("taken"): 
        r["log"] = open(tmp + "/log").read()[-600:]
    else: time.sleep(1); r["rss_after_list"] = mem()
def change_cost(k=200):
    # each alone, so that none shares a step with another; what the watch costs at rest is taken off
    time.sleep(1); c0 = ms(); t0 = time.monotonic(); time.sleep(1); idle = (ms() - c0) / (time.monotonic() - t0)
    c1, t1 = ms(), time.monotonic()
    for i in range(k):
        disc.say(['{"version":%d,"full":false,"servers":[%s]}\n' % (3 + i, entry(100 + i, "DRAINING" if i % 2 else "SERVING"))]); time.sleep(0.008)
    time.sleep(0.3)
    w = time.monotonic() - t1
    return round((ms() - c1 - idle * w) / k, 4)
def burst_cost(k=2000):
    c1 = ms()
    disc.say(['{"version":%d,"full":false,"servers":[%s]}\n' % (1000 + i, entry(100 + i % (N - 200), "DRAINING" if i % 2 else "SERVING")) for i in range(k)])
    disc.say(['{"version":%d,"full":false,"servers":[%s]}\n' % (1000 + k, entry(MARK))])
    until_known(MARK)
    return round((ms() - c1) / k, 4)
if r.get("whole_list", {}).get("taken", True):
    r["change_ms_alone"] = change_cost(); print("change alone", r["change_ms_alone"], flush=True)
    r["change_ms_in_a_burst"] = burst_cost(); print("burst", r["change_ms_in_a_burst"], flush=True)
    phase("rest_spread", lambda: time.sleep(3), dests=[(i * 7919) % N for i in range(20000)])
    phase("again_whole", quiet_take)
    time.sleep(1); r["rss_end"], r["peak"] = mem(), mem("VmHWM")
    if N >= 2000: r["bytes_an_entry"] = round((r["rss_end"] - r["rss_at_ready"]) / N, 1) if mode != "known" else None
r["log_tail"] = open(tmp + "/log").read()[-300:]
proc.send_signal(signal.SIGKILL); proc.wait()
json.dump(r, open(out, "w"), indent=1); print(json.dumps(r))
import shutil; shutil.rmtree(tmp)
