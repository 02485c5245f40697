//! Starts not proven gone and out of the stored records, with the sums kept over them: what each machine
//! has and gives, what each team uses. A start's phase changes only here, so that no sum is missed.

use crate::protocol::user::{JobKind, JobSpec, Priority};
use crate::protocol::worker::ExitCause;
use crate::types::{JobId, MachineId, Micros, Resources};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How far a start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Decided, not yet in the stored records; no command may leave.
    Decided,
    /// In the stored records; not yet seen on the machine.
    Recorded,
    /// On the machine, waits for its image.
    Fetching,
    /// On the machine, waits for the rest of its gang.
    Waiting,
    /// On the machine, at work.
    Running,
    /// On the machine, was told to stop and saves.
    Saving,
    /// Seen ended on the machine; to be taken out of the stored records.
    Ended(ExitCause),
    /// Proven not to be on the machine; to be taken out of the stored records.
    Gone,
}

impl Phase {
    /// Whether it takes resources on its machine and of its team's limit.
    pub fn occupies(self) -> bool {
        !matches!(self, Phase::Ended(_) | Phase::Gone)
    }

    /// Whether a heartbeat has shown it on its machine, not ended.
    pub fn on_machine(self) -> bool {
        matches!(self, Phase::Fetching | Phase::Waiting | Phase::Running | Phase::Saving)
    }
}

/// One start of a task, as far as it isn't proven gone and out of the stored records.
#[derive(Clone, Debug)]
pub struct Start {
    /// Number of the attempt; 0 until it is recorded.
    pub attempt: u64,
    machine: MachineId,
    /// The machine's incarnation when it was decided.
    pub incarnation: u64,
    phase: Phase,
    /// Grace to stop with, once it is to stop.
    pub stop: Option<f64>,
    /// A start command may have left.
    pub sent: bool,
    /// Newest message of the worker that it might not yet have answered a command of ours to.
    pub seq: u64,
    /// When it was first seen at work.
    pub running_since: Option<Micros>,
}

impl Start {
    /// A start that nothing was said about yet.
    pub fn new(attempt: u64, machine: MachineId, incarnation: u64, phase: Phase) -> Start {
        Start { attempt, machine, incarnation, phase, stop: None, sent: false, seq: 0, running_since: None }
    }

    /// How far it has come.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Where it was started.
    pub fn machine(&self) -> &MachineId {
        &self.machine
    }

    /// Whether it takes resources on its machine and of its team's limit.
    pub fn occupies(&self) -> bool {
        self.phase.occupies()
    }
}

/// What is on one machine by the stored records and by what was decided since.
#[derive(Debug, Default, PartialEq)]
pub struct Placed {
    /// All of them, by job and task.
    pub starts: BTreeSet<(JobId, u32)>,
    /// Taken by those that occupy resources.
    pub resources: Resources,
    /// How many of them occupy resources.
    pub occupying: u32,
    /// Of these those of services.
    pub services: u32,
    /// Of these those of arrays of the lowest priority.
    pub lowest: u32,
}

/// Sums over the starts of all jobs.
#[derive(Debug, Default)]
pub struct Usage {
    machines: HashMap<MachineId, Placed>,
    teams: HashMap<String, Resources>,
    /// Starts of arrays of the lowest priority that take resources anywhere.
    lowest: u32,
    /// Jobs whose starts changed since the recorder last looked at them.
    pub touched: BTreeSet<JobId>,
    /// Machines that lost a start's room since somebody last looked.
    pub freed: BTreeSet<MachineId>,
}

impl Usage {
    /// What is on a machine.
    pub fn placed(&self, machine: &MachineId) -> Option<&Placed> {
        self.machines.get(machine)
    }

    /// The starts on a machine.
    pub fn starts_on(&self, machine: &MachineId) -> Vec<(JobId, u32)> {
        self.machines.get(machine).map(|p| p.starts.iter().cloned().collect()).unwrap_or_default()
    }

    /// Whether no start is recorded or decided there.
    pub fn is_empty(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_none_or(|p| p.starts.is_empty())
    }

    /// Whether any start takes resources there.
    pub fn is_busy(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|p| p.occupying > 0)
    }

    /// Whether a service has a task there.
    pub fn serves(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|p| p.services > 0)
    }

    /// Room taken on a machine.
    pub fn used_on(&self, machine: &MachineId) -> Resources {
        self.machines.get(machine).map(|p| p.resources).unwrap_or_default()
    }

    /// How many starts of arrays of the lowest priority take resources anywhere.
    pub fn lowest(&self) -> u32 {
        self.lowest
    }

    /// Room that a team takes.
    pub fn used_by(&self, team: &str) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }

    fn occupy(&mut self, starts: &JobStarts, machine: &MachineId, more: bool) {
        let placed = self.machines.entry(machine.clone()).or_default();
        if more {
            placed.resources = placed.resources.plus(&starts.resources);
            placed.occupying += 1;
            placed.services += u32::from(starts.service);
            placed.lowest += u32::from(starts.lowest);
            self.lowest += u32::from(starts.lowest);
        } else {
            placed.resources = placed.resources.minus(&starts.resources);
            placed.occupying -= 1;
            placed.services -= u32::from(starts.service);
            placed.lowest -= u32::from(starts.lowest);
            self.lowest -= u32::from(starts.lowest);
            self.freed.insert(machine.clone());
        }
        if let Some(team) = &starts.team {
            let used = match self.teams.get_mut(team) {
                Some(used) => used,
                None => self.teams.entry(team.clone()).or_default(),
            };
            *used = if more { used.plus(&starts.resources) } else { used.minus(&starts.resources) };
        }
    }
}

/// The starts of one job.
#[derive(Debug)]
pub struct JobStarts {
    job: JobId,
    resources: Resources,
    team: Option<String>,
    service: bool,
    /// Of an array of the lowest priority.
    lowest: bool,
    map: BTreeMap<u32, Start>,
    occupying: u32,
    decided: u32,
}

impl JobStarts {
    /// None yet, of that job.
    pub fn new(job: JobId, spec: &JobSpec) -> JobStarts {
        let team = spec.team.clone();
        let service = spec.kind == JobKind::Service;
        let lowest = spec.kind == JobKind::Array && spec.priority == Priority::Low;
        JobStarts {
            job,
            resources: spec.resources(),
            team,
            service,
            lowest,
            map: BTreeMap::new(),
            occupying: 0,
            decided: 0,
        }
    }

    /// The job.
    pub fn job(&self) -> &JobId {
        &self.job
    }

    /// A task's start.
    pub fn get(&self, task: u32) -> Option<&Start> {
        self.map.get(&task)
    }

    /// The same, to be changed in what no sum depends on.
    pub fn get_mut(&mut self, task: u32) -> Option<&mut Start> {
        self.map.get_mut(&task)
    }

    /// All of them, by task.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Start)> {
        self.map.iter().map(|(task, live)| (*task, live))
    }

    /// Those of some tasks only.
    pub fn range(&self, tasks: std::ops::Range<u32>) -> impl Iterator<Item = (u32, &Start)> {
        self.map.range(tasks).map(|(task, live)| (*task, live))
    }

    /// All of them.
    pub fn values(&self) -> impl Iterator<Item = &Start> {
        self.map.values()
    }

    /// The same, to be changed in what no sum depends on.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Start> {
        self.map.values_mut()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Starts that take resources.
    pub fn occupying(&self) -> u32 {
        self.occupying
    }

    /// Starts decided and not yet in the stored records.
    pub fn decided(&self) -> u32 {
        self.decided
    }

    /// Starts that only wait to be taken out of the stored records.
    pub fn settled(&self) -> u32 {
        self.map.len() as u32 - self.occupying
    }

    /// Adds a task's start, in place of one it may have had.
    pub fn insert(&mut self, task: u32, live: Start, usage: &mut Usage) {
        self.remove(task, usage);
        usage.touched.insert(self.job.clone());
        usage.machines.entry(live.machine.clone()).or_default().starts.insert((self.job.clone(), task));
        if live.phase.occupies() {
            self.occupying += 1;
            usage.occupy(self, &live.machine, true);
        }
        self.decided += u32::from(live.phase == Phase::Decided);
        self.map.insert(task, live);
    }

    /// Takes a task's start out.
    pub fn remove(&mut self, task: u32, usage: &mut Usage) -> Option<Start> {
        let live = self.map.remove(&task)?;
        usage.touched.insert(self.job.clone());
        if live.phase.occupies() {
            self.occupying -= 1;
            usage.occupy(self, &live.machine, false);
        }
        self.decided -= u32::from(live.phase == Phase::Decided);
        if let Some(placed) = usage.machines.get_mut(&live.machine) {
            placed.starts.remove(&(self.job.clone(), task));
            if placed.starts.is_empty() {
                usage.machines.remove(&live.machine);
            }
        }
        Some(live)
    }

    /// Notes how far a start has come.
    pub fn set_phase(&mut self, task: u32, phase: Phase, usage: &mut Usage) {
        let Some(live) = self.map.get_mut(&task) else { return };
        let before = std::mem::replace(&mut live.phase, phase);
        if before == phase {
            return;
        }
        let machine = live.machine.clone();
        self.decided += u32::from(phase == Phase::Decided);
        self.decided -= u32::from(before == Phase::Decided);
        match (before.occupies(), phase.occupies()) {
            (true, false) => {
                self.occupying -= 1;
                usage.touched.insert(self.job.clone());
                usage.occupy(self, &machine, false);
            }
            (false, true) => {
                self.occupying += 1;
                usage.occupy(self, &machine, true);
            }
            _ => {}
        }
    }
}
