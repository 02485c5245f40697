//! The work that propagating urgency through job dependencies takes, by the shape of the dependencies, their estimates
//! and the order in which jobs become known. Guards against review case 5: one deadline at the end of 57 small jobs made
//! every controller exceed its memory, again after each restart.

use burlhatch::coordination::jobs::dependency_graph::{DependencyGraph, Urgency};
use burlhatch::protocol::user::Priority;
use burlhatch::types::{JobId, Micros};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;

const NO_URGENCY: Urgency = Urgency { priority: Priority::Low, due_at: None };
const LAST_URGENCY: Urgency = Urgency { priority: Priority::High, due_at: Some(Micros(1 << 40)) };

/// Jobs in the order of their submission. The last one is urgent.
struct Pipeline {
    name: String,
    jobs: Vec<PipelineJob>,
}

struct PipelineJob {
    depends_on: Vec<usize>,
    duration: Micros,
    own: Urgency,
}

impl Pipeline {
    /// Stages whose jobs depend on all jobs of the stage before, and one last job. `duration` takes a stage and the
    /// position of a job in it.
    fn layered(name: &str, stages: u32, width: usize, duration: impl Fn(u32, usize) -> u64) -> Pipeline {
        let mut jobs = Vec::new();
        let mut before: Vec<usize> = Vec::new();
        for stage in 0..stages {
            let first = jobs.len();
            for position in 0..width {
                let duration = Micros(duration(stage, position));
                jobs.push(PipelineJob { depends_on: before.clone(), duration, own: NO_URGENCY });
            }
            before = (first..jobs.len()).collect();
        }
        jobs.push(PipelineJob { depends_on: before, duration: Micros(1), own: LAST_URGENCY });
        Pipeline { name: name.to_string(), jobs }
    }

    /// Jobs that each depend on some earlier ones, with deadlines and estimates of any size.
    fn random(seed: u64, count: usize) -> Pipeline {
        let mut rng = SmallRng::seed_from_u64(seed);
        let job = |n: usize| {
            let dependency_count = rng.random_range(0..=n.min(8));
            let depends_on: BTreeSet<usize> = (0..dependency_count).map(|_| rng.random_range(0..n)).collect();
            let due_at = rng.random_bool(0.5).then(|| Micros(rng.random_range(1 << 30..1 << 40)));
            let duration = Micros(1 << rng.random_range(0..24));
            let own = Urgency { priority: Priority::Normal, due_at };
            PipelineJob { depends_on: depends_on.into_iter().collect(), duration, own }
        };
        Pipeline { name: format!("random {seed}"), jobs: (0..count).map(job).collect() }
    }

    fn dependency_count(&self) -> usize {
        self.jobs.iter().map(|job| job.depends_on.len()).sum()
    }

    fn id(n: usize) -> JobId {
        JobId::new(&format!("wk-{n:06}"))
    }

    fn add_to(&self, graph: &mut DependencyGraph, n: usize) {
        let job = &self.jobs[n];
        graph.upsert(&Pipeline::id(n), job.own, job.duration);
        for dependency in &job.depends_on {
            let before = &self.jobs[*dependency];
            graph.upsert(&Pipeline::id(*dependency), before.own, before.duration);
            graph.link(&Pipeline::id(n), &Pipeline::id(*dependency));
        }
    }

    /// The urgency of each job: dependents come after their dependencies, so each is final when it is reached.
    fn expected(&self) -> Vec<Urgency> {
        let mut urgencies: Vec<Urgency> = self.jobs.iter().map(|job| job.own).collect();
        for (n, job) in self.jobs.iter().enumerate().rev() {
            let Urgency { priority, due_at } = urgencies[n];
            let required = Urgency { priority, due_at: due_at.map(|due| due - job.duration) };
            for dependency in &job.depends_on {
                urgencies[*dependency] = urgencies[*dependency].max(required);
            }
        }
        urgencies
    }

    /// Propagates once, and checks that no job and no dependency was visited twice.
    fn propagate(&self, graph: &mut DependencyGraph) {
        let propagation = graph.propagate_urgency();
        let raised: BTreeSet<&JobId> = propagation.raised.iter().collect();
        assert_eq!(raised.len(), propagation.raised.len(), "{}: a job was raised twice", self.name);
        assert!(propagation.visited_jobs <= self.jobs.len(), "{}: {} jobs", self.name, propagation.visited_jobs);
        let followed = propagation.followed_dependencies;
        assert!(followed <= self.dependency_count(), "{}: {followed} dependencies followed", self.name);
    }

    fn check_urgencies(&self, graph: &DependencyGraph) {
        for (n, expected) in self.expected().into_iter().enumerate() {
            let urgency = graph.urgency(&Pipeline::id(n)).unwrap_or(self.jobs[n].own);
            assert_eq!(urgency, expected, "{}: job {n}", self.name);
        }
    }
}

fn pipelines() -> Vec<Pipeline> {
    let doubling = |stage: u32, position: usize| 300_000_000 + if position == 0 { 1 << stage } else { 0 };
    let halving = |stage: u32, position: usize| 300_000_000 + if position == 0 { 1 << (17 - stage) } else { 0 };
    let last_is_longest = |stage: u32, position: usize| (position as u64 + 1) << stage;
    let mut pipelines = vec![
        Pipeline::layered("doubling estimates", 18, 2, doubling),
        Pipeline::layered("halving estimates", 18, 2, halving),
        Pipeline::layered("equal estimates", 18, 2, |_, _| 1_000_000),
        Pipeline::layered("three in a stage", 10, 3, last_is_longest),
        Pipeline::layered("wide stages", 12, 40, |stage, position| 1 << ((stage as usize + position) % 30)),
        Pipeline::layered("chain", 3_000, 1, |stage, _| u64::from(stage)),
        Pipeline::layered("one that awaits many", 1, 4_000, |_, position| position as u64),
    ];
    pipelines.extend((0..20).map(|seed| Pipeline::random(seed, 200)));
    pipelines
}

#[test]
fn a_deadline_visits_each_dependency_once_after_all_jobs_are_accepted() {
    for pipeline in pipelines() {
        let mut graph = DependencyGraph::default();
        for n in 0..pipeline.jobs.len() {
            pipeline.add_to(&mut graph, n);
            pipeline.propagate(&mut graph);
        }
        pipeline.check_urgencies(&graph);
    }
}

/// After a restart the jobs are read in the order of their ids, which users choose.
#[test]
fn a_first_reading_in_any_order_visits_each_dependency_once() {
    let mut rng = SmallRng::seed_from_u64(5);
    for pipeline in pipelines() {
        let forward: Vec<usize> = (0..pipeline.jobs.len()).collect();
        let backward: Vec<usize> = forward.iter().rev().copied().collect();
        let mut shuffled = forward.clone();
        shuffled.shuffle(&mut rng);
        for order in [forward, backward, shuffled] {
            let mut graph = DependencyGraph::default();
            for n in order {
                pipeline.add_to(&mut graph, n);
            }
            pipeline.propagate(&mut graph);
            pipeline.check_urgencies(&graph);
            assert_eq!(graph.propagate_urgency().visited_jobs, 0, "{}: nothing has changed since", pipeline.name);
        }
    }
}
