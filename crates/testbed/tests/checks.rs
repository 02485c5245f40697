//! Checks of the history checker, of drawn fault plans and of reports.

use burlhatch::protocol::store::{Precondition, Txn, Write};
use burlhatch_testbed::faults::{PlannedFault, draw_plan};
use burlhatch_testbed::history::{CancellationSummary, Event, TimedEvent, summarize_cancellations, violations};
use burlhatch_testbed::report::{ReportError, Sample, distributions, html, read_samples};
use burlhatch_testbed::store::StoreSizeLimits;
use std::collections::BTreeMap;
use std::time::Duration;

fn task_started(machine: &str, task: &str) -> Event {
    Event::TaskStarted { machine: machine.into(), task: task.into() }
}

fn task_left(machine: &str, task: &str, done: bool) -> Event {
    Event::TaskLeft { machine: machine.into(), task: task.into(), done }
}

fn status_received(status: &str, asked_us: u64) -> Event {
    Event::StatusReceived { job: "wk-1".into(), status: status.into(), asked_us }
}

/// Returns the violations of events that are 10 us apart.
fn violations_of(events: Vec<Event>) -> Vec<String> {
    let timed: Vec<TimedEvent> = events.into_iter().enumerate().map(|(i, event)| (i as u64 * 10, event)).collect();
    violations(&timed, &BTreeMap::from([("wk-1".to_string(), 1)]))
}

#[test]
fn a_history_that_satisfies_all_rules_has_no_violations() {
    let events = vec![
        status_received("queued", 0),
        task_started("m-1", "wk-1/0"),
        task_left("m-1", "wk-1/0", false),
        task_started("m-2", "wk-1/0"),
        status_received("running", 35),
        task_left("m-2", "wk-1/0", true),
        status_received("done", 55),
        // The request was sent before the final status was received.
        status_received("running", 40),
        status_received("done", 75),
    ];
    assert_eq!(violations_of(events), Vec::<String>::new());
}

#[test]
fn each_violated_rule_is_found() {
    let cases = [
        ("ran_twice", vec![task_started("m-1", "wk-1/0"), task_started("m-2", "wk-1/0")]),
        ("not_done", vec![status_received("queued", 0), status_received("done", 10)]),
        (
            "went_back",
            vec![task_left("m-1", "wk-1/0", true), status_received("done", 0), status_received("running", 20)],
        ),
        ("went_back", vec![status_received("withdrawn", 0), status_received("queued", 20)]),
        ("forgotten", vec![status_received("queued", 0), status_received("unknown", 10)]),
    ];
    for (rule, events) in cases {
        let found = violations_of(events);
        assert!(found.len() == 1 && found[0].contains(rule), "{rule}: {found:?}");
    }
}

/// Returns the summary of a history with one task of a cancelled job. A user receives the status of the job at
/// `cancelled_us`; the task starts at `started_us` and leaves its machine at `left_us`, if ever; the history ends at
/// `end_us`. 100 us are allowed.
fn cancelled_task(cancelled_us: u64, started_us: u64, left_us: Option<u64>, end_us: u64) -> CancellationSummary {
    let mut events = vec![(cancelled_us, status_received("withdrawn", 0)), (started_us, task_started("m-1", "wk-1/0"))];
    events.extend(left_us.map(|at| (at, task_left("m-1", "wk-1/0", false))));
    events.push((end_us, status_received("withdrawn", 0)));
    events.sort_by_key(|(at, _)| *at);
    summarize_cancellations(&events, Duration::from_micros(100))
}

#[test]
fn cancelled_tasks_that_run_or_start_after_the_allowed_time_are_found() {
    let in_time = cancelled_task(50, 10, Some(150), 900);
    assert_eq!((in_time.late.len(), in_time.longest_us, in_time.started_after), (0, 100, 0), "{in_time:?}");
    // The start command was in flight when the user received the status.
    let in_flight = cancelled_task(50, 60, Some(120), 900);
    assert_eq!((in_flight.late.len(), in_flight.started_after), (0, 1), "{in_flight:?}");
    assert_eq!(cancelled_task(50, 10, Some(151), 900).late.len(), 1, "it leaves too late");
    assert_eq!(cancelled_task(50, 10, None, 900).late.len(), 1, "it never leaves");
    assert_eq!(cancelled_task(50, 10, None, 140).late.len(), 0, "the allowed time has not passed");
    let late = cancelled_task(50, 200, Some(210), 900);
    assert_eq!((late.late.len(), late.started_after), (2, 1), "it starts and leaves too late");
}

/// The same seed draws the same plan, and some faults of each plan overlap. Unknown faults are refused.
#[test]
fn plans_of_faults_are_reproducible_and_overlap() {
    let plan_of = |seed| draw_plan(seed, Duration::from_secs(45), Duration::from_secs(5), Duration::from_secs(14));
    assert_eq!(plan_of(7), plan_of(7));
    for seed in 0..50 {
        let plan = plan_of(seed);
        let overlaps = plan.iter().any(|planned| {
            plan.iter().any(|other| {
                let starts_within = other.begins_at_ms >= planned.begins_at_ms
                    && other.begins_at_ms < planned.begins_at_ms + planned.duration_ms;
                planned != other && starts_within
            })
        });
        assert!(overlaps, "{seed}: {plan:?}");
    }
    assert!(
        serde_json::from_str::<Vec<PlannedFault>>(r#"[{"at_ms": 1, "for_ms": 2, "trouble": "unheard_of"}]"#).is_err()
    );
}

fn sample(variant: &str, seed: u64, value: Option<u64>) -> Sample {
    Sample { figure: "time, ms".into(), scenario: "<one>".into(), variant: variant.into(), seed, value }
}

#[test]
fn reports_count_runs_and_missing_values() {
    let mut samples: Vec<Sample> = (1..=100).map(|n| sample("on", n, Some(n * 10))).collect();
    samples.push(sample("on", 101, None));
    samples.push(sample("off", 1, None));
    let page = html("A & B", &samples).expect("samples can be rendered");
    assert!(page.contains("A &amp; B") && page.contains("&lt;one&gt;") && page.contains("<svg"));
    assert!(page.contains("<td>on</td><td>101</td><td>1</td>"), "{page}");
    assert!(page.contains("<td>off</td><td>1</td><td>1</td><td>-</td>"), "{page}");
    let figures = distributions(&samples).expect("samples have distributions");
    let on = &figures["time, ms"]["<one>"]["on"];
    assert!(on.quantile(0.5).is_some_and(|median| (490..=510).contains(&median)));
    assert_eq!((on.worst().map(|worst| worst / 10), on.quantile(1.0).map(|q| q / 10)), (Some(100), Some(100)));
    assert_eq!(figures["time, ms"]["<one>"]["off"].quantile(0.5), None);
}

#[test]
fn an_invalid_sample_is_named_by_its_line_number() {
    let good = serde_json::to_string(&sample("on", 1, Some(3))).expect("a sample can be serialized");
    assert_eq!(read_samples(&format!("{good}\n\n{good}\n")).expect("two valid lines").len(), 2);
    let error =
        read_samples(&format!("{good}\n{{\"figure\": 1}}\n")).expect_err("the second line is invalid").to_string();
    assert!(error.starts_with("line 2:"), "{error}");
    assert!(matches!(html("empty", &[]), Err(ReportError::Empty)));
}

fn put(key: &str, value_bytes: usize) -> Write {
    Write::Put { key: key.into(), value: "x".repeat(value_bytes).into(), lease: None }
}

/// The stand-in of the store refuses each transaction that exceeds one of the protocol's limits, and no other.
#[test]
fn the_store_refuses_transactions_above_each_limit() {
    let limits = StoreSizeLimits::stated(8, 12);
    let txn = |preconditions: usize, writes: Vec<Write>| Txn {
        preconditions: (0..preconditions).map(|n| Precondition { key: format!("k/{n}"), version: 1 }).collect(),
        writes,
    };
    let accepted = [
        txn(48, vec![put("a", 10); 12]),
        txn(0, vec![put("a", 8 * 1024 - 2)]),
        txn(0, vec![put(&"k".repeat(200), 7900); 8]),
    ];
    for txn in accepted {
        assert_eq!(limits.reason_to_refuse(&txn), None);
    }
    let refused = [
        ("preconditions", txn(49, vec![put("a", 10)])),
        ("writes", txn(0, vec![put("a", 10); 13])),
        ("value of", txn(0, vec![put("a", 8 * 1024 - 1)])),
        ("transaction of", txn(0, vec![put("a", 8000); 9])),
        ("invalid key", txn(0, vec![put(&"k".repeat(201), 10)])),
        ("invalid key", txn(0, vec![Write::Delete { key: "a b".into() }])),
    ];
    for (reason, txn) in refused {
        let found = limits.reason_to_refuse(&txn);
        assert!(found.as_ref().is_some_and(|found| found.contains(reason)), "{reason}: {found:?}");
    }
}
