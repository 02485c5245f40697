//! What happened on all machines and what users were told, and the rules it must keep.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One thing that happened, in the order in which it did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A task has its image: from here on it is on its machine.
    Begun {
        /// The machine.
        machine: String,
        /// The task.
        task: String,
    },
    /// It is not on its machine any more.
    Left {
        /// The machine.
        machine: String,
        /// The task.
        task: String,
        /// Whether it has completed.
        done: bool,
    },
    /// A user was told how a job stands.
    Told {
        /// The job.
        job: String,
        /// The status, `unknown` for 404.
        status: String,
        /// When it was asked, in microseconds since the history began.
        asked_us: u64,
    },
}

/// An event with when it happened, in microseconds since the history began.
pub type Timed = (u64, Event);

/// A record of events, shared by all stand-ins of a run.
#[derive(Clone)]
pub struct History {
    began: Instant,
    events: Arc<Mutex<Vec<Timed>>>,
}

impl Default for History {
    fn default() -> History {
        History { began: Instant::now(), events: Arc::default() }
    }
}

impl History {
    fn locked(&self) -> MutexGuard<'_, Vec<Timed>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Microseconds since it began.
    pub fn now_us(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    /// Adds an event that happens now.
    pub fn add(&self, event: Event) {
        let mut events = self.locked();
        let at = self.now_us();
        events.push((at, event));
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Timed> {
        self.locked().clone()
    }
}

/// Every rule that the events break; none if all is well.
pub fn violations(events: &[Timed], tasks_of: &BTreeMap<String, u32>) -> Vec<String> {
    let mut checker = Checker::default();
    for (at, event) in events {
        checker.take(*at, event, tasks_of);
    }
    checker.found
}

/// What became of cancelled jobs' tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cancellations {
    /// Jobs that a user was told to be cancelled.
    pub told: usize,
    /// Tasks that came to a machine after that.
    pub begun_after: usize,
    /// The longest time after that in which a task was on a machine.
    pub longest_us: u64,
    /// What was on a machine, or came there, after the time allowed.
    pub late: Vec<String>,
}

/// Compares what was on machines with when any user was first told that its job is cancelled.
pub fn cancellations(events: &[Timed], allowed: Duration) -> Cancellations {
    let allowed = allowed.as_micros() as u64;
    let mut told: BTreeMap<&str, u64> = BTreeMap::new();
    for (at, event) in events {
        if let Event::Told { job, status, .. } = event
            && status == "withdrawn"
        {
            told.entry(job).or_insert(*at);
        }
    }
    let told_of = |task: &str| task.rsplit_once('/').and_then(|(job, _)| told.get(job)).copied();
    let mut found = Cancellations { told: told.len(), ..Cancellations::default() };
    let mut on: BTreeSet<(&str, &str)> = BTreeSet::new();
    for (at, event) in events {
        match event {
            Event::Begun { machine, task } => {
                on.insert((machine, task));
                let after = told_of(task).and_then(|told| at.checked_sub(told));
                found.begun_after += usize::from(after.is_some());
                if after.is_some_and(|after| after > allowed) {
                    found.late.push(format!("{at} us: ran_cancelled: {task} begins on {machine}"));
                }
            }
            Event::Left { machine, task, .. } => {
                on.remove(&(machine.as_str(), task.as_str()));
                let Some(after) = told_of(task).and_then(|told| at.checked_sub(told)) else { continue };
                found.longest_us = found.longest_us.max(after);
                if after > allowed {
                    found.late.push(format!("{at} us: ran_cancelled: {task} was on {machine} until now"));
                }
            }
            Event::Told { .. } => {}
        }
    }
    let end = events.last().map_or(0, |(at, _)| *at);
    let over = |task: &str| told_of(task).is_some_and(|told| end.saturating_sub(told) > allowed);
    let left = on.into_iter().filter(|(_, task)| over(task));
    found.late.extend(left.map(|(machine, task)| format!("{end} us: ran_cancelled: {task} is still on {machine}")));
    found
}

#[derive(Default)]
struct Checker {
    /// Machines on which each task is.
    on: BTreeMap<String, BTreeSet<String>>,
    done: BTreeSet<String>,
    /// The first final status that a user was told of each job, and when.
    told: BTreeMap<String, (u64, String)>,
    accepted: BTreeSet<String>,
    found: Vec<String>,
}

impl Checker {
    fn take(&mut self, at: u64, event: &Event, tasks_of: &BTreeMap<String, u32>) {
        match event {
            Event::Begun { machine, task } => {
                let machines = self.on.entry(task.clone()).or_default();
                machines.insert(machine.clone());
                if machines.len() > 1 {
                    self.found.push(format!("{at} us: ran_twice: {task} is on {machines:?}"));
                }
            }
            Event::Left { machine, task, done } => {
                if let Some(machines) = self.on.get_mut(task) {
                    machines.remove(machine);
                }
                if *done {
                    self.done.insert(task.clone());
                }
            }
            Event::Told { job, status, asked_us } => self.told(at, job, status, *asked_us, tasks_of),
        }
    }

    fn told(&mut self, at: u64, job: &str, status: &str, asked_us: u64, tasks_of: &BTreeMap<String, u32>) {
        if status == "unknown" {
            if self.accepted.contains(job) {
                self.found.push(format!("{at} us: forgotten: {job}"));
            }
            return;
        }
        self.accepted.insert(job.to_string());
        if let Some((told_at, before)) = self.told.get(job)
            && asked_us >= *told_at
            && before != status
        {
            self.found.push(format!("{at} us: went_back: {job} was {before}, is {status}"));
        }
        let is_final = matches!(status, "done" | "withdrawn");
        if is_final {
            self.told.entry(job.to_string()).or_insert((at, status.to_string()));
        }
        let tasks = tasks_of.get(job).copied().unwrap_or(0);
        let undone = (0..tasks).filter(|task| !self.done.contains(&format!("{job}/{task}"))).count();
        if status == "done" && undone > 0 {
            self.found.push(format!("{at} us: not_done: {job} is called done with {undone} tasks open"));
        }
    }
}
