"""A stand-in for the state service, as the protocol page describes it."""
import asyncio
import json
import time
from collections import deque

from httpc import Server

TXN_BYTES = 64 * 1024
CHANGES_KEPT = 10_000


def json_size(value):
    """Size limits are counted in the JSON form."""
    return len(json.dumps(value, separators=(",", ":")).encode())


class Bucket:
    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, cost):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


class StateService:
    def __init__(self, settings, note):
        self.settings, self.note = settings, note
        self.keys = {}       # key -> [value, mark, tether]
        self.ledger = 0
        self.log = deque(maxlen=CHANGES_KEPT)
        self.tethers = {}    # id -> [life_s, ends_at]
        self.last_tether = 0
        self.changed = asyncio.Event()
        self.outage = False
        self.refused = set()  # nodes that alone are refused
        self.latency = 0.003
        self.requests = Bucket(settings["rps"])
        self.writes = Bucket(settings["write_rps"])
        self.servers = {}
        self.rejected = {}   # reason -> count
        self.txn_hook = None

    async def start(self, node):
        async def handler(method, path, query, body):
            return await self.answer(node, method, path, query, body)
        server = Server(handler)
        self.servers[node] = server
        return await server.start()

    def lower(self, limits):
        """Applies the limits that `state.next` has announced."""
        self.settings = {**self.settings, **limits}
        self.writes.rate = self.settings["write_rps"]

    def set_outage(self, on):
        self.outage = on
        if not on:
            now = time.monotonic()
            for tether in self.tethers.values():
                tether[1] = now + tether[0]
            self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                continue
            now = time.monotonic()
            for number in [n for n, (_, ends_at) in self.tethers.items() if ends_at + 0.03 <= now]:
                self._end_tether(number)

    def _end_tether(self, number):
        self.tethers.pop(number, None)
        for key in [key for key, item in self.keys.items() if item[2] == number]:
            self.ledger += 1
            del self.keys[key]
            self.log.append((self.ledger, key, None))
        self._wake()

    def _reject(self, reason):
        self.rejected[reason] = self.rejected.get(reason, 0) + 1
        if self.rejected[reason] <= 5 or self.rejected[reason] % 50 == 0:
            self.note("state service answers 400: %s (%d times so far)" % (reason, self.rejected[reason]))
        return 400, {"error": reason}

    async def answer(self, node, method, path, query, body):
        await asyncio.sleep(self.latency)
        if self.outage or node in self.refused:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if body is ValueError:
            return self._reject("malformed")
        if method == "POST" and path == "/txn":
            return await self._txn(node, body)
        if method == "GET" and path == "/changes":
            return await self._changes(node, query)
        if method == "GET" and path == "/store":
            return self._page(query)
        if method == "GET" and path.startswith("/store/"):
            item = self.keys.get(path[7:])
            return (404, {"ledger": self.ledger}) if item is None else (200, {"k": path[7:], "v": item[0], "mark": item[1]})
        if method == "POST" and path == "/leases":
            self.last_tether += 1
            life = body["life_ms"] / 1000
            self.tethers[self.last_tether] = [life, time.monotonic() + life]
            return 200, {"tether": self.last_tether}
        if path.startswith("/leases/"):
            number = int(path.split("/")[2])
            if number not in self.tethers:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self._end_tether(number)
            else:
                self.tethers[number][1] = time.monotonic() + self.tethers[number][0]
            return 200, {"tether": number}
        return self._reject("no such path: %s %s" % (method, path))

    async def _txn(self, node, body):
        conditions, writes = body.get("if") or [], body.get("writes") or []
        limit = self.settings
        size = json_size(body)
        if len(writes) > limit["txn_ops"] or len(conditions) > 4 * limit["txn_ops"]:
            return self._reject("transaction has too many parts")
        if size > TXN_BYTES:
            return self._reject("transaction of more than 64 KiB")
        if any(json_size(write.get("v")) > limit["value_kb"] * 1024 for write in writes if "write" in write):
            return self._reject("value too large")
        if not self.writes.take(len(writes)):
            return 429, {"error": "too many changes"}
        if self.txn_hook is not None:
            late = self.txn_hook(node, body)
            if late is not None:
                async def apply_late():
                    await asyncio.sleep(late)
                    if not self.outage:
                        self._commit(conditions, writes)
                asyncio.ensure_future(apply_late())
                await asyncio.sleep(6)
                return None
        return self._commit(conditions, writes)

    def _commit(self, conditions, writes):
        if any(w.get("tether") is not None and w["tether"] not in self.tethers for w in writes if "write" in w):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in conditions if (self.keys[c["k"]][1] if c["k"] in self.keys else 0) != c["mark"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if writes:
            self.ledger += 1
            for write in writes:
                if "write" in write:
                    key = write["write"]
                    self.keys[key] = [write.get("v"), self.ledger, write.get("tether")]
                    self.log.append((self.ledger, key, write.get("v")))
                elif self.keys.pop(write["remove"], None) is not None:
                    self.log.append((self.ledger, write["remove"], None))
            self._wake()
        return 200, {"ledger": self.ledger}

    async def _changes(self, node, query):
        prefix, after = query.get("starts", ""), int(query["after"])
        ends_at = time.monotonic() + int(query.get("block_ms", 0)) / 1000
        while True:
            if not (self.outage or node in self.refused):
                if self.log and len(self.log) == CHANGES_KEPT and after < self.log[0][0] - 1:
                    return 410, {"error": "too old"}
                events = []
                for mark, key, value in reversed(self.log):
                    if mark <= after:
                        break
                    if key.startswith(prefix):
                        events.append({"remove": key, "mark": mark} if value is None else {"write": key, "v": value, "mark": mark})
                if events or time.monotonic() >= ends_at:
                    return 200, {"ledger": self.ledger, "log": events[::-1]}
            waiting = self.changed
            left = ends_at - time.monotonic()
            try:
                await asyncio.wait_for(waiting.wait(), min(max(left, 0.01), 0.5))
            except asyncio.TimeoutError:
                pass

    def _page(self, query):
        prefix, after = query.get("starts", ""), query.get("after")
        most, size = min(int(query.get("most", 1000)), 1000), 0
        rows, more = [], False
        for key in sorted(key for key in self.keys if key.startswith(prefix) and (after is None or key > after)):
            value, mark, tether = self.keys[key]
            size += json_size(value) + len(key) + 20
            if rows and (len(rows) >= most or size > 512 * 1024):
                more = True
                break
            row = {"k": key, "v": value, "mark": mark}
            if tether is not None:
                row["tether"] = tether
            rows.append(row)
        return 200, {"rows": rows, "more": more, "ledger": self.ledger}
