//! Starts not proven gone and out of the books, with the sums kept over them: what each machine
//! has and gives, what each team uses. A start's phase changes only here, so that no sum is missed.

use crate::protocol::user::{JobSpec, Kind};
use crate::protocol::worker::Why;
use crate::units::{JobId, MachineId, Micros, Room};
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Decided, not yet in the books; no command may leave.
    Proposed,
    /// In the books; not yet seen on the machine.
    Recorded,
    Fetching,
    Waiting,
    Running,
    Saving,
    /// Seen ended on the machine; to be taken out of the books.
    Ended(Why),
    /// Proven not to be on the machine; to be taken out of the books.
    Gone,
}

impl Phase {
    /// Whether it takes room on its machine and of its team's limit.
    pub fn occupies(self) -> bool {
        !matches!(self, Phase::Ended(_) | Phase::Gone)
    }

    pub fn on_machine(self) -> bool {
        matches!(self, Phase::Fetching | Phase::Waiting | Phase::Running | Phase::Saving)
    }
}

/// One start of a task, as far as it isn't proven gone and out of the books.
#[derive(Clone, Debug)]
pub struct Live {
    pub attempt: u64,
    machine: MachineId,
    pub session: u64,
    phase: Phase,
    /// Grace to stop with, once it is to stop.
    pub stop: Option<f64>,
    /// A start command may have left.
    pub sent: bool,
    /// Newest message of the worker that it might not yet have answered a command of ours to.
    pub seq: u64,
    pub running_since: Option<Micros>,
}

impl Live {
    pub fn new(attempt: u64, machine: MachineId, session: u64, phase: Phase) -> Live {
        Live { attempt, machine, session, phase, stop: None, sent: false, seq: 0, running_since: None }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    pub fn machine(&self) -> &MachineId {
        &self.machine
    }

    pub fn occupies(&self) -> bool {
        self.phase.occupies()
    }
}

/// What is on one machine by the books and by what was decided since.
#[derive(Debug, Default, PartialEq)]
pub struct Placed {
    pub starts: BTreeSet<(JobId, u32)>,
    /// Taken by those that occupy room.
    pub room: Room,
    pub occupying: u32,
    /// Of these those of services.
    pub services: u32,
}

/// Sums over the starts of all jobs.
#[derive(Debug, Default)]
pub struct Sums {
    machines: HashMap<MachineId, Placed>,
    teams: HashMap<String, Room>,
    /// Jobs whose starts changed since the recorder last looked at them.
    pub touched: BTreeSet<JobId>,
    /// Machines that lost a start's room since somebody last looked.
    pub freed: BTreeSet<MachineId>,
}

impl Sums {
    pub fn placed(&self, machine: &MachineId) -> Option<&Placed> {
        self.machines.get(machine)
    }

    pub fn starts_on(&self, machine: &MachineId) -> Vec<(JobId, u32)> {
        self.machines.get(machine).map(|p| p.starts.iter().cloned().collect()).unwrap_or_default()
    }

    /// Whether no start is recorded or decided there.
    pub fn is_empty(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_none_or(|p| p.starts.is_empty())
    }

    /// Whether any start takes room there.
    pub fn is_busy(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|p| p.occupying > 0)
    }

    /// Whether a service has a task there.
    pub fn serves(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|p| p.services > 0)
    }

    pub fn used_on(&self, machine: &MachineId) -> Room {
        self.machines.get(machine).map(|p| p.room).unwrap_or_default()
    }

    pub fn used_by(&self, team: &str) -> Room {
        self.teams.get(team).copied().unwrap_or_default()
    }

    fn occupy(&mut self, lives: &Lives, machine: &MachineId, more: bool) {
        let placed = self.machines.entry(machine.clone()).or_default();
        if more {
            placed.room = placed.room.plus(&lives.room);
            placed.occupying += 1;
            placed.services += u32::from(lives.service);
        } else {
            placed.room = placed.room.minus(&lives.room);
            placed.occupying -= 1;
            placed.services -= u32::from(lives.service);
            self.freed.insert(machine.clone());
        }
        if let Some(team) = &lives.team {
            let used = match self.teams.get_mut(team) {
                Some(used) => used,
                None => self.teams.entry(team.clone()).or_default(),
            };
            *used = if more { used.plus(&lives.room) } else { used.minus(&lives.room) };
        }
    }
}

/// The starts of one job.
#[derive(Debug)]
pub struct Lives {
    job: JobId,
    room: Room,
    team: Option<String>,
    service: bool,
    map: BTreeMap<u32, Live>,
    occupying: u32,
    proposed: u32,
}

impl Lives {
    pub fn new(job: JobId, spec: &JobSpec) -> Lives {
        let team = spec.team.clone();
        let service = spec.kind == Kind::Service;
        Lives { job, room: spec.room(), team, service, map: BTreeMap::new(), occupying: 0, proposed: 0 }
    }

    pub fn get(&self, task: u32) -> Option<&Live> {
        self.map.get(&task)
    }

    pub fn get_mut(&mut self, task: u32) -> Option<&mut Live> {
        self.map.get_mut(&task)
    }

    pub fn iter(&self) -> impl Iterator<Item = (u32, &Live)> {
        self.map.iter().map(|(task, live)| (*task, live))
    }

    /// Those of some tasks only.
    pub fn range(&self, tasks: std::ops::Range<u32>) -> impl Iterator<Item = (u32, &Live)> {
        self.map.range(tasks).map(|(task, live)| (*task, live))
    }

    pub fn values(&self) -> impl Iterator<Item = &Live> {
        self.map.values()
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Live> {
        self.map.values_mut()
    }

    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Starts that take room.
    pub fn occupying(&self) -> u32 {
        self.occupying
    }

    /// Starts decided and not yet in the books.
    pub fn proposed(&self) -> u32 {
        self.proposed
    }

    /// Starts that only wait to be taken out of the books.
    pub fn settled(&self) -> u32 {
        self.map.len() as u32 - self.occupying
    }

    pub fn insert(&mut self, task: u32, live: Live, sums: &mut Sums) {
        self.remove(task, sums);
        sums.touched.insert(self.job.clone());
        sums.machines.entry(live.machine.clone()).or_default().starts.insert((self.job.clone(), task));
        if live.phase.occupies() {
            self.occupying += 1;
            sums.occupy(self, &live.machine, true);
        }
        self.proposed += u32::from(live.phase == Phase::Proposed);
        self.map.insert(task, live);
    }

    pub fn remove(&mut self, task: u32, sums: &mut Sums) -> Option<Live> {
        let live = self.map.remove(&task)?;
        sums.touched.insert(self.job.clone());
        if live.phase.occupies() {
            self.occupying -= 1;
            sums.occupy(self, &live.machine, false);
        }
        self.proposed -= u32::from(live.phase == Phase::Proposed);
        if let Some(placed) = sums.machines.get_mut(&live.machine) {
            placed.starts.remove(&(self.job.clone(), task));
            if placed.starts.is_empty() {
                sums.machines.remove(&live.machine);
            }
        }
        Some(live)
    }

    pub fn set_phase(&mut self, task: u32, phase: Phase, sums: &mut Sums) {
        let Some(live) = self.map.get_mut(&task) else { return };
        let before = std::mem::replace(&mut live.phase, phase);
        if before == phase {
            return;
        }
        let machine = live.machine.clone();
        self.proposed += u32::from(phase == Phase::Proposed);
        self.proposed -= u32::from(before == Phase::Proposed);
        match (before.occupies(), phase.occupies()) {
            (true, false) => {
                self.occupying -= 1;
                sums.touched.insert(self.job.clone());
                sums.occupy(self, &machine, false);
            }
            (false, true) => {
                self.occupying += 1;
                sums.occupy(self, &machine, true);
            }
            _ => {}
        }
    }
}
