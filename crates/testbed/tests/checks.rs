//! The history checker finds each broken rule, and reports count what they were given.

use burlhatch_testbed::faults::{PlannedFault, draw_plan};
use burlhatch_testbed::history::{CancellationSummary, Event, TimedEvent, summarize_cancellations, violations};
use burlhatch_testbed::report::{ReportError, Sample, distributions, html, read_samples};
use std::collections::BTreeMap;
use std::time::Duration;

fn begun(machine: &str, task: &str) -> Event {
    Event::TaskStarted { machine: machine.into(), task: task.into() }
}

fn left(machine: &str, task: &str, done: bool) -> Event {
    Event::TaskLeft { machine: machine.into(), task: task.into(), done }
}

fn told(status: &str, asked_us: u64) -> Event {
    Event::StatusReceived { job: "wk-1".into(), status: status.into(), asked_us }
}

fn found(events: Vec<Event>) -> Vec<String> {
    let timed: Vec<TimedEvent> = events.into_iter().enumerate().map(|(i, event)| (i as u64 * 10, event)).collect();
    violations(&timed, &BTreeMap::from([("wk-1".to_string(), 1)]))
}

#[test]
fn a_clean_history_has_no_violations() {
    let events = vec![
        told("queued", 0),
        begun("m-1", "wk-1/0"),
        left("m-1", "wk-1/0", false),
        begun("m-2", "wk-1/0"),
        told("running", 35),
        left("m-2", "wk-1/0", true),
        told("done", 55),
        // Asked before the outcome was told.
        told("running", 40),
        told("done", 75),
    ];
    assert_eq!(found(events), Vec::<String>::new());
}

#[test]
fn each_broken_rule_is_found() {
    let cases = [
        ("ran_twice", vec![begun("m-1", "wk-1/0"), begun("m-2", "wk-1/0")]),
        ("not_done", vec![told("queued", 0), told("done", 10)]),
        ("went_back", vec![left("m-1", "wk-1/0", true), told("done", 0), told("running", 20)]),
        ("went_back", vec![told("withdrawn", 0), told("queued", 20)]),
        ("forgotten", vec![told("queued", 0), told("unknown", 10)]),
    ];
    for (rule, events) in cases {
        let found = found(events);
        assert!(found.len() == 1 && found[0].contains(rule), "{rule}: {found:?}");
    }
}

/// One task of a cancelled job: how long after the answer it came to its machine, and how long it stayed.
fn cancelled_task(told_us: u64, begun_us: u64, left_us: Option<u64>, end_us: u64) -> CancellationSummary {
    let mut events = vec![(told_us, told("withdrawn", 0)), (begun_us, begun("m-1", "wk-1/0"))];
    events.extend(left_us.map(|at| (at, left("m-1", "wk-1/0", false))));
    events.push((end_us, told("withdrawn", 0)));
    events.sort_by_key(|(at, _)| *at);
    summarize_cancellations(&events, Duration::from_micros(100))
}

#[test]
fn cancelled_tasks_that_run_on_or_begin_late_are_found() {
    let in_time = cancelled_task(50, 10, Some(150), 900);
    assert_eq!((in_time.late.len(), in_time.longest_us, in_time.started_after), (0, 100, 0), "{in_time:?}");
    // Its command was on its way when the user was told.
    let in_flight = cancelled_task(50, 60, Some(120), 900);
    assert_eq!((in_flight.late.len(), in_flight.started_after), (0, 1), "{in_flight:?}");
    assert_eq!(cancelled_task(50, 10, Some(151), 900).late.len(), 1, "it stays too long");
    assert_eq!(cancelled_task(50, 10, None, 900).late.len(), 1, "it never leaves");
    assert_eq!(cancelled_task(50, 10, None, 140).late.len(), 0, "it has time left");
    let late = cancelled_task(50, 200, Some(210), 900);
    assert_eq!((late.late.len(), late.started_after), (2, 1), "it begins too late, and is there too late");
}

/// The same seed draws the same troubles, which meet.
#[test]
fn plans_of_troubles_repeat_and_overlap() {
    let plan_of = |seed| draw_plan(seed, Duration::from_secs(45), Duration::from_secs(5), Duration::from_secs(14));
    assert_eq!(plan_of(7), plan_of(7));
    for seed in 0..50 {
        let plan = plan_of(seed);
        let meets = plan.iter().any(|one| {
            plan.iter().any(|other| {
                let starts_within =
                    other.begins_at_ms >= one.begins_at_ms && other.begins_at_ms < one.begins_at_ms + one.duration_ms;
                one != other && starts_within
            })
        });
        assert!(meets, "{seed}: {plan:?}");
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
    let page = html("A & B", &samples).expect("a page");
    assert!(page.contains("A &amp; B") && page.contains("&lt;one&gt;") && page.contains("<svg"));
    assert!(page.contains("<td>on</td><td>101</td><td>1</td>"), "{page}");
    assert!(page.contains("<td>off</td><td>1</td><td>1</td><td>-</td>"), "{page}");
    let figures = distributions(&samples).expect("distributions");
    let on = &figures["time, ms"]["<one>"]["on"];
    assert!(on.quantile(0.5).is_some_and(|median| (490..=510).contains(&median)));
    assert_eq!((on.worst().map(|worst| worst / 10), on.quantile(1.0).map(|q| q / 10)), (Some(100), Some(100)));
    assert_eq!(figures["time, ms"]["<one>"]["off"].quantile(0.5), None);
}

#[test]
fn lines_that_are_no_samples_are_named() {
    let good = serde_json::to_string(&sample("on", 1, Some(3))).expect("plain data");
    assert_eq!(read_samples(&format!("{good}\n\n{good}\n")).expect("two").len(), 2);
    let refusal = read_samples(&format!("{good}\n{{\"figure\": 1}}\n")).expect_err("no sample").to_string();
    assert!(refusal.starts_with("line 2:"), "{refusal}");
    assert!(matches!(html("empty", &[]), Err(ReportError::Empty)));
}
