//! Measurements of a zone's loss and return in simulated time. They take long and are not part of the suite:
//!
//!     BURLHATCH_SAMPLES=FILE cargo test --release --test rules measure_zones -- --ignored
//!     cargo run -p burlhatch-testbed -- report FILE PAGE

use super::world::{MS, S, SMALL, Size, TIMES, World};
use super::{assert_no_violations, policy_keeping_idle_machines};
use burlhatch::protocol::user::{JobKind, JobState};
use burlhatch::settings::{Policy, ZoneSettings};
use burlhatch::types::JobId;
use burlhatch_testbed::report::Sample;
use std::collections::BTreeMap;
use std::io::Write;

const SERVICES: u64 = 30;
const CUT_DURATION: u64 = 60 * S;
const OBSERVED_SPAN: u64 = 150 * S;
const WAVE_INTERVAL: u64 = 5 * S;

fn cluster_size(machines: usize) -> Size {
    Size {
        nodes: 5,
        machines,
        capacity: machines * 13 / 10,
        write_rps: 50.0,
        zones: &["a", "b", "c"],
        times: TIMES,
        ..SMALL
    }
}

fn variants() -> Vec<(&'static str, ZoneSettings)> {
    let on = ZoneSettings { enabled: true, ..ZoneSettings::default() };
    vec![
        ("off", ZoneSettings::default()),
        ("on", on.clone()),
        ("without order", ZoneSettings { restore_for_ms: 0, ..on.clone() }),
        ("without ramp", ZoneSettings { ramp_initial: 1_000_000, ramp_full: 1_000_000, ..on.clone() }),
        ("without damping", ZoneSettings { penalty_per_loss: 0.0, ..on.clone() }),
        ("without evacuation", ZoneSettings { evacuate: false, ..on }),
    ]
}

/// A run with services in all zones, batch work in waves, and one zone that is cut off for a minute.
struct Run {
    world: World,
    machines: usize,
    services: Vec<JobId>,
    batches: Vec<JobId>,
    next_wave: u64,
}

impl Run {
    fn new(seed: u64, machines: usize, zones: ZoneSettings) -> Run {
        let policy = Policy { zones, ..policy_keeping_idle_machines() };
        let mut world = World::sized(seed, policy, cluster_size(machines));
        world.cloud.never_up = 0;
        let replicas = (machines as u64 / SERVICES).max(2) as u32;
        let mut spec = World::spec(JobKind::Service, "green", replicas, 1.0);
        spec.spread = true;
        let services = (0..SERVICES).map(|n| world.submit(1 + n, spec.clone())).collect();
        let next_wave = world.now + 10 * S;
        Run { world, machines, services, batches: Vec::new(), next_wave }
    }

    fn step(&mut self) {
        if self.world.now >= self.next_wave {
            self.next_wave += WAVE_INTERVAL;
            for _ in 0..10 {
                let number = 1000 + self.batches.len() as u64;
                let mut spec = World::spec(JobKind::Array, "green", (self.machines / 20) as u32, 1.0);
                spec.estimated_runtime_s = 20.0;
                spec.image = format!("batch-{}", number % 7);
                let id = self.world.submit(number, spec);
                self.batches.push(id);
            }
        }
        self.world.run_for(250 * MS);
    }

    fn replicas_outside(&self, zone: &str) -> BTreeMap<JobId, usize> {
        let mut counts = BTreeMap::new();
        for agent in self.world.agents.values().filter(|agent| agent.zone != zone) {
            for (job, _) in agent.tasks.keys() {
                *counts.entry(job.clone()).or_default() += 1;
            }
        }
        counts
    }

    fn measure(mut self, record: &mut dyn FnMut(&str, Option<u64>)) {
        while self.world.now < 45 * S {
            self.step();
        }
        self.world.cut_zone("a", CUT_DURATION, true);
        let (began, starts) = (self.world.now, self.world.started);
        let replica_count = self.world.jobs[&self.services[0]].spec.tasks as usize;
        let mut restored: BTreeMap<JobId, u64> = BTreeMap::new();
        let (mut fetch_queue, mut most_changes, mut second) = (0, 0, (began, self.world.changes()));
        while self.world.now < began + OBSERVED_SPAN {
            self.step();
            let span = self.world.now - began;
            if span <= CUT_DURATION && restored.len() < self.services.len() {
                let outside = self.replicas_outside("a");
                for id in self.services.iter().filter(|id| outside.get(id) == Some(&replica_count)) {
                    restored.entry(id.clone()).or_insert(span);
                }
            }
            fetch_queue = fetch_queue.max(self.world.longest_fetch_queue());
            if self.world.now >= second.0 + S {
                most_changes = most_changes.max(self.world.changes() - second.1);
                second = (self.world.now, self.world.changes());
            }
        }
        assert_no_violations(&self.world, "measured");
        for id in &self.services {
            record("service whole outside the zone, ms after the cut", restored.get(id).map(|span| span / MS));
        }
        let done =
            self.batches.iter().filter(|id| self.world.jobs[*id].reported_outcome == Some(JobState::Done)).count();
        record("batch jobs done by the end", Some(done as u64));
        record("starts after the cut", Some(self.world.started - starts));
        record("longest fetch queue of a machine, images", Some(fetch_queue as u64));
        record("most changes in a second, of 50", Some(most_changes));
    }
}

#[test]
#[ignore = "a measurement: takes minutes to hours"]
fn measure_zones() {
    let number =
        |name: &str, default: u64| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default);
    let path = std::env::var("BURLHATCH_SAMPLES").expect("BURLHATCH_SAMPLES names a file");
    let machines = number("BURLHATCH_MACHINES", 60) as usize;
    let first = number("BURLHATCH_FIRST_SEED", 0);
    let only = std::env::var("BURLHATCH_VARIANT").ok();
    let mut file = std::fs::File::options().append(true).create(true).open(path).expect("the file");
    for seed in first..first + number("BURLHATCH_SEEDS", 20) {
        for (variant, zones) in
            variants().into_iter().filter(|(name, _)| only.as_deref().is_none_or(|only| only == *name))
        {
            let mut samples = Vec::new();
            Run::new(200_000 + seed, machines, zones).measure(&mut |figure, value| {
                samples.push(Sample {
                    figure: figure.into(),
                    scenario: format!("{machines} machines, a third cut off for 60 s"),
                    variant: variant.into(),
                    seed,
                    value,
                });
            });
            for sample in samples {
                writeln!(file, "{}", serde_json::to_string(&sample).expect("plain data")).expect("written");
            }
        }
    }
}
