"""Controllers as separate processes, and users; everything on loopback addresses and the real clock."""
import asyncio
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from fleet import Cloud, History, World
from httpc import call
from state import StateService

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def run_command():
    """The command of the deploy file, to which the path of the settings is appended."""
    with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
        for line in file:
            if line.startswith("run"):
                return shlex.split(line.split("=", 1)[1].strip().strip('"'))
    raise SystemExit(2)


def free_ports(count):
    """Ports that are free now, below those that the system gives to outgoing connections."""
    numbers, held = random.Random(os.getpid() ^ time.time_ns()), []
    while len(held) < count:
        one = socket.socket()
        try:
            one.bind(("127.0.0.1", numbers.randrange(20000, 32000)))
            held.append(one)
        except OSError:
            one.close()
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def toml(value):
    if isinstance(value, str):
        return '"%s"' % value
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return "[" + ", ".join(toml(item) for item in value) + "]"
    return repr(value)


class Cluster:
    def __init__(self, deployment, flavors, capacity, record, boot_s=2.0, label="hatchling", peer_ports=None):
        self.deployment = deployment
        self.history = History(record)
        self.world = World(deployment["workers"], self.history)
        self.state = StateService(deployment["state"], self.history.note)
        self.cloud = Cloud(self.world, flavors, deployment["cloud"], capacity, boot_s)
        self.count = deployment["nodes"]
        self.labels = ["%s-%d" % (label, n) for n in range(self.count)]
        self.processes, self.settings = {}, {}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.next_user_node = 0
        self.log_level = os.environ.get("LOG_LEVEL", "info")

    async def prepare(self):
        ports = free_ports(2 * self.count)
        self.public = dict(zip(self.labels, ports[:self.count]))
        self.back = dict(zip(self.labels, ports[self.count:]))
        self.world.nodes = [(label, self.public[label]) for label in self.labels]
        self.background = [asyncio.ensure_future(self.state.run())]
        zones = self.deployment["zones"]
        for number, label in enumerate(self.labels):
            state_port = await self.state.start(label)
            cloud_port = await self.cloud.start(label)
            lines = ['label = "%s"' % label, 'site = "%s"' % zones[number % len(zones)],
                     'public_addr = "127.0.0.1:%d"' % self.public[label], 'back = "127.0.0.1:%d"' % self.back[label]]
            for other_number, other in enumerate(self.labels):
                if other != label:
                    lines += ["[[siblings]]", 'label = "%s"' % other, 'site = "%s"' % zones[other_number % len(zones)],
                              'address = "127.0.0.1:%d"' % self.back[other]]
            lines += ["[external]", 'cloud = "127.0.0.1:%d"' % cloud_port, 'state = "127.0.0.1:%d"' % state_port]
            lines += ["[deployment]", "nodes = %d" % self.count, "zones = %s" % toml(zones),
                      "time_bound_ms = %r" % self.deployment.get("time_bound_ms", 25.0)]
            for team in self.deployment["teams"]:
                lines.append("[[deployment.teams]]")
                lines += ["%s = %s" % (name, toml(value)) for name, value in team.items()]
            for table in ("workers", "state", "cloud", "quota"):
                lines.append("[deployment.%s]" % table)
                items = self.deployment[table].items()
                lines += ["%s = %s" % (name, toml(value)) for name, value in items if not isinstance(value, dict)]
                for name, part in items:
                    if isinstance(part, dict):
                        lines.append("[deployment.%s.%s]" % (table, name))
                        lines += ["%s = %s" % (key, toml(value)) for key, value in part.items()]
            path = os.path.join(self.folder, label + ".toml")
            with open(path, "w") as file:
                file.write("\n".join(lines) + "\n")
            self.settings[label] = path

    def start(self, label):
        log = open(os.path.join(self.folder, label + ".log"), "ab")
        process = subprocess.Popen(run_command() + [self.settings[label]], cwd=ROOT, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log, env={**os.environ, "LOG_LEVEL": self.log_level})
        log.close()
        self.processes[label] = process
        self.history.note("controller %s starts" % label)

    def kill(self, label):
        process = self.processes.pop(label, None)
        if process:
            process.kill()
            process.wait()
            self.history.note("controller %s is killed" % label)

    def signal(self, label, number):
        self.processes[label].send_signal(number)
        self.history.note("controller %s gets signal %s" % (label, signal.Signals(number).name))

    def ended(self):
        return [label for label, process in self.processes.items() if process.poll() is not None]

    def stop(self):
        for label in list(self.processes):
            process = self.processes.pop(label)
            try:
                process.send_signal(signal.SIGCONT)
            except OSError:
                pass
            process.kill()
            process.wait()
        for worker in list(self.world.machines.values()):
            worker.stop("end of the test")
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def healthy(self, label):
        answer = await call(self.public[label], "GET", "/healthz", None, 1.0)
        return answer is not None and answer[0] == 200

    async def wait_healthy(self, labels, limit=20.0):
        ends_at = time.monotonic() + limit
        for label in labels:
            while not await self.healthy(label):
                if time.monotonic() > ends_at:
                    raise CannotRun("controller %s did not become healthy" % label)
                await asyncio.sleep(0.1)

    async def wait(self, condition, limit, what):
        ends_at = time.monotonic() + limit
        while not condition():
            if time.monotonic() > ends_at:
                raise CannotRun("no %s within %d s" % (what, limit))
            await asyncio.sleep(0.05)

    # -- users

    async def request(self, method, path, value=None, timeout=5.0, node=None):
        """One request of a user to `node`, or to the next node in turn."""
        if node is None:
            node = self.labels[self.next_user_node % self.count]
            self.next_user_node += 1
        answer = await call(self.public[node], method, path, value, timeout)
        shown = "no answer" if answer is None else "%d %s" % (answer[0], answer[1])
        self.history.note("user: %s %s at %s -> %s" % (method, path + ((" " + value["id"]) if value else ""), node, shown))
        return answer

    async def submit(self, job, true_s, limit=60.0):
        """Submits until the job is accepted or refused for good."""
        self.world.jobs[job["id"]] = {**job, "true_s": true_s}
        ends_at = time.monotonic() + limit
        while time.monotonic() < ends_at:
            answer = await self.request("POST", "/api/jobs", job)
            if answer and answer[0] in (200, 201, 400, 422):
                return answer
            await asyncio.sleep(retry_after(answer))
        return None

    async def cancel(self, job_id, limit=60.0):
        ends_at = time.monotonic() + limit
        while time.monotonic() < ends_at:
            answer = await self.request("POST", "/api/jobs/%s/abort" % job_id)
            if answer and answer[0] == 200:
                return answer
            await asyncio.sleep(retry_after(answer))
        return None

    async def poll(self, job_id, node=None):
        return await self.request("GET", "/api/jobs/%s" % job_id, None, 2.0, node)

    def on_machines(self, job_id=None):
        return [run for run in self.history.runs if run[4] is None and (job_id is None or run[0].split("/")[0] == job_id)]


class CannotRun(Exception):
    pass


def retry_after(answer):
    if answer and answer[2].get("retry-after"):
        return max(1.0, min(30.0, float(answer[2]["retry-after"])))
    return 1.0


def job(job_id, crew, pieces, cores, memory_gb, **fields):
    text = {"id": job_id, "lot": "review", "crew": crew, "shape": "array", "rank": "standard", "pieces": pieces,
            "cores": float(cores), "gpus": 0.0, "memory_gb": float(memory_gb), "bundle": "img-01", "pull_gb": 0.1,
            "hulls": None, "berth": None, "one_zone": False, "spread": False, "driftwood": False, "expect_s": 30.0,
            "stow_every_s": 0.0, "stow_s": 0.0, "due_s": None}
    text.update(fields)
    return text


def main(scenario):
    """Runs a scenario, which returns None if the rule held, or a text that says how it was broken."""
    async def run():
        task = asyncio.ensure_future(scenario(os.environ.get("TROUBLE", "1") != "0"))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, 117)
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
            print("could not run: %s" % (error or "out of time"))
            return CannotRun()
    outcome = asyncio.run(run())
    if isinstance(outcome, Exception):
        os._exit(2)
    if outcome:
        print("BROKEN: %s" % outcome)
        os._exit(1)
    print("held")
    os._exit(0)
