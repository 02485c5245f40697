//! The stand-ins of the second review, and its cases: state service, cloud, workers, users and load balancer, all on
//! 127.0.0.1, around the project's own controllers. Usage: standin CASE RECORD_FOLDER ROOT TEMPORARY_FOLDER

mod cases;
mod platform;
mod state;
mod wire;

use platform::{Balancer, Cloud, Job, MachineType, Nodes, Record, Timing, World, free_port, secs};
use state::State;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use wire::{V, map, serve};

/// A small deployment: settings as on the pages of the first two sites.
pub struct Site {
    pub name: &'static str,
    pub berths: Vec<&'static str>,
    pub teams: Vec<(&'static str, f64, f64)>,
    pub timing: Timing,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub fd_limit: u64,
    pub types: Vec<MachineType>,
}

pub fn familiealbum() -> Site {
    let lille = MachineType {
        sku: "kasse-lille",
        cores: 16.0,
        memory_gb: 128.0,
        cache_gb: 35.0,
        pull_gb_per_s: 0.6,
        hourly: 1.24,
        market: 0.54,
        startup_s: 35.0,
    };
    let stor = MachineType {
        sku: "kasse-stor",
        cores: 64.0,
        memory_gb: 256.0,
        cache_gb: 50.0,
        pull_gb_per_s: 0.4,
        hourly: 4.03,
        market: 1.76,
        startup_s: 35.0,
    };
    Site {
        name: "familiealbum",
        berths: vec!["aarhus"],
        teams: vec![("drift", 0.0, 0.0), ("app-holdet", 0.0, 0.0)],
        timing: Timing { report_s: 3.0, lease_s: 22.0 },
        cancel_s: 47.0,
        rps: 250.0,
        write_rps: 25.0,
        value_kb: 4,
        cloud_rps: 8.0,
        list_lag_s: 8.0,
        fd_limit: 2500,
        types: vec![lille, stor],
    }
}

pub struct Run {
    pub record: Arc<Record>,
    pub world: Arc<World>,
    pub cloud: Arc<Cloud>,
    pub nodes: Arc<Nodes>,
    pub users: Arc<Balancer>,
    pub trouble: bool,
}

impl Run {
    /// Starts all stand-ins. The controllers are started by the case.
    fn new(site: &Site, room: usize, record_folder: &Path, root: &Path, folder: &Path) -> Run {
        let record = Arc::new(Record::new(&record_folder.join("record.txt")).unwrap());
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record.line(&format!("deployment like {}, disruption: {}", site.name, if trouble { "yes" } else { "no" }));
        let count = 3;
        let labels: Vec<String> = (0..count).map(|n| format!("node-{n}")).collect();
        let public: Vec<_> = (0..count).map(|_| free_port()).collect();
        let back: Vec<_> = (0..count).map(|_| free_port()).collect();
        let world =
            World::new(record.clone(), site.timing, labels.iter().cloned().zip(public.iter().copied()).collect());
        let state = Arc::new(State::new(site.rps, site.write_rps, site.value_kb, 12));
        let cloud = Cloud::new(site.types.clone(), &site.berths, site.cloud_rps, site.list_lag_s, room, world.clone());
        let (serving_state, serving_cloud) = (state.clone(), cloud.clone());
        let open = || Arc::new(AtomicBool::new(false));
        let state_at = serve(open(), Arc::new(move |request| serving_state.handle(request))).unwrap();
        let cloud_at = serve(open(), Arc::new(move |request| serving_cloud.handle(request))).unwrap();
        let (ticking_state, ticking_cloud) = (state, cloud.clone());
        std::thread::spawn(move || {
            loop {
                ticking_state.tick();
                std::thread::sleep(secs(0.02));
            }
        });
        std::thread::spawn(move || {
            loop {
                ticking_cloud.tick();
                std::thread::sleep(secs(0.1));
            }
        });
        let settings: Vec<_> = (0..count)
            .map(|n| {
                let mut text = format!(
                    "label = \"{}\"\nsite = \"{}\"\npublic_addr = \"{}\"\nback = \"{}\"\n\n",
                    labels[n],
                    site.berths[n % site.berths.len()],
                    public[n],
                    back[n]
                );
                for other in (0..count).filter(|other| *other != n) {
                    let berth = site.berths[other % site.berths.len()];
                    text += &format!("[[siblings]]\nlabel = \"{}\"\nsite = \"{berth}\"\naddress = \"{}\"\n\n", labels[other], back[other]);
                }
                text += &format!("[external]\ncloud = \"{cloud_at}\"\nstate = \"{state_at}\"\n\n");
                text += &format!("[deployment]\nnodes = {count}\nzones = {:?}\ntime_bound_ms = 25.0\n\n", site.berths);
                for (name, cpus, cpus_max) in &site.teams {
                    text += &format!(
                        "[[deployment.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {cpus_max:?}\ngpus = 0.0\ngpus_max = 0.0\n\n"
                    );
                }
                text += &format!(
                    "[deployment.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = {:?}\n\n",
                    site.timing.report_s, site.timing.lease_s, site.cancel_s
                );
                text += &format!(
                    "[deployment.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {}.0\ntxn_ops = 12\n\n",
                    site.rps, site.write_rps, site.value_kb
                );
                text += &format!("[deployment.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n", site.cloud_rps, site.list_lag_s);
                text += &format!("[deployment.quota]\ncpu = 0.32\nmem_mb = 136.0\nfd_limit = {}\n", site.fd_limit);
                (labels[n].clone(), public[n], text)
            })
            .collect();
        let nodes = Arc::new(Nodes::new(root, folder, record.clone(), &settings));
        Run { record, world, cloud, nodes, users: Balancer::start(public), trouble }
    }

    /// Starts all controllers and waits until the load balancer finds them healthy.
    pub fn start_nodes(&self) -> Result<(), String> {
        (0..self.nodes.nodes.len()).for_each(|n| self.nodes.start(n));
        self.wait("all controllers to be healthy", 20.0, || self.users.healthy().len() == self.nodes.nodes.len())
    }

    /// Waits until the controllers have accepted reports of this number of workers.
    pub fn wait_for_workers(&self, count: usize) -> Result<(), String> {
        let all_taken_on = || {
            let workers = self.cloud.workers();
            workers.len() == count && workers.iter().all(|worker| worker.is_taken_on())
        };
        self.wait("the workers to be taken on", 15.0, all_taken_on)?;
        self.sleep(1.0);
        Ok(())
    }

    /// Waits for a condition without which the case can't run.
    pub fn wait(&self, what: &str, limit_s: f64, holds: impl Fn() -> bool) -> Result<(), String> {
        let until = self.record.now() + limit_s;
        while self.record.now() < until {
            if holds() {
                return Ok(());
            }
            self.sleep(0.05);
        }
        Err(format!("waited {limit_s} s for {what}"))
    }

    pub fn sleep(&self, s: f64) {
        std::thread::sleep(secs(s));
    }

    /// Submits a job as users do: again after each refusal, for 60 s. Returns the status that ended it.
    pub fn submit(&self, id: &str, job: &Job, body: &V) -> Option<u16> {
        self.world.jobs.lock().unwrap().insert(id.into(), job.clone());
        let until = self.record.now() + 60.0;
        while self.record.now() < until {
            let answer = self.users.call("POST", "/api/jobs", Some(body), 5.0);
            let pause = match answer {
                Ok(answer) => {
                    self.record.line(&format!("submission of {id}: {} {}", answer.status, answer.body.json()));
                    if matches!(answer.status, 200 | 201 | 400 | 422) {
                        return Some(answer.status);
                    }
                    answer.retry_after_s.clamp(1, 30) as f64
                }
                Err(error) => {
                    self.record.line(&format!("submission of {id}: {error}"));
                    1.0
                }
            };
            self.sleep(pause);
        }
        None
    }

    /// Asks about a job once. Returns its state, if it was answered.
    pub fn ask(&self, id: &str) -> Option<V> {
        let answer = self.users.call("GET", &format!("/api/jobs/{id}"), None, 2.0);
        let text = match &answer {
            Ok(answer) => format!("{} {}", answer.status, answer.body.json()),
            Err(error) => error.clone(),
        };
        self.record.line(&format!("question about {id}: {text}"));
        answer.ok().filter(|answer| answer.status == 200).map(|answer| answer.body)
    }

    pub fn starts_of(&self, id: &str) -> usize {
        self.world.record.starts.lock().unwrap().iter().filter(|(_, _, piece)| is_of(piece, id)).count()
    }
}

pub fn is_of(piece: &str, id: &str) -> bool {
    piece.rsplit_once('/').is_some_and(|(job, _)| job == id)
}

/// A submission. `expect_s` of None: a service.
#[derive(Clone)]
pub struct Submission<'a> {
    pub id: &'a str,
    pub lot: &'a str,
    pub crew: &'a str,
    pub rank: &'a str,
    pub pieces: u64,
    pub cores: f64,
    pub memory_gb: f64,
    pub bundle: &'a str,
    pub pull_gb: f64,
    pub driftwood: bool,
    pub expect_s: Option<f64>,
    pub due_s: Option<f64>,
    pub awaits: Vec<String>,
}

impl Submission<'_> {
    pub fn job(&self) -> Job {
        Job {
            cores: self.cores,
            memory_gb: self.memory_gb,
            bundle: self.bundle.into(),
            pull_gb: self.pull_gb,
            runs_s: self.expect_s,
        }
    }
    pub fn body(&self) -> V {
        let mut body = map([
            ("id", self.id.into()),
            ("lot", self.lot.into()),
            ("crew", self.crew.into()),
            ("shape", if self.expect_s.is_some() { "array" } else { "daemon" }.into()),
            ("rank", self.rank.into()),
            ("pieces", self.pieces.into()),
            ("cores", self.cores.into()),
            ("gpus", 0.0.into()),
            ("memory_gb", self.memory_gb.into()),
            ("bundle", self.bundle.into()),
            ("pull_gb", self.pull_gb.into()),
            ("hulls", V::Null),
            ("berth", V::Null),
            ("one_zone", false.into()),
            ("spread", false.into()),
            ("driftwood", self.driftwood.into()),
            ("expect_s", self.expect_s.unwrap_or(0.0).into()),
            ("stow_every_s", 0.0.into()),
            ("stow_s", 0.0.into()),
            ("due_s", self.due_s.map_or(V::Null, V::F)),
        ]);
        if let (V::M(fields), false) = (&mut body, self.awaits.is_empty()) {
            let awaits: Vec<V> = self.awaits.iter().map(|id| id.as_str().into()).collect();
            fields.push(("awaits".into(), awaits.into()));
        }
        body
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_folder, root, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD_FOLDER ROOT TEMPORARY_FOLDER");
        std::process::exit(2);
    };
    let (record_folder, root, folder) = (PathBuf::from(record_folder), PathBuf::from(root), PathBuf::from(folder));
    // No run takes longer; run.sh ends the controllers then.
    std::thread::spawn(|| {
        std::thread::sleep(secs(117.0));
        println!("could not run: it took too long");
        std::process::exit(2);
    });
    let outcome = std::panic::catch_unwind(|| cases::run(case, &record_folder, &root, &folder));
    let code = match outcome {
        Ok(Ok((record, broken))) => {
            record.line(if broken { "result: the rule was broken" } else { "result: the rule held" });
            println!("{case}: {}", if broken { "broken" } else { "held" });
            i32::from(broken)
        }
        Ok(Err(error)) => {
            println!("{case}: could not run: {error}");
            2
        }
        Err(_) => 2,
    };
    std::process::exit(code);
}
