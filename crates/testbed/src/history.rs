//! A record of the tasks on machines and of the statuses that users received, and a checker of the rules that this
//! record must satisfy.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// An event of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A task has fetched its image and starts to run. From then on it counts as present on its machine.
    TaskStarted {
        /// The machine.
        machine: String,
        /// The task.
        task: String,
    },
    /// A task is no longer present on its machine.
    TaskLeft {
        /// The machine.
        machine: String,
        /// The task.
        task: String,
        /// Whether the task ran to completion.
        done: bool,
    },
    /// A machine has executed a copy of direct commands that it had executed and answered before.
    CommandsRepeated {
        /// The machine.
        machine: String,
    },
    /// A user received the status of a job.
    StatusReceived {
        /// The job.
        job: String,
        /// The status; `unknown` for a response with code 404.
        status: String,
        /// Time at which the user sent the request, in microseconds since the history began.
        asked_us: u64,
    },
}

/// An event with its time, in microseconds since the history began.
pub type TimedEvent = (u64, Event);

/// A record of events, shared by all stand-ins of a run.
#[derive(Clone)]
pub struct History {
    started_at: Instant,
    events: Arc<Mutex<Vec<TimedEvent>>>,
}

impl Default for History {
    fn default() -> History {
        History { started_at: Instant::now(), events: Arc::default() }
    }
}

impl History {
    fn locked(&self) -> MutexGuard<'_, Vec<TimedEvent>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the microseconds since the history began.
    pub fn now_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Adds an event with the current time.
    pub fn add(&self, event: Event) {
        let mut events = self.locked();
        let at = self.now_us();
        events.push((at, event));
    }

    /// Returns all events so far.
    pub fn events(&self) -> Vec<TimedEvent> {
        self.locked().clone()
    }
}

/// Checks the events of a run and returns the violations of rules. `task_counts` holds the number of tasks of each job.
pub fn violations(events: &[TimedEvent], task_counts: &BTreeMap<String, u32>) -> Vec<String> {
    let mut checker = RuleChecker::default();
    for (at, event) in events {
        checker.observe(*at, event, task_counts);
    }
    checker.violations
}

/// Summary of how the tasks of cancelled jobs ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CancellationSummary {
    /// Number of jobs for which a user received the status `withdrawn`, that is, cancelled.
    pub cancelled_jobs: usize,
    /// Number of tasks of these jobs that started after a user had received that status.
    pub started_after: usize,
    /// The longest time from the receipt of that status until a task left its machine.
    pub longest_us: u64,
    /// Violations: tasks that were present on a machine, or started there, after the time allowed.
    pub late: Vec<String>,
}

/// Summarizes how the tasks of cancelled jobs ended. Tasks have the time `allowed` to end, counted from when the first
/// user received the status of the cancelled job.
pub fn summarize_cancellations(events: &[TimedEvent], allowed: Duration) -> CancellationSummary {
    let mut checker = CancellationChecker::new(events, allowed);
    for (at, event) in events {
        checker.observe(*at, event);
    }
    checker.finish(events.last().map_or(0, |(at, _)| *at))
}

struct CancellationChecker<'a> {
    allowed_us: u64,
    /// Time at which the first user received the status of a cancelled job, by job.
    cancelled_at: BTreeMap<&'a str, u64>,
    /// Pairs of a machine and a task that is present there.
    present: BTreeSet<(&'a str, &'a str)>,
    summary: CancellationSummary,
}

impl<'a> CancellationChecker<'a> {
    fn new(events: &'a [TimedEvent], allowed: Duration) -> CancellationChecker<'a> {
        let mut cancelled_at: BTreeMap<&str, u64> = BTreeMap::new();
        for (at, event) in events {
            if let Event::StatusReceived { job, status, .. } = event
                && status == "withdrawn"
            {
                cancelled_at.entry(job).or_insert(*at);
            }
        }
        let summary = CancellationSummary { cancelled_jobs: cancelled_at.len(), ..CancellationSummary::default() };
        let allowed_us = allowed.as_micros() as u64;
        CancellationChecker { allowed_us, cancelled_at, present: BTreeSet::new(), summary }
    }

    /// Returns the time from when the first user received the status of a cancelled job until `at`, or `None` if the
    /// task's job was not known as cancelled at that time.
    fn since_cancellation(&self, task: &str, at: u64) -> Option<u64> {
        let (job, _) = task.rsplit_once('/')?;
        at.checked_sub(*self.cancelled_at.get(job)?)
    }

    fn observe(&mut self, at: u64, event: &'a Event) {
        match event {
            Event::TaskStarted { machine, task } => {
                self.present.insert((machine, task));
                let after = self.since_cancellation(task, at);
                self.summary.started_after += usize::from(after.is_some());
                if after.is_some_and(|after| after > self.allowed_us) {
                    self.summary.late.push(format!("{at} us: ran_cancelled: {task} begins on {machine}"));
                }
            }
            Event::TaskLeft { machine, task, .. } => {
                self.present.remove(&(machine.as_str(), task.as_str()));
                let Some(after) = self.since_cancellation(task, at) else { return };
                self.summary.longest_us = self.summary.longest_us.max(after);
                if after > self.allowed_us {
                    self.summary.late.push(format!("{at} us: ran_cancelled: {task} was on {machine} until now"));
                }
            }
            Event::CommandsRepeated { .. } => {}
            Event::StatusReceived { .. } => {}
        }
    }

    /// Adds the tasks that were still present at the end of the history, and returns the summary.
    fn finish(mut self, end: u64) -> CancellationSummary {
        for (machine, task) in std::mem::take(&mut self.present) {
            if self.since_cancellation(task, end).is_some_and(|after| after > self.allowed_us) {
                self.summary.late.push(format!("{end} us: ran_cancelled: {task} is still on {machine}"));
            }
        }
        self.summary
    }
}

#[derive(Default)]
struct RuleChecker {
    /// Machines on which each task is present.
    machines_of: BTreeMap<String, BTreeSet<String>>,
    /// Tasks that ran to completion.
    done: BTreeSet<String>,
    /// The first final status that a user received for each job, with the time of receipt.
    final_status: BTreeMap<String, (u64, String)>,
    /// Jobs for which a user received a status other than `unknown`.
    accepted: BTreeSet<String>,
    violations: Vec<String>,
}

impl RuleChecker {
    fn observe(&mut self, at: u64, event: &Event, task_counts: &BTreeMap<String, u32>) {
        match event {
            Event::TaskStarted { machine, task } => {
                let machines = self.machines_of.entry(task.clone()).or_default();
                machines.insert(machine.clone());
                if machines.len() > 1 {
                    self.violations.push(format!("{at} us: ran_twice: {task} is on {machines:?}"));
                }
            }
            Event::TaskLeft { machine, task, done } => {
                if let Some(machines) = self.machines_of.get_mut(task) {
                    machines.remove(machine);
                }
                if *done {
                    self.done.insert(task.clone());
                }
            }
            Event::CommandsRepeated { .. } => {}
            Event::StatusReceived { job, status, asked_us } => {
                self.check_status(at, job, status, *asked_us, task_counts);
            }
        }
    }

    fn check_status(&mut self, at: u64, job: &str, status: &str, asked_us: u64, task_counts: &BTreeMap<String, u32>) {
        if status == "unknown" {
            if self.accepted.contains(job) {
                self.violations.push(format!("{at} us: forgotten: {job}"));
            }
            return;
        }
        self.accepted.insert(job.to_string());
        if let Some((received_at, before)) = self.final_status.get(job)
            && asked_us >= *received_at
            && before != status
        {
            self.violations.push(format!("{at} us: went_back: {job} was {before}, is {status}"));
        }
        let is_final = matches!(status, "done" | "withdrawn");
        if is_final {
            self.final_status.entry(job.to_string()).or_insert((at, status.to_string()));
        }
        let tasks = task_counts.get(job).copied().unwrap_or(0);
        let undone = (0..tasks).filter(|task| !self.done.contains(&format!("{job}/{task}"))).count();
        if status == "done" && undone > 0 {
            self.violations.push(format!("{at} us: not_done: {job} is called done with {undone} tasks open"));
        }
    }
}
