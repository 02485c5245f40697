//! A record of what happened on machines and what users were told, and a checker of the rules that it must keep.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A task has its image: from now on it is on its machine.
    TaskStarted {
        /// The machine.
        machine: String,
        /// The task.
        task: String,
    },
    /// A task is not on its machine any more.
    TaskLeft {
        /// The machine.
        machine: String,
        /// The task.
        task: String,
        /// Whether it ran to completion.
        done: bool,
    },
    /// A user received the status of a job.
    StatusReceived {
        /// The job.
        job: String,
        /// The status, `unknown` for 404.
        status: String,
        /// When the user asked, in microseconds since the history began.
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

    /// Microseconds since the history began.
    pub fn now_us(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Adds an event that happens now.
    pub fn add(&self, event: Event) {
        let mut events = self.locked();
        let at = self.now_us();
        events.push((at, event));
    }

    /// All events so far.
    pub fn events(&self) -> Vec<TimedEvent> {
        self.locked().clone()
    }
}

/// The violations of rules by a history; none if all is well.
pub fn violations(events: &[TimedEvent], task_counts: &BTreeMap<String, u32>) -> Vec<String> {
    let mut checker = RuleChecker::default();
    for (at, event) in events {
        checker.observe(*at, event, task_counts);
    }
    checker.violations
}

/// What became of the tasks of cancelled jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CancellationSummary {
    /// Number of jobs that a user was told to be cancelled.
    pub cancelled_jobs: usize,
    /// Number of tasks that started after that.
    pub started_after: usize,
    /// The longest time after that until a task left its machine.
    pub longest_us: u64,
    /// Tasks that were on a machine, or started there, after the time allowed.
    pub late: Vec<String>,
}

/// Compares what was on machines with when any user was first told that its job is cancelled.
pub fn summarize_cancellations(events: &[TimedEvent], allowed: Duration) -> CancellationSummary {
    let mut checker = CancellationChecker::new(events, allowed);
    for (at, event) in events {
        checker.observe(*at, event);
    }
    checker.finish(events.last().map_or(0, |(at, _)| *at))
}

struct CancellationChecker<'a> {
    allowed_us: u64,
    /// When any user was first told that a job is cancelled.
    cancelled_at: BTreeMap<&'a str, u64>,
    /// Machines and tasks that are on them.
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

    /// Time since a user was told that a task's job is cancelled, if one was.
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
            Event::StatusReceived { .. } => {}
        }
    }

    /// Adds the tasks that never left.
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
    /// Machines on which each task is.
    machines_of: BTreeMap<String, BTreeSet<String>>,
    /// Tasks that ran to completion.
    done: BTreeSet<String>,
    /// The first final status of each job that a user received, and when.
    final_status: BTreeMap<String, (u64, String)>,
    /// Jobs whose status a user received.
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
