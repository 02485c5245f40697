//! The package against slow plain models, and its bounds, on random sequences.

use burlhatch_types::{JobId, MachineId, Micros};
use burlhatch_zones::condition::ZoneState;
use burlhatch_zones::damping::Penalty;
use burlhatch_zones::disruption::DisruptionBudget;
use burlhatch_zones::ramp::Ramp;
use burlhatch_zones::restoration_order::{WaitingJob, WorkKind, restoration_order};
use burlhatch_zones::{
    Condition, Evidence, Liveness, LivenessCounts, MachineCounts, Moment, ZoneSettings, ZoneTracker,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const ZONES: [&str; 3] = ["a", "b", "c"];

fn id(number: u32) -> MachineId {
    MachineId::new(&format!("m-{number}"))
}

#[derive(Clone, Debug)]
enum Change {
    Put(u32, usize, u32),
    Remove(u32),
    Liveness(u32, Liveness),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        3 => (0..30u32, 0..3usize, 0..4u32).prop_map(|(id, zone, shard)| Change::Put(id, zone, shard)),
        1 => (0..30u32).prop_map(Change::Remove),
        3 => (0..30u32, 0..3usize).prop_map(|(id, liveness)| Change::Liveness(id, [Liveness::Responsive, Liveness::Unknown, Liveness::Unresponsive][liveness])),
    ]
}

proptest! {
    /// Counts kept by single changes are those of a walk over all machines.
    #[test]
    fn machine_counts_are_those_of_a_walk_over_all_machines(changes in prop::collection::vec(change(), 1..120)) {
        let mut machine_counts = MachineCounts::default();
        let mut machines: BTreeMap<u32, (usize, u32, Liveness)> = BTreeMap::new();
        for change in changes {
            match change {
                Change::Put(number, zone, shard) => {
                    machine_counts.insert(&id(number), ZONES[zone], shard);
                    let same = machines.get(&number).is_some_and(|m| (m.0, m.1) == (zone, shard));
                    if !same {
                        machines.insert(number, (zone, shard, Liveness::Responsive));
                    }
                }
                Change::Remove(number) => {
                    machine_counts.remove(&id(number));
                    machines.remove(&number);
                }
                Change::Liveness(number, liveness) => {
                    machine_counts.set_liveness(&id(number), liveness);
                    if let Some(machine) = machines.get_mut(&number) {
                        machine.2 = liveness;
                    }
                }
            }
            for (zone, name) in ZONES.iter().enumerate() {
                let mut plain: BTreeMap<u32, LivenessCounts> = BTreeMap::new();
                for (_, shard, liveness) in machines.values().filter(|m| m.0 == zone) {
                    let count = plain.entry(*shard).or_default();
                    count.total += 1;
                    count.unresponsive += u32::from(*liveness == Liveness::Unresponsive);
                    count.unknown += u32::from(*liveness == Liveness::Unknown);
                }
                prop_assert_eq!(machine_counts.shards(name).collect::<BTreeMap<_, _>>(), plain);
                let there: BTreeSet<MachineId> = machine_counts.machines(name).cloned().collect();
                let plain: BTreeSet<MachineId> = machines.iter().filter(|(_, m)| m.0 == zone).map(|(n, _)| id(*n)).collect();
                prop_assert_eq!(there, plain);
            }
        }
    }

    /// The state machine against one that keeps all that was observed and looks back. The ramp is taken to be complete
    /// at once, so that only evidence and time decide.
    #[test]
    fn conditions_follow_from_what_was_observed(steps in prop::collection::vec((50..2500u64, 0..12u32, 0..12u32), 1..150)) {
        let settings = ZoneSettings { ramp_initial: 64, penalty_per_loss: 0.0, ..ZoneSettings::default() };
        let mut state = ZoneState::new(Micros::ZERO, &settings);
        let mut plain = PlainCondition { condition: Condition::Up, entered: 0, seen: Vec::new() };
        let mut now = 0;
        for (pause, machines, against_count) in steps {
            now += pause;
            let evidence = Evidence { machine_count: machines, against_count: against_count.min(machines) };
            state.observe(evidence, Micros::from_millis(now), &settings);
            plain.observe(now, evidence, &settings);
            prop_assert_eq!(state.condition(), plain.condition, "at {} with {:?}", now, evidence);
        }
    }

    /// No step makes more starts than its allowance; the allowance at most doubles from step to step and stays within its
    /// bounds, whatever happens.
    #[test]
    fn a_return_never_exceeds_its_steps(events in prop::collection::vec((0..6u8, 0..1500u64), 1..300)) {
        let settings = ZoneSettings::default();
        let mut ramp = Ramp::new(Micros::ZERO, &settings);
        let (mut now, mut in_step, mut step_began, mut last) = (0, 0, 0, ramp.allowance());
        for (what, pause) in events {
            now += pause;
            let before = ramp.allowance();
            ramp.advance(Micros::from_millis(now), what % 2 == 0, &settings);
            if now - step_began >= settings.ramp_step_ms {
                (step_began, in_step) = (now, 0);
                prop_assert!(ramp.allowance() <= before * 2);
                last = ramp.allowance();
            }
            match what {
                0..=2 if ramp.admits(&settings) => {
                    ramp.started();
                    in_step += 1;
                }
                3 => ramp.succeeded(),
                4 => ramp.lost(&settings),
                _ => {}
            }
            prop_assert!(ramp.allowance() <= last, "it grew within a step");
            prop_assert!((settings.ramp_initial..=settings.ramp_full).contains(&ramp.allowance()));
            prop_assert!(in_step <= last || ramp.is_complete(&settings), "{} starts of {}", in_step, last);
        }
    }

    /// The budget holds in every minute, and a job's pause between any two of its moves.
    #[test]
    fn disruptions_keep_within_their_budget(asks in prop::collection::vec((0..8u32, 0..20_000u64), 1..200)) {
        let settings = ZoneSettings { moves_per_minute: 5.0, move_pause_ms: 90_000, ..ZoneSettings::default() };
        let mut budget = DisruptionBudget::default();
        let mut moves: Vec<(u64, u32)> = Vec::new();
        let mut now = 120_000;
        for (job, pause) in asks {
            now += pause;
            let (name, at) = (JobId::new(&format!("wk-{job}")), Micros::from_millis(now));
            if budget.allows(&name, at, &settings) {
                budget.spend(&name, at, &settings);
                moves.push((now, job));
            }
        }
        for (i, (at, job)) in moves.iter().enumerate() {
            let in_minute = moves[..=i].iter().filter(|(other, _)| at - other < 60_000).count();
            // One more than the rate, as one may have been saved up.
            prop_assert!(in_minute <= 6, "{} moves in a minute", in_minute);
            let again = moves[..i].iter().any(|(other, same)| same == job && at - other < 90_000);
            prop_assert!(!again, "a job moved twice within its pause");
        }
    }

    /// Every job has its place in the order once; services stay in their order; at most one batch job goes before each
    /// few of them, and only one that is starved, the oldest of its class.
    #[test]
    fn restoration_keeps_services_first_and_starves_nobody(
        jobs in prop::collection::vec((0..3u8, 0..4u8, any::<bool>(), 0..3usize, 0..120u64, any::<bool>()), 0..60)
    ) {
        let settings = ZoneSettings { services_per_starved: 4, ..ZoneSettings::default() };
        let classes = ["x", "y", "z"];
        let waiting: Vec<WaitingJob<usize>> = jobs.iter().enumerate().map(|(key, (kind, priority, within, class, waited, begun))| WaitingJob {
            key,
            kind: [WorkKind::Service, WorkKind::Gang, WorkKind::Array][*kind as usize],
            priority: *priority,
            is_within_guaranteed_quota: *within,
            class: classes[*class],
            waited: Micros::from_millis(waited * 1000),
            has_begun: *begun,
        }).collect();
        let order = restoration_order(waiting.clone(), &settings);
        let mut sorted = order.clone();
        sorted.sort_unstable();
        prop_assert_eq!(sorted, (0..jobs.len()).collect::<Vec<_>>());
        let is_service = |key: &usize| waiting[*key].kind == WorkKind::Service;
        let last_service = order.iter().rposition(is_service).unwrap_or(0);
        let mut services_since = 0;
        let mut classes_served = BTreeSet::new();
        for key in &order[..last_service] {
            if is_service(key) {
                services_since += 1;
                continue;
            }
            let job = &waiting[*key];
            prop_assert!(job.is_starved(&settings), "batch work before a service");
            prop_assert!(services_since >= 4, "after {} services", services_since);
            prop_assert!(classes_served.insert(job.class), "two of one class before the last service");
            let older = |other: &WaitingJob<usize>| other.class == job.class && other.is_starved(&settings) && other.waited > job.waited;
            prop_assert!(!waiting.iter().any(older), "not the oldest of its class");
            services_since = 0;
        }
        let services: Vec<&usize> = order.iter().filter(|key| is_service(key)).collect();
        let urgency = |key: &usize| (std::cmp::Reverse(waiting[*key].priority), !waiting[*key].is_within_guaranteed_quota);
        prop_assert!(services.windows(2).all(|pair| urgency(pair[0]) <= urgency(pair[1])));
    }
}

/// All that was observed since the condition was entered.
struct PlainCondition {
    condition: Condition,
    entered: u64,
    seen: Vec<(u64, Evidence)>,
}

impl PlainCondition {
    fn observe(&mut self, now: u64, evidence: Evidence, settings: &ZoneSettings) {
        self.seen.push((now, evidence));
        let part = |e: &Evidence| f64::from(e.against_count) / f64::from(e.machine_count.max(1));
        let loss = |e: &Evidence| e.machine_count >= settings.least_machines && part(e) > settings.agree_part;
        let over = |e: &Evidence| e.machine_count == 0 || part(e) <= settings.return_part;
        // Since when something held at each observation up to the last.
        let held_for = |holds: &dyn Fn(&Evidence) -> bool| {
            let since = self.seen.iter().rev().take_while(|(_, e)| holds(e)).last();
            since.map(|(at, _)| now - at)
        };
        let next = match self.condition {
            Condition::Up if evidence.against_count > 0 => Some(Condition::Suspected),
            Condition::Suspected if evidence.against_count == 0 => Some(Condition::Up),
            Condition::Suspected | Condition::Returning
                if held_for(&loss).is_some_and(|t| t >= settings.confirm_ms) =>
            {
                Some(Condition::Lost)
            }
            Condition::Lost => {
                let span =
                    if evidence.machine_count == 0 { settings.empty_return_ms } else { settings.return_after_ms };
                held_for(&over).is_some_and(|t| t >= span).then_some(Condition::Returning)
            }
            Condition::Returning if evidence.against_count == 0 => Some(Condition::Up),
            _ => None,
        };
        if let Some(next) = next {
            (self.condition, self.entered) = (next, now);
            self.seen.clear();
        }
    }
}

/// When all goes well the return is over in a bounded time, distrusted or not: no task may wait for 90 s beside a machine
/// with room.
#[test]
fn a_return_that_goes_well_is_over_in_a_bounded_time() {
    for (may_double, demand) in [(true, true), (false, true), (true, false), (false, false)] {
        let settings = ZoneSettings::default();
        let mut ramp = Ramp::new(Micros::ZERO, &settings);
        let mut now = 0;
        while !ramp.is_complete(&settings) {
            while demand && ramp.admits(&settings) {
                ramp.started();
                ramp.succeeded();
            }
            now += settings.ramp_step_ms;
            ramp.advance(Micros::from_millis(now), may_double, &settings);
            assert!(now <= 60_000, "not over after {now} ms, doubling {may_double}, demand {demand}");
        }
    }
}

/// All controllers count the same loss. What each hears of the others must not add up to five losses: seen in the world
/// of five controllers, where one loss made a zone distrusted.
#[test]
fn one_loss_counted_by_five_controllers_is_one_loss() {
    let settings = ZoneSettings::default();
    let now = Micros::from_millis(1000);
    let mut penalties = [Penalty::default(); 5];
    for i in 0..5 {
        penalties[i].add_loss(now, &settings);
        let remote = penalties[i].value(now, &settings);
        penalties.iter_mut().for_each(|penalty| penalty.merge_remote(remote, now, &settings));
    }
    for penalty in &mut penalties {
        assert_eq!(penalty.value(now, &settings), settings.penalty_per_loss);
        assert!(!penalty.is_distrusted(now, &settings));
        penalty.add_loss(now, &settings);
        assert!(penalty.is_distrusted(now, &settings));
    }
    let half_life = settings.penalty_half_life_ms;
    let later = |halves: u64| Micros::from_millis(1000 + half_life * halves);
    assert!(penalties[0].is_distrusted(later(1), &settings), "trusted again too early");
    assert!(!penalties[0].is_distrusted(later(2), &settings), "never trusted again");
    assert!(penalties[0].value(later(1), &settings) <= settings.penalty_most);
}

/// With 4,000 machines a round costs steps by zones and shards, and a machine that falls silent a constant number.
#[test]
fn a_round_costs_nothing_for_machines_that_did_not_change() {
    let settings = ZoneSettings { enabled: true, ..ZoneSettings::default() };
    let mut zones = ZoneTracker::default();
    let shards: BTreeSet<u32> = (0..5).collect();
    zones.set_held_shards(&shards, Micros::ZERO);
    for number in 0..4000 {
        zones.insert_machine(&id(number), ["a", "b", "c", "d"][number as usize % 4], number / 4 % 5);
    }
    let most_a_round = 4 * (5 + 1);
    let cost = |zones: &mut ZoneTracker, work: &mut dyn FnMut(&mut ZoneTracker)| {
        let before = zones.operation_count();
        work(zones);
        zones.operation_count() - before
    };
    let quiet = cost(&mut zones, &mut |zones| drop(zones.evaluate(Micros::from_millis(20_000), &settings)));
    assert!(quiet <= most_a_round, "{quiet} steps");
    let falling = cost(&mut zones, &mut |zones| {
        (0..4000).step_by(4).for_each(|n| zones.set_liveness(&id(n), Liveness::Unresponsive));
    });
    assert!(falling <= 1000, "{falling} steps for 1,000 machines");
    let mut lost = Vec::new();
    for ms in [21_000, 21_500, 22_500] {
        let at = Micros::from_millis(ms);
        let steps = cost(&mut zones, &mut |zones| lost.extend(zones.evaluate(at, &settings)));
        assert!(steps <= most_a_round, "{steps} steps");
    }
    assert_eq!(zones.condition("a"), Condition::Lost, "{lost:?}");
    let moment = Moment { steady: Micros::from_millis(22_500), wall: Micros::from_millis(9_000_000) };
    assert_eq!(zones.outdated_records(7, moment, &settings).len(), 5);
}

/// A controller that hears no other zone either may be the one that is cut off: it has no view.
#[test]
fn who_hears_nobody_has_no_view() {
    let settings = ZoneSettings { enabled: true, ..ZoneSettings::default() };
    let mut zones = ZoneTracker::default();
    zones.set_held_shards(&BTreeSet::from([0]), Micros::ZERO);
    for number in 0..20 {
        zones.insert_machine(&id(number), ["a", "b"][number as usize % 2], 0);
        zones.set_liveness(&id(number), Liveness::Unresponsive);
    }
    for second in 10..20 {
        assert!(zones.evaluate(Micros::from_millis(second * 1000), &settings).is_empty());
    }
    assert_eq!(zones.condition("a"), Condition::Up);
}

/// Refusals name the field.
#[test]
fn impossible_settings_are_refused_by_name() {
    let good = ZoneSettings::default;
    let cases: [(ZoneSettings, &str); 10] = [
        (ZoneSettings { silent_after_ms: 0, ..good() }, "silent_after_ms"),
        (ZoneSettings { agree_part: 1.0, ..good() }, "agree_part"),
        (ZoneSettings { silent_part: f64::NAN, ..good() }, "silent_part"),
        (ZoneSettings { return_part: 0.6, ..good() }, "return_part"),
        (ZoneSettings { trust_below: 2000.0, ..good() }, "trust_below"),
        (ZoneSettings { penalty_most: 100.0, ..good() }, "penalty_most"),
        (ZoneSettings { ramp_initial: 0, ..good() }, "ramp_initial"),
        (ZoneSettings { ramp_initial: 65, ..good() }, "ramp_initial"),
        (ZoneSettings { moves_per_minute: -1.0, ..good() }, "moves_per_minute"),
        (ZoneSettings { empty_return_ms: 1, ..good() }, "empty_return_ms"),
    ];
    assert_eq!(good().check(), Ok(()));
    for (settings, field) in cases {
        assert_eq!(settings.check().expect_err(field).field, field);
    }
}
