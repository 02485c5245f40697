//! The history checker finds each broken rule, and reports count what they were given.

use burlhatch_testbed::history::{Event, Timed, violations};
use burlhatch_testbed::report::{ReportError, Sample, distributions, html, read_samples};
use std::collections::BTreeMap;

fn begun(machine: &str, task: &str) -> Event {
    Event::Begun { machine: machine.into(), task: task.into() }
}

fn left(machine: &str, task: &str, done: bool) -> Event {
    Event::Left { machine: machine.into(), task: task.into(), done }
}

fn told(status: &str, asked_us: u64) -> Event {
    Event::Told { job: "wk-1".into(), status: status.into(), asked_us }
}

fn found(events: Vec<Event>) -> Vec<String> {
    let timed: Vec<Timed> = events.into_iter().enumerate().map(|(i, event)| (i as u64 * 10, event)).collect();
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
