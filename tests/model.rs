//! Compares data structures and decisions with simple, slow reference models.

use burlhatch::coordination::jobs::attempt::{AttemptState, TaskAttempt};
use burlhatch::coordination::jobs::dependency_graph::{DependencyGraph, Urgency};
use burlhatch::coordination::jobs::job_attempts::JobAttempts;
use burlhatch::coordination::jobs::usage::Usage;
use burlhatch::coordination::scheduling::placement::{PlacementCandidate, choose_candidate};
use burlhatch::coordination::store_sync::txn_limits::TxnSize;
use burlhatch::coordination::store_sync::write_budget::WriteBudget;
use burlhatch::protocol::agent::ExitCause;
use burlhatch::protocol::store::{Event, Precondition, Txn, Write};
use burlhatch::protocol::user::{JobKind, JobSpec, Priority};
use burlhatch::storage::Replica;
use burlhatch::storage::schema::{Key, Outcome, RunChunk, TaskAttemptRecord, TaskLoans, from_value, to_value};
use burlhatch::transport::rate_limit::{CallPriority, TokenBucket};
use burlhatch::types::{JobId, MachineId, Micros, Resources, Revision, TaskId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

/// Reference model of the choice of a placement: steps 3 to 5 of the design, by a comparison of all pairs.
fn reference_choice(all: &[PlacementCandidate], slack: u64, margin: u64) -> Option<usize> {
    let order = |i: &usize| (all[*i].ready_after, all[*i].tie_breaker, *i);
    let delay = |c: &PlacementCandidate| c.ready_after.0.saturating_sub(slack);
    let in_time: Vec<usize> = (0..all.len()).filter(|i| delay(&all[*i]) == 0).collect();
    if in_time.is_empty() {
        return (0..all.len()).min_by_key(order);
    }
    // A machine that has the image is chosen unless one without it is ready earlier by at least the margin.
    let is_beaten =
        |h: usize| in_time.iter().any(|o| !all[*o].has_image && all[*o].ready_after.0 + margin <= all[h].ready_after.0);
    let earliest_with_image = in_time.iter().copied().filter(|i| all[*i].has_image).min_by_key(order);
    match earliest_with_image {
        Some(h) if !is_beaten(h) => Some(h),
        _ => in_time.iter().copied().filter(|i| !all[*i].has_image).min_by_key(order),
    }
}

fn candidate() -> impl Strategy<Value = PlacementCandidate> {
    (0u64..40, any::<bool>(), 0u64..3, 0u64..3).prop_map(|(ready, has_image, a, b)| PlacementCandidate {
        ready_after: Micros(ready),
        has_image,
        tie_breaker: (a, b),
    })
}

/// Reference model of a run chunk: the set of its completed tasks.
#[derive(Default)]
struct ChunkModel {
    done: BTreeSet<u32>,
}

#[derive(Clone, Debug)]
enum Change {
    Put(u8, u64),
    Delete(u8),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![(0u8..6, any::<u64>()).prop_map(|(k, v)| Change::Put(k, v >> 12)), (0u8..6).prop_map(Change::Delete)]
}

fn key(k: u8) -> Key {
    Key::RunChunk(JobId::new(&format!("wk-{}", k % 3)), u32::from(k / 3))
}

fn chunk(write_id: u64) -> RunChunk {
    let task_attempts = vec![TaskAttemptRecord { task: 1, attempt: 2, machine: MachineId::new("m-1"), incarnation: 3 }];
    RunChunk { last_attempt: 2, done_ranges: vec![(4, 5)], task_attempts, write_id }
}

fn event(change: &Change, version: u64) -> Event {
    match change {
        Change::Put(k, v) => {
            Event { put: Some(key(*k).to_string()), delete: None, value: Some(to_value(&chunk(*v))), version }
        }
        Change::Delete(k) => Event { put: None, delete: Some(key(*k).to_string()), value: None, version },
    }
}

proptest! {
    // The same cases in each run.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn placement_follows_the_order_of_the_design(
        all in proptest::collection::vec(candidate(), 0..8),
        slack in 0u64..40,
        margin in 0u64..20,
    ) {
        prop_assert_eq!(choose_candidate(&all, Micros(slack), Micros(margin)), reference_choice(&all, slack, margin));
    }

    /// Guards against completed tasks that are lost or counted twice when ranges merge.
    #[test]
    fn a_run_chunk_counts_done_tasks_like_a_set(tasks in proptest::collection::vec(0u32..64, 0..80)) {
        let mut real = RunChunk::default();
        let mut model = ChunkModel::default();
        for task in tasks {
            real.mark_done(task);
            model.done.insert(task);
            prop_assert_eq!(real.done_count() as usize, model.done.len());
        }
        for task in 0..64 {
            prop_assert_eq!(real.is_done(task), model.done.contains(&task));
        }
        // Adjacent ranges are merged.
        prop_assert!(real.done_ranges.windows(2).all(|w| w[0].1 + 1 < w[1].0));
    }

    /// Guards against a replica that diverges from the store because own commits were applied before the watch returned
    /// them, or because changes arrived in overlapping responses.
    #[test]
    fn the_replica_converges_to_a_sequential_store(
        changes in proptest::collection::vec((change(), any::<bool>()), 1..40),
        cuts in proptest::collection::vec((0usize..40, 0usize..40), 1..12),
    ) {
        let mut model: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        let mut log = Vec::new();
        for (i, (change, _)) in changes.iter().enumerate() {
            let version = i as u64 + 1;
            match change {
                Change::Put(k, v) => {
                    model.insert(key(*k).to_string(), (*v, version));
                }
                Change::Delete(k) => {
                    model.remove(&key(*k).to_string());
                }
            }
            log.push(event(change, version));
        }
        let mut replica = Replica::default();
        let mut own = 0;
        for (from, to) in cuts.into_iter().chain([(0, log.len())]) {
            // Own commits are applied before the watch returns them.
            while own < to.min(log.len()) {
                if changes[own].1 {
                    let e = &log[own];
                    let name = e.put.as_ref().or(e.delete.as_ref()).expect("a key");
                    replica.apply(name, e.value.as_ref(), e.version);
                }
                own += 1;
            }
            let from = from.min(replica.applied_revision.0 as usize);
            let to = to.min(log.len()).max(from);
            let _ = replica.advance(&log[from..to], Revision(to as u64));
        }
        for k in 0..6 {
            let expected = model.get(&key(k).to_string());
            prop_assert_eq!(replica.version(&key(k)), expected.map_or(0, |(_, version)| *version));
            let Key::RunChunk(id, number) = key(k) else { unreachable!() };
            let held = replica.run_chunks.get(&id).and_then(|r| r.get(&number)).map(|c| c.value.write_id);
            prop_assert_eq!(held, expected.map(|(writer, _)| *writer));
        }
    }

    /// Guards against exceeding a service's request limit: a bucket admits no more than its rate and burst allow, and
    /// it still admits critical calls when reads are refused.
    #[test]
    fn a_token_bucket_stays_within_its_limit_and_still_admits_critical_calls(
        steps in proptest::collection::vec((0u64..50_000, 0u8..3, 1u32..5), 1..200),
    ) {
        let (rate, burst) = (50.0, 20.0);
        let mut bucket = TokenBucket::new(rate, burst);
        let mut now = Micros::ZERO;
        let mut admitted = 0.0;
        for (wait, class, cost) in steps {
            now = now + Micros(wait);
            let class = [CallPriority::Critical, CallPriority::Write, CallPriority::Read][class as usize];
            if bucket.take(now, f64::from(cost), class).is_ok() {
                admitted += f64::from(cost);
            }
            prop_assert!(admitted <= burst + rate * now.secs() + 1e-6);
        }
        now = now + Micros(10_000_000);
        while bucket.take(now, 1.0, CallPriority::Read).is_ok() {}
        prop_assert!(bucket.take(now, 1.0, CallPriority::Critical).is_ok());
    }
}

#[derive(Clone, Debug)]
enum Step {
    Insert(u8, u32, u8, u8),
    Remove(u8, u32),
    SetState(u8, u32, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u8..4, 0u32..6, 0u8..3, 0u8..8).prop_map(|(j, t, m, p)| Step::Insert(j, t, m, p)),
        (0u8..4, 0u32..6).prop_map(|(j, t)| Step::Remove(j, t)),
        (0u8..4, 0u32..6, 0u8..8).prop_map(|(j, t, p)| Step::SetState(j, t, p)),
    ]
}

fn state(p: u8) -> AttemptState {
    let all = [
        AttemptState::Decided,
        AttemptState::Recorded,
        AttemptState::Fetching,
        AttemptState::Waiting,
        AttemptState::Running,
        AttemptState::Checkpointing,
        AttemptState::Ended(ExitCause::Completed),
        AttemptState::ProvenAbsent,
    ];
    all[usize::from(p)]
}

fn spec(job: u8) -> JobSpec {
    let text = format!(
        r#"{{"lot": "c", "crew": "team-{}", "shape": "{}", "rank": "standard", "pieces": 6, "cores": {}.5, "gpus": 0.0,
        "memory_gb": 2.0, "bundle": "i", "pull_gb": 0.1, "one_zone": false, "spread": false, "driftwood": false,
        "expect_s": 1.0, "stow_every_s": 0.0, "stow_s": 0.0}}"#,
        job % 2,
        if job < 2 { "daemon" } else { "array" },
        job + 1
    );
    serde_json::from_str(&text).expect("a job")
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against incremental sums that drift from the attempts they count.
    #[test]
    fn incremental_usage_sums_equal_a_full_recount(steps in proptest::collection::vec(step(), 1..120)) {
        let machines: Vec<MachineId> = (0..3).map(|m| MachineId::new(&format!("m-{m}"))).collect();
        let specs: Vec<JobSpec> = (0..4).map(spec).collect();
        let names: Vec<JobId> = (0..4).map(|j| JobId::new(&format!("wk-{j}"))).collect();
        let mut usage = Usage::default();
        let mut real: Vec<JobAttempts> = (0..4).map(|j| JobAttempts::new(names[j].clone(), &specs[j])).collect();
        let mut model: BTreeMap<(usize, u32), (usize, AttemptState)> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Insert(j, t, m, p) => {
                    let (j, m) = (usize::from(j), usize::from(m));
                    real[j].insert(t, TaskAttempt::new(1, machines[m].clone(), 1, state(p)), &mut usage);
                    model.insert((j, t), (m, state(p)));
                }
                Step::Remove(j, t) => {
                    real[usize::from(j)].remove(t, &mut usage);
                    model.remove(&(usize::from(j), t));
                }
                Step::SetState(j, t, p) => {
                    real[usize::from(j)].set_state(t, state(p), &mut usage);
                    if let Some(at) = model.get_mut(&(usize::from(j), t)) {
                        at.1 = state(p);
                    }
                }
            }
            for (j, attempts) in real.iter().enumerate() {
                let own = || model.iter().filter(|((job, _), _)| *job == j).map(|(_, at)| at.1);
                prop_assert_eq!(attempts.occupying_count() as usize, own().filter(|p| p.occupies_resources()).count());
                prop_assert_eq!(attempts.settled_count() as usize, own().filter(|p| !p.occupies_resources()).count());
                prop_assert_eq!(attempts.decided_count() as usize, own().filter(|p| *p == AttemptState::Decided).count());
            }
            for (m, machine) in machines.iter().enumerate() {
                let on_machine = || model.iter().filter(|(_, at)| at.0 == m);
                let occupying = on_machine().filter(|(_, at)| at.1.occupies_resources());
                let resources = occupying.fold(Resources::default(), |sum, ((j, _), _)| {
                    sum.plus(&specs[*j].resources())
                });
                prop_assert_eq!(usage.used_on(machine), resources);
                prop_assert_eq!(usage.is_empty(machine), on_machine().count() == 0);
                prop_assert_eq!(usage.is_busy(machine), on_machine().any(|(_, at)| at.1.occupies_resources()));
                let runs_service =
                    on_machine().any(|((j, _), at)| at.1.occupies_resources() && specs[*j].kind == JobKind::Service);
                prop_assert_eq!(usage.runs_service_on(machine), runs_service);
                let tasks: Vec<TaskId> =
                    on_machine().map(|((j, t), _)| TaskId { job: names[*j].clone(), index: *t }).collect();
                prop_assert_eq!(usage.attempts_on(machine), tasks);
                // Guards against review case 4: each placement walked over all attempts on the machine.
                let unreported = on_machine().filter(|(_, at)| at.1.is_unreported());
                let jobs: BTreeSet<&JobId> = unreported.map(|((j, _), _)| &names[*j]).collect();
                prop_assert_eq!(usage.iter_unreported_jobs_on(machine).collect::<Vec<_>>(), Vec::from_iter(jobs));
            }
            for team in 0..2 {
                let of_team = model.iter().filter(|((j, _), at)| j % 2 == team && at.1.occupies_resources());
                let resources = of_team.fold(Resources::default(), |sum, ((j, _), _)| sum.plus(&specs[*j].resources()));
                prop_assert_eq!(usage.used_by(&format!("team-{team}")), resources);
            }
        }
    }
}

/// Guards against a controller that doesn't slow down under refusals, or is starved by them: under steady refusals it
/// still gets its equal part of the limit, and it never spends much more than its rate.
#[test]
fn a_write_budget_slows_down_under_refusals_but_keeps_an_equal_part() {
    let mut budget = WriteBudget::new(50.0, 50.0, 5, 1.8);
    let mut spent = 0;
    for ms in 0..20_000 {
        let now = Micros::from_millis(ms);
        if budget.allows(now) {
            budget.spend(now, 3);
            spent += 3;
            if ms % 500 < 20 {
                budget.record_refusal(now);
            }
        }
    }
    // The equal part is 10 writes per second.
    assert!((160..320).contains(&spent), "{spent} writes in 20 s");
}

/// Guards against deferrable writes while other controllers, which share the limit, are short of writes: a refusal is
/// the only sign of that.
#[test]
fn a_write_budget_is_not_idle_for_a_while_after_a_refusal() {
    let mut budget = WriteBudget::new(50.0, 50.0, 5, 1.8);
    let at = |s: u64| Micros::from_millis(s * 1000);
    assert!(budget.is_idle(at(10)));
    budget.record_refusal(at(10));
    assert!(!budget.is_idle(at(15)), "its own burst is full again, but the store has refused a write recently");
    assert!(budget.is_idle(at(21)));
    budget.spend(at(21), 15);
    assert!(!budget.is_idle(at(21)));
}

#[test]
fn a_known_outcome_is_never_replaced_or_removed() {
    let mut replica = Replica::default();
    let id = JobId::new("wk-1");
    let name = Key::Outcome(id.clone()).to_string();
    replica.apply(&name, Some(&to_value(&Outcome::Done)), 5);
    replica.apply(&name, Some(&to_value(&Outcome::Cancelled)), 4);
    replica.apply(&name, None, 6);
    assert_eq!(replica.outcomes.get(&id).map(|e| e.value.outcome), Some(Outcome::Done));
}

#[test]
fn keys_parse_to_what_was_formatted() {
    use burlhatch::storage::Role;
    let keys = [
        Key::FencingToken,
        Key::Role(Role::Leader),
        Key::Role(Role::Shard(2)),
        Key::Controller("node-a".into()),
        Key::MachineBatch("5f".into()),
        Key::Machine(MachineId::new("m-000001")),
        Key::JobBatch("3a".into()),
        Key::RunChunk(JobId::new("wk-1"), 7),
        Key::Outcome(JobId::new("wk-1")),
    ];
    for key in keys {
        let text = key.to_string();
        assert!(text.len() <= 200 && !text.contains(' '));
        assert_eq!(Key::parse(&text), Some(key));
    }
    assert_eq!(Key::parse("other/term"), None);
    assert_eq!(Key::parse("bh/run/wk-1"), None);
}

/// A step of the dependency graph: a job is accepted that depends on some of those before it, or a job ends.
#[derive(Clone, Debug)]
enum GraphStep {
    Accept { depends_on: Vec<u8>, priority: u8, due: Option<u16>, span: u8 },
    End { which: u8, done: bool },
}

fn graph_step() -> impl Strategy<Value = GraphStep> {
    let accept = (proptest::collection::vec(any::<u8>(), 0..4), 0u8..4, proptest::option::of(500u16..2000), 0u8..50);
    prop_oneof![
        accept.prop_map(|(depends_on, priority, due, span)| GraphStep::Accept { depends_on, priority, due, span }),
        (any::<u8>(), any::<bool>()).prop_map(|(which, done)| GraphStep::End { which, done }),
    ]
}

/// A job of the reference model, which derives everything by walks over all jobs.
struct JobModel {
    depends_on: Vec<usize>,
    own: Urgency,
    span: Micros,
    succeeded: Option<bool>,
}

fn model_success(jobs: &[JobModel], n: usize) -> Option<bool> {
    let has_cancelled_dependency = jobs[n].depends_on.iter().any(|b| model_success(jobs, *b) == Some(false));
    jobs[n].succeeded.or(has_cancelled_dependency.then_some(false))
}

fn model_waits(jobs: &[JobModel], n: usize) -> bool {
    jobs[n].depends_on.iter().any(|b| model_success(jobs, *b) != Some(true))
}

fn model_urgency(jobs: &[JobModel], n: usize) -> Urgency {
    let later = (n + 1..jobs.len()).filter(|l| jobs[*l].depends_on.contains(&n));
    later.fold(jobs[n].own, |sum, l| {
        let urgency = model_urgency(jobs, l);
        sum.max(Urgency { priority: urgency.priority, due_at: urgency.due_at.map(|due| due - jobs[l].span) })
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// Compares the incremental graph with walks over all jobs: which jobs wait, which become ready or are cancelled
    /// with a dependency, and, until the first job ends, how urgent each is.
    #[test]
    fn the_dependency_graph_matches_walks_over_all_jobs(steps in proptest::collection::vec(graph_step(), 1..40)) {
        let id = |n: usize| JobId::new(&format!("wk-{n}"));
        let number = |id: &JobId| id.as_str()[3..].parse::<usize>().expect("a number");
        let mut model: Vec<JobModel> = Vec::new();
        let mut graph = DependencyGraph::default();
        let mut none_ended = true;
        for step in steps {
            match step {
                GraphStep::Accept { depends_on, priority, due, span } => {
                    let count = model.len();
                    let mut depends_on: Vec<usize> =
                        if count == 0 { Vec::new() } else { depends_on.iter().map(|a| usize::from(*a) % count).collect() };
                    depends_on.sort_unstable();
                    depends_on.dedup();
                    let priorities = [Priority::Low, Priority::Normal, Priority::High, Priority::Production];
                    let due = due.map(|due| Micros(u64::from(due)));
                    let own = Urgency { priority: priorities[usize::from(priority)], due_at: due };
                    let span = Micros(u64::from(span));
                    model.push(JobModel { depends_on: depends_on.clone(), own, span, succeeded: None });
                    if model_success(&model, count).is_some() {
                        continue;
                    }
                    graph.upsert(&id(count), own, span);
                    for before in depends_on.iter().filter(|b| model_success(&model, **b).is_none()) {
                        graph.upsert(&id(*before), model[*before].own, model[*before].span);
                        graph.link(&id(count), &id(*before));
                    }
                }
                GraphStep::End { which, done } => {
                    let open: Vec<usize> = (0..model.len()).filter(|n| model_success(&model, *n).is_none()).collect();
                    // A waiting job can be cancelled but can't complete.
                    let Some(n) = open.get(usize::from(which) % open.len().max(1)).copied() else { continue };
                    let done = done && !model_waits(&model, n);
                    let waited: Vec<usize> = open.iter().copied().filter(|n| model_waits(&model, *n)).collect();
                    model[n].succeeded = Some(done);
                    none_ended = false;
                    let mut ready = BTreeSet::new();
                    let mut cancelled = BTreeSet::new();
                    let mut ended = vec![(n, done)];
                    while let Some((n, done)) = ended.pop() {
                        for follower in graph.remove_ended(&id(n), done) {
                            let follower = number(&follower);
                            if done {
                                ready.insert(follower);
                            } else if cancelled.insert(follower) {
                                ended.push((follower, false));
                            }
                        }
                    }
                    let expected_ready: BTreeSet<usize> = waited
                        .iter()
                        .copied()
                        .filter(|n| model_success(&model, *n).is_none() && !model_waits(&model, *n))
                        .collect();
                    let expected_cancelled: BTreeSet<usize> = open
                        .iter()
                        .copied()
                        .filter(|o| *o != n && model_success(&model, *o) == Some(false))
                        .collect();
                    prop_assert_eq!(ready, expected_ready);
                    prop_assert_eq!(cancelled, expected_cancelled);
                }
            }
            graph.propagate_urgency();
            for n in (0..model.len()).filter(|n| model_success(&model, *n).is_none()) {
                prop_assert_eq!(graph.has_open_dependencies(&id(n)), model_waits(&model, n));
                if let (true, Some(urgency)) = (none_ended, graph.urgency(&id(n))) {
                    prop_assert_eq!(urgency, model_urgency(&model, n));
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(13), ..ProptestConfig::with_cases(300) })]

    /// Compares the ranges of lent tasks with a list of the shard of each task, also after they were stored.
    #[test]
    fn lent_ranges_equal_a_list_of_tasks(steps in prop::collection::vec((0u32..40, 0u32..12, prop::option::of(0u32..3)), 1..30)) {
        let mut loans = TaskLoans::default();
        let mut model: Vec<Option<u32>> = vec![None; 60];
        for (first, count, shard) in steps {
            loans.assign(first..first + count, shard);
            model[first as usize..(first + count) as usize].fill(shard);
            let stored: TaskLoans = from_value(&to_value(&loans)).expect("loans");
            prop_assert_eq!(&stored, &loans);
            prop_assert_eq!((0..60).map(|task| stored.shard_of(task)).collect::<Vec<_>>(), model.clone());
            prop_assert!(loans.ranges.windows(2).all(|pair| pair[0].end <= pair[1].first && pair[0] != pair[1]));
        }
    }
}

fn any_txn() -> impl Strategy<Value = Txn> {
    let key = "[a-z0-9/\"é]{1,40}";
    let value = prop_oneof![
        any::<i32>().prop_map(ciborium::Value::from),
        "[ -~é]{0,60}".prop_map(ciborium::Value::from),
        prop::collection::vec(any::<f64>().prop_filter("finite", |n| n.is_finite()), 0..8)
            .prop_map(|numbers| ciborium::Value::Array(numbers.into_iter().map(ciborium::Value::from).collect())),
    ];
    let put =
        (key, value, prop::option::of(any::<u64>())).prop_map(|(key, value, lease)| Write::Put { key, value, lease });
    let write = prop_oneof![put, key.prop_map(|key| Write::Delete { key })];
    let precondition = (key, any::<u64>()).prop_map(|(key, version)| Precondition { key, version });
    let preconditions = prop::collection::vec(precondition, 0..10);
    (preconditions, prop::collection::vec(write, 0..10))
        .prop_map(|(preconditions, writes)| Txn { preconditions, writes })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), ..ProptestConfig::with_cases(500) })]

    /// The counted size of a transaction is its size in JSON, with one more separator in each of the two lists.
    #[test]
    fn the_size_of_a_transaction_is_that_of_its_json_form(txn in any_txn()) {
        let size = TxnSize::of(&txn);
        let json = serde_json::to_string(&txn).expect("plain data").len();
        let separators = usize::from(!txn.preconditions.is_empty()) + usize::from(!txn.writes.is_empty());
        prop_assert_eq!(size.bytes + r#"{"if":[],"writes":[]}"#.len(), json + separators);
        prop_assert_eq!(size.writes, txn.writes.len());
        prop_assert_eq!(size.preconditions, txn.preconditions.len());
    }
}
