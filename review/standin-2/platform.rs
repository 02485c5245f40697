//! Workers, the cloud, the controllers' processes and the users' load balancer.

use crate::wire::{Answer, Reply, Request, V, call, map, serve};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Everything that was sent, answered and run, in `record.txt`.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
    pub starts: Mutex<Vec<(f64, String, String)>>,
    pub ends: Mutex<Vec<(f64, String, String, String)>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Record> {
        let file = Mutex::new(File::create(path)?);
        Ok(Record { began: Instant::now(), file, starts: Mutex::default(), ends: Mutex::default() })
    }
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} {text}", self.now());
    }
}

/// A job as the workers know it.
#[derive(Clone)]
pub struct Job {
    pub cores: f64,
    pub memory_gb: f64,
    pub bundle: String,
    pub pull_gb: f64,
    /// None: runs until it is stopped.
    pub runs_s: Option<f64>,
}

#[derive(Clone, Copy)]
pub struct Timing {
    pub report_s: f64,
    pub lease_s: f64,
}

/// What all workers share.
pub struct World {
    pub record: Arc<Record>,
    pub timing: Timing,
    pub nodes: Vec<(String, SocketAddr)>,
    pub jobs: Mutex<BTreeMap<String, Job>>,
    seed: AtomicU64,
}

impl World {
    pub fn new(record: Arc<Record>, timing: Timing, nodes: Vec<(String, SocketAddr)>) -> Arc<World> {
        Arc::new(World { record, timing, nodes, jobs: Mutex::default(), seed: AtomicU64::new(88172645463325252) })
    }
    /// A number from 0 to 1.
    pub fn random(&self) -> f64 {
        let mut x = self.seed.load(Ordering::SeqCst);
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.seed.store(x, Ordering::SeqCst);
        (x >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[derive(Clone, Debug)]
pub struct MachineType {
    pub sku: &'static str,
    pub cores: f64,
    pub memory_gb: f64,
    pub cache_gb: f64,
    pub pull_gb_per_s: f64,
    pub hourly: f64,
    pub market: f64,
    pub startup_s: f64,
}

struct Task {
    try_: u64,
    status: &'static str,
    due: Option<Instant>,
    cores: f64,
    memory_gb: f64,
}

struct Inside {
    watch: u64,
    tally: u64,
    helm: u64,
    lease_from: Instant,
    tasks: BTreeMap<String, Task>,
    ended: BTreeMap<(String, u64), &'static str>,
    images: BTreeMap<String, Instant>,
    changed: bool,
}

pub struct Worker {
    pub host: String,
    kind: MachineType,
    berth: String,
    driftwood: bool,
    pub gone: Arc<AtomicBool>,
    world: Arc<World>,
    inside: Mutex<Inside>,
}

impl Worker {
    pub fn start(host: &str, kind: &MachineType, berth: &str, driftwood: bool, world: Arc<World>) -> Arc<Worker> {
        let inside = Inside {
            watch: 1,
            tally: 0,
            helm: 0,
            lease_from: Instant::now(),
            tasks: BTreeMap::new(),
            ended: BTreeMap::new(),
            images: BTreeMap::new(),
            changed: false,
        };
        let worker = Arc::new(Worker {
            host: host.into(),
            kind: kind.clone(),
            berth: berth.into(),
            driftwood,
            gone: Arc::default(),
            world,
            inside: Mutex::new(inside),
        });
        let served = worker.clone();
        let address = serve(worker.gone.clone(), Arc::new(move |request| served.orders(&request))).unwrap();
        let ticking = worker.clone();
        std::thread::spawn(move || {
            while !ticking.gone.load(Ordering::SeqCst) {
                ticking.tick();
                std::thread::sleep(secs(0.03));
            }
        });
        let reporting = worker.clone();
        std::thread::spawn(move || reporting.report_loop(&address.to_string()));
        worker
    }

    /// The machine and everything on it is gone, without a word.
    pub fn vanish(&self, why: &str) {
        self.gone.store(true, Ordering::SeqCst);
        let mut inside = self.inside.lock().unwrap();
        self.world.record.line(&format!("machine {} gone ({why}) with {} tasks", self.host, inside.tasks.len()));
        self.kill_all(&mut inside, why);
    }

    pub fn pieces(&self) -> Vec<String> {
        self.inside.lock().unwrap().tasks.keys().cloned().collect()
    }

    /// Whether a controller has accepted the worker's reports.
    pub fn is_taken_on(&self) -> bool {
        self.inside.lock().unwrap().helm > 0
    }

    pub fn free_cores(&self) -> f64 {
        self.kind.cores - self.inside.lock().unwrap().tasks.values().map(|task| task.cores).sum::<f64>()
    }

    fn kill_all(&self, inside: &mut Inside, why: &str) {
        for (piece, task) in std::mem::take(&mut inside.tasks) {
            if task.status != "pulling" {
                self.left(&piece, why);
            }
        }
        inside.ended.clear();
    }

    fn left(&self, piece: &str, why: &str) {
        let at = self.world.record.now();
        self.world.record.ends.lock().unwrap().push((at, self.host.clone(), piece.into(), why.into()));
    }

    fn report(&self, inside: &mut Inside, address: &str) -> V {
        inside.tally += 1;
        let mut pieces: Vec<V> = Vec::new();
        for (piece, task) in &inside.tasks {
            pieces.push(map([
                ("piece", piece.as_str().into()),
                ("try", task.try_.into()),
                ("status", task.status.into()),
            ]));
        }
        for ((piece, try_), cause) in &inside.ended {
            pieces.push(map([
                ("piece", piece.as_str().into()),
                ("try", (*try_).into()),
                ("status", "ended".into()),
                ("cause", (*cause).into()),
            ]));
        }
        map([
            ("host", self.host.as_str().into()),
            ("addr", address.into()),
            ("hull", self.kind.sku.into()),
            ("berth", self.berth.as_str().into()),
            ("driftwood", self.driftwood.into()),
            ("watch", inside.watch.into()),
            ("tally", inside.tally.into()),
            ("helm", inside.helm.into()),
            ("warning_s", V::Null),
            ("pieces", pieces.into()),
        ])
    }

    fn saw(&self, inside: &mut Inside, helm: u64) {
        if helm > inside.helm {
            inside.helm = helm;
            inside.changed = true;
        }
    }

    fn orders(&self, request: &Request) -> Reply {
        let mut inside = self.inside.lock().unwrap();
        if request.path == "/show" {
            return Some((200, self.report(&mut inside, "")));
        }
        let body = request.body.clone().unwrap_or(V::Null);
        let (Some(helm), Some(watch)) = (body.get("helm").u(), body.get("watch").u()) else {
            return Some((400, map([("error", "helm or watch is missing".into())])));
        };
        if helm < inside.helm || watch != inside.watch {
            let report = self.report(&mut inside, "");
            return Some((409, without_address(report)));
        }
        self.saw(&mut inside, helm);
        self.carry_out(&mut inside, body.get("orders").list());
        let report = self.report(&mut inside, "");
        Some((200, without_address(report)))
    }

    fn carry_out(&self, inside: &mut Inside, orders: &[V]) {
        for order in orders {
            let (piece, try_) = (order.get("piece").s().to_string(), order.get("try").u().unwrap_or(0));
            match order.get("verb").s() {
                "launch" => self.launch(inside, piece, try_),
                "stop" => {
                    if inside.tasks.get(&piece).is_some_and(|task| task.try_ == try_) {
                        self.end(inside, &piece, "halted");
                    }
                }
                "reap" => drop(inside.ended.remove(&(piece, try_))),
                _ => {}
            }
        }
    }

    fn launch(&self, inside: &mut Inside, piece: String, try_: u64) {
        let held = inside.tasks.get(&piece).map(|task| task.try_);
        if held == Some(try_) || inside.ended.contains_key(&(piece.clone(), try_)) {
            return;
        }
        inside.changed = true;
        let job = piece.rsplit_once('/').and_then(|(id, _)| self.world.jobs.lock().unwrap().get(id).cloned());
        let Some(job) = job else {
            inside.ended.insert((piece, try_), "unknown");
            return;
        };
        if held.is_some() {
            inside.ended.insert((piece, try_), "busy");
            return;
        }
        let cores: f64 = inside.tasks.values().map(|task| task.cores).sum();
        let memory: f64 = inside.tasks.values().map(|task| task.memory_gb).sum();
        if cores + job.cores > self.kind.cores + 1e-6 || memory + job.memory_gb > self.kind.memory_gb + 1e-6 {
            inside.ended.insert((piece, try_), "no_room");
            return;
        }
        let fetched = Instant::now() + secs(job.pull_gb / self.kind.pull_gb_per_s);
        let ready = *inside.images.entry(job.bundle.clone()).or_insert(fetched);
        let task = Task { try_, status: "pulling", due: Some(ready), cores: job.cores, memory_gb: job.memory_gb };
        inside.tasks.insert(piece, task);
    }

    fn end(&self, inside: &mut Inside, piece: &str, cause: &'static str) {
        let Some(task) = inside.tasks.remove(piece) else { return };
        if task.status != "pulling" {
            self.left(piece, cause);
        }
        inside.ended.insert((piece.into(), task.try_), cause);
        inside.changed = true;
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut inside = self.inside.lock().unwrap();
        if now.duration_since(inside.lease_from) > secs(self.world.timing.lease_s) {
            let count = inside.tasks.len();
            self.kill_all(&mut inside, "lease ended");
            inside.watch += 1;
            inside.lease_from = now;
            inside.changed = true;
            self.world
                .record
                .line(&format!("worker {} lease ended, {count} tasks killed, session {}", self.host, inside.watch));
        }
        let due: Vec<String> =
            inside.tasks.iter().filter(|(_, t)| t.due.is_some_and(|at| at <= now)).map(|(p, _)| p.clone()).collect();
        for piece in due {
            if inside.tasks[&piece].status == "running" {
                self.end(&mut inside, &piece, "done");
                continue;
            }
            let id = piece.rsplit_once('/').map_or("", |(id, _)| id).to_string();
            let Some(job) = self.world.jobs.lock().unwrap().get(&id).cloned() else { continue };
            let runs_s = job.runs_s;
            if let Some(task) = inside.tasks.get_mut(&piece) {
                task.status = "running";
                task.due = runs_s.map(|s| now + secs(s));
            }
            inside.changed = true;
            let at = self.world.record.now();
            self.world.record.starts.lock().unwrap().push((at, self.host.clone(), piece));
        }
    }

    fn report_loop(&self, address: &str) {
        let nodes = &self.world.nodes;
        let mut to = (self.world.random() * nodes.len() as f64) as usize % nodes.len();
        let mut noted = 0;
        while !self.gone.load(Ordering::SeqCst) {
            let sent = Instant::now();
            let (body, watch) = {
                let mut inside = self.inside.lock().unwrap();
                inside.changed = false;
                (self.report(&mut inside, address), inside.watch)
            };
            let answer = call(nodes[to].1, "POST", "/checkin", Some(&body), secs(4.0));
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            if status != 200 && status != 421 && noted < 200 {
                noted += 1;
                let size = body.json().len();
                let why = answer.as_ref().map_or_else(Clone::clone, |answer| answer.body.json());
                self.world.record.line(&format!(
                    "report of {} ({size} bytes as JSON) to {}: {status} {why}",
                    self.host, nodes[to].0
                ));
            }
            let pause = match answer {
                Ok(Answer { status: 200, body, .. }) => {
                    let mut inside = self.inside.lock().unwrap();
                    let helm = body.get("helm").u().unwrap_or(0);
                    if helm >= inside.helm && helm > 0 && watch == inside.watch && !self.gone.load(Ordering::SeqCst) {
                        self.saw(&mut inside, helm);
                        inside.lease_from = inside.lease_from.max(sent);
                        self.carry_out(&mut inside, body.get("orders").list());
                    }
                    self.world.timing.report_s * (0.75 + 0.5 * self.world.random())
                }
                Ok(Answer { status: 421, body, .. }) => {
                    let named = nodes.iter().position(|(label, _)| label == body.get("harbour").s());
                    match named.filter(|n| *n != to) {
                        Some(n) => {
                            to = n;
                            0.5 * self.world.random()
                        }
                        None => {
                            to = (to + 1) % nodes.len();
                            1.0
                        }
                    }
                }
                _ => {
                    to = (to + 1) % nodes.len();
                    1.0
                }
            };
            let began = Instant::now();
            while began.elapsed() < secs(pause) {
                std::thread::sleep(secs(0.02));
                let is_early = status == 200 && sent.elapsed() >= secs(0.5);
                if is_early && self.inside.lock().unwrap().changed {
                    break;
                }
            }
        }
    }
}

fn without_address(report: V) -> V {
    match report {
        V::M(fields) => V::M(fields.into_iter().filter(|(name, _)| name != "addr").collect()),
        other => other,
    }
}

struct Machine {
    kind: usize,
    berth: String,
    driftwood: bool,
    requested: Instant,
    up_at: Instant,
    worker: Option<Arc<Worker>>,
}

struct Rented {
    machines: BTreeMap<String, Machine>,
    charters: BTreeMap<String, Vec<String>>,
    lists: VecDeque<(Instant, Vec<V>)>,
    last: u64,
    level: f64,
    level_at: Instant,
}

pub struct Cloud {
    pub types: Vec<MachineType>,
    berths: Vec<String>,
    world: Arc<World>,
    rented: Mutex<Rented>,
    rps: f64,
    lag_s: f64,
    /// Machines that may exist at once.
    pub room: usize,
}

impl Cloud {
    pub fn new(
        types: Vec<MachineType>,
        berths: &[&str],
        rps: f64,
        lag_s: f64,
        room: usize,
        world: Arc<World>,
    ) -> Arc<Cloud> {
        let rented = Rented {
            machines: BTreeMap::new(),
            charters: BTreeMap::new(),
            lists: VecDeque::new(),
            last: 0,
            level: 2.0 * rps,
            level_at: Instant::now(),
        };
        let berths = berths.iter().map(|berth| (*berth).to_string()).collect();
        Arc::new(Cloud { types, berths, world, rented: Mutex::new(rented), rps, lag_s, room })
    }

    /// Adds machines that are up already, or come up after `startup_s`.
    pub fn add(&self, sku: &str, berth: &str, driftwood: bool, count: usize, startup_s: f64) -> Vec<String> {
        let mut rented = self.rented.lock().unwrap();
        let kind = self.types.iter().position(|kind| kind.sku == sku).unwrap();
        let mut names = Vec::new();
        for _ in 0..count.min(self.room.saturating_sub(rented.machines.len())) {
            rented.last += 1;
            let name = format!("m-{:06}", rented.last);
            let (requested, up_at) = (Instant::now(), Instant::now() + secs(startup_s));
            let machine = Machine { kind, berth: berth.into(), driftwood, requested, up_at, worker: None };
            rented.machines.insert(name.clone(), machine);
            names.push(name);
        }
        names
    }

    pub fn tick(&self) {
        let mut rented = self.rented.lock().unwrap();
        let now = Instant::now();
        for (name, machine) in &mut rented.machines {
            if machine.worker.is_none() && machine.up_at <= now {
                let kind = &self.types[machine.kind];
                self.world.record.line(&format!(
                    "machine {name} ({}, {}, spot: {}) is up",
                    kind.sku, machine.berth, machine.driftwood
                ));
                machine.worker = Some(Worker::start(name, kind, &machine.berth, machine.driftwood, self.world.clone()));
            }
        }
        let list: Vec<V> = rented
            .machines
            .iter()
            .map(|(name, machine)| {
                map([
                    ("id", name.as_str().into()),
                    ("addr", V::Null),
                    ("hull", self.types[machine.kind].sku.into()),
                    ("berth", machine.berth.as_str().into()),
                    ("driftwood", machine.driftwood.into()),
                    ("status", if machine.worker.is_some() { "running" } else { "starting" }.into()),
                    ("held_s", machine.requested.elapsed().as_secs_f64().into()),
                ])
            })
            .collect();
        rented.lists.push_back((now, list));
        while rented.lists.len() > 2 && now.duration_since(rented.lists[1].0) > secs(self.lag_s) {
            rented.lists.pop_front();
        }
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.rented.lock().unwrap().machines.values().filter_map(|machine| machine.worker.clone()).collect()
    }

    /// The cloud takes a spot machine back without notice.
    pub fn take_back(&self, host: &str) {
        let machine = self.rented.lock().unwrap().machines.remove(host);
        if let Some(worker) = machine.and_then(|machine| machine.worker) {
            worker.vanish("taken back by the cloud");
        }
    }

    pub fn handle(&self, request: Request) -> Reply {
        {
            let mut rented = self.rented.lock().unwrap();
            let added = rented.level_at.elapsed().as_secs_f64() * self.rps;
            rented.level = (rented.level + added).min(2.0 * self.rps);
            rented.level_at = Instant::now();
            if rented.level < 1.0 {
                return Some((429, map([("error", "too many requests".into())])));
            }
            rented.level -= 1.0;
        }
        let body = request.body.clone().unwrap_or(V::Null);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/flavors") => {
                let berths: Vec<V> = self.berths.iter().map(|berth| berth.as_str().into()).collect();
                let hulls: Vec<V> = self
                    .types
                    .iter()
                    .map(|kind| {
                        map([
                            ("sku", kind.sku.into()),
                            ("cores", kind.cores.into()),
                            ("gpus", 0.0.into()),
                            ("memory_gb", kind.memory_gb.into()),
                            ("cache_gb", kind.cache_gb.into()),
                            ("pull_gb_per_s", kind.pull_gb_per_s.into()),
                            ("hourly", kind.hourly.into()),
                            ("market_price", kind.market.into()),
                            ("startup_s", kind.startup_s.into()),
                            ("berths", berths.clone().into()),
                        ])
                    })
                    .collect();
                Some((200, map([("hulls", hulls.into())])))
            }
            ("GET", "/rentals") => {
                let rented = self.rented.lock().unwrap();
                let list = rented.lists.front().map(|(_, list)| list.clone()).unwrap_or_default();
                let hosts: Vec<V> =
                    list.into_iter().filter(|host| host.get("id").s() > request.text("after")).collect();
                Some((200, map([("hosts", hosts.into()), ("more", false.into())])))
            }
            ("POST", "/rentals") => {
                let charter = body.get("charter").s().to_string();
                let known = self.rented.lock().unwrap().charters.get(&charter).cloned();
                let hosts = known.unwrap_or_else(|| {
                    let sku = body.get("hull").s();
                    let startup = self.types.iter().find(|kind| kind.sku == sku).map_or(30.0, |kind| kind.startup_s);
                    let startup = startup * (0.6 + 0.4 * self.world.random());
                    let count = body.get("number").u().unwrap_or(0).min(50) as usize;
                    self.add(sku, body.get("berth").s(), body.get("driftwood") == &V::Bool(true), count, startup)
                });
                self.world.record.line(&format!("rental {}: {hosts:?}", body.json()));
                if hosts.is_empty() {
                    return Some((503, map([("error", "no capacity".into())])));
                }
                self.rented.lock().unwrap().charters.insert(charter, hosts.clone());
                Some((200, map([("hosts", hosts.into_iter().map(V::from).collect::<Vec<V>>().into())])))
            }
            ("POST", "/rentals/delete") => {
                self.world.record.line(&format!("deletion {}", body.json()));
                for host in body.get("hosts").list() {
                    let machine = self.rented.lock().unwrap().machines.remove(host.s());
                    if let Some(worker) = machine.and_then(|machine| machine.worker) {
                        worker.vanish("deleted");
                    }
                }
                Some((200, map([])))
            }
            _ => Some((404, map([("error", "unknown".into())]))),
        }
    }
}

/// A port of 127.0.0.1 that is free now. It is outside of the range from which the system takes the ports of outgoing
/// connections, and processes begin their search at different ports.
pub fn free_port() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let n = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 20_000 + (u64::from(std::process::id()) * 97 + n) % 10_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if n > 10_000 || TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub struct Node {
    pub label: String,
    settings: PathBuf,
    pub public: SocketAddr,
    process: Mutex<Option<Child>>,
}

/// The controllers' processes, started by the `run` of the deploy file. Dropping this ends them.
pub struct Nodes {
    pub nodes: Vec<Node>,
    command: Vec<String>,
    root: PathBuf,
    folder: PathBuf,
    record: Arc<Record>,
}

impl Nodes {
    pub fn new(root: &Path, folder: &Path, record: Arc<Record>, labels: &[(String, SocketAddr, String)]) -> Nodes {
        let deploy = std::fs::read_to_string(root.join("deploy/service.toml")).unwrap();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).unwrap().trim_matches('"').to_string();
        let command = run.split(' ').map(str::to_string).collect();
        let nodes = labels
            .iter()
            .map(|(label, public, text)| {
                let settings = folder.join(format!("{label}.toml"));
                std::fs::write(&settings, text).unwrap();
                Node { label: label.clone(), settings, public: *public, process: Mutex::new(None) }
            })
            .collect();
        Nodes { nodes, command, root: root.into(), folder: folder.into(), record }
    }

    pub fn start(&self, n: usize) {
        let node = &self.nodes[n];
        let log =
            File::options().append(true).create(true).open(self.folder.join(format!("{}.log", node.label))).unwrap();
        let child = Command::new(self.root.join(&self.command[0]))
            .args(&self.command[1..])
            .arg(&node.settings)
            .current_dir(&self.folder)
            .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        self.record.line(&format!("{} started, process {}", node.label, child.id()));
        // run.sh ends what is listed here, should this program be ended first.
        if let Ok(mut pids) = File::options().append(true).create(true).open(self.folder.join("pids")) {
            let _ = writeln!(pids, "{}", child.id());
        }
        *node.process.lock().unwrap() = Some(child);
    }

    pub fn kill(&self, n: usize, why: &str) {
        if let Some(mut child) = self.nodes[n].process.lock().unwrap().take() {
            let _ = (child.kill(), child.wait());
            self.record.line(&format!("{} killed: {why}", self.nodes[n].label));
        }
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&self, n: usize) -> bool {
        self.nodes[n].process.lock().unwrap().as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Resident memory of a process in MB.
    pub fn memory_mb(&self, n: usize) -> f64 {
        let id = self.nodes[n].process.lock().unwrap().as_ref().map(Child::id);
        let status = id.and_then(|id| std::fs::read_to_string(format!("/proc/{id}/status")).ok()).unwrap_or_default();
        let kb = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        kb.and_then(|text| text.trim().trim_end_matches(" kB").trim().parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for n in 0..self.nodes.len() {
            self.kill(n, "end of the run");
        }
    }
}

/// The users' load balancer: probes the nodes and names a healthy one for each connection.
pub struct Balancer {
    nodes: Vec<SocketAddr>,
    healthy: Mutex<BTreeSet<usize>>,
    next: AtomicU64,
}

impl Balancer {
    pub fn start(nodes: Vec<SocketAddr>) -> Arc<Balancer> {
        let balancer = Arc::new(Balancer { nodes, healthy: Mutex::default(), next: AtomicU64::new(0) });
        for n in 0..balancer.nodes.len() {
            let balancer = balancer.clone();
            std::thread::spawn(move || {
                let (mut good, mut bad, mut was_healthy) = (0, 0, false);
                loop {
                    let answer = call(balancer.nodes[n], "GET", "/healthz", None, secs(1.0));
                    if answer.is_ok_and(|answer| answer.status == 200) {
                        (good, bad) = (good + 1, 0);
                    } else {
                        (good, bad) = (0, bad + 1);
                    }
                    let mut healthy = balancer.healthy.lock().unwrap();
                    if bad >= 2 {
                        healthy.remove(&n);
                    } else if good >= if was_healthy { 4 } else { 1 } {
                        was_healthy = true;
                        healthy.insert(n);
                    }
                    drop(healthy);
                    std::thread::sleep(secs(1.0));
                }
            });
        }
        balancer
    }

    pub fn healthy(&self) -> Vec<usize> {
        self.healthy.lock().unwrap().iter().copied().collect()
    }

    /// One request of a user. Without any healthy node there is no connection.
    pub fn call(&self, method: &str, path: &str, body: Option<&V>, limit_s: f64) -> Result<Answer, String> {
        let healthy = self.healthy();
        if healthy.is_empty() {
            return Err("no healthy node".into());
        }
        let n = healthy[self.next.fetch_add(1, Ordering::SeqCst) as usize % healthy.len()];
        call(self.nodes[n], method, path, body, secs(limit_s))
    }
}
