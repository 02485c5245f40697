//! Heartbeats of workers: which are new, what they prove about tasks, and what is answered.

use crate::coordination::fleet::Unregistered;
use crate::coordination::fleet::machines::{Failures, Fetch, LastHeartbeat, UnrecordedTask};
use crate::coordination::jobs::cancellation_log::AbsenceProof;
use crate::coordination::jobs::usage::{Phase, Start};
use crate::coordination::zones::zone_control::ZoneStart;
use crate::coordination::{Controller, Effect, Waiter, WorkerAnswer};
use crate::protocol::user::JobKind;
use crate::protocol::worker::{ExitCause, Heartbeat, TaskState};
use crate::storage::schema::Role;
use crate::types::{FencingToken, JobId, MachineId, TaskId};
use std::collections::BTreeSet;

/// Exited tasks a worker is left with before its machine gets a new fencing token so that it may forget them.
const EXITED_KEPT: usize = 60;

/// How a worker's account of itself came.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// As a heartbeat, which the worker sends only after it is through with the answer to the one before.
    Heartbeat,
    /// As the answer to a direct message.
    DirectAnswer,
}

impl Controller {
    pub(crate) fn heartbeat(&mut self, waiter: Waiter, heartbeat: Heartbeat, relayed: bool) {
        let answer = match self.store.sync.done {
            true => self.heartbeat_answer(waiter, heartbeat, relayed),
            false => Some(WorkerAnswer::Unavailable),
        };
        if let Some(answer) = answer {
            self.out.push(Effect::AnswerWorker(waiter, answer));
        }
    }

    fn heartbeat_answer(&mut self, waiter: Waiter, heartbeat: Heartbeat, relayed: bool) -> Option<WorkerAnswer> {
        let id = heartbeat.machine.clone();
        let Some(role) = self.role_of_machine(&id) else { return self.unregistered_heartbeat(waiter, heartbeat) };
        let Some(fencing_token) = self.fencing_token(&id) else { return Some(self.redirect_to_holder(role)) };
        if heartbeat.fencing_token > fencing_token {
            self.later_token_shown(&id, heartbeat.fencing_token);
            return Some(WorkerAnswer::Redirect(None));
        }
        if !self.note_heartbeat(&heartbeat, relayed) {
            return Some(WorkerAnswer::Unavailable);
        }
        self.take_heartbeat(&heartbeat, Source::Heartbeat);
        Some(self.renewing_answer(&heartbeat, fencing_token))
    }

    /// A machine without a record: the leader may register it, others send its worker there.
    fn unregistered_heartbeat(&mut self, waiter: Waiter, heartbeat: Heartbeat) -> Option<WorkerAnswer> {
        if self.is_leader() {
            self.fleet.unregistered.push(Unregistered { since: self.now(), waiter, heartbeat });
            return None;
        }
        Some(self.redirect_to_holder(Role::Leader))
    }

    fn redirect_to_holder(&self, role: Role) -> WorkerAnswer {
        match self.other_holder(role) {
            Some(holder) => WorkerAnswer::Redirect(Some(holder)),
            None => WorkerAnswer::Unavailable,
        }
    }

    /// Somebody has a later fencing token than we know of, or this is news from the future of another shard: learn which, and
    /// draw a higher one if the machine is ours after all.
    fn later_token_shown(&mut self, id: &MachineId, fencing_token: FencingToken) {
        self.store.reads.wanted = true;
        let now = self.now();
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            machine.unacknowledged = Some(fencing_token);
            machine.outranked = true;
            machine.token_confirmed = false;
            machine.heard = now;
        }
    }

    /// Whether a heartbeat is newer than the one before, and what its number tells of what the worker has heard.
    fn note_heartbeat(&mut self, heartbeat: &Heartbeat, relayed: bool) -> bool {
        let now = self.now();
        let machine = self.fleet.machines.entry(heartbeat.machine.clone()).or_default();
        let last = machine.last_heartbeat;
        if (heartbeat.incarnation, heartbeat.seq) <= (last.incarnation, last.number) {
            // A copy of a heartbeat we have seen, for which nobody waits any more. Or a worker that began
            // anew and counts from the start: an answer would renew a lease that we then take for run
            // out. Asked directly it can't show less than it did before, unless it has begun anew.
            machine.ask = true;
            return false;
        }
        // A worker that did not hear our last answer would have gone to another controller first.
        if last.direct && !relayed && last.incarnation == heartbeat.incarnation && heartbeat.seq == last.number + 1 {
            machine.hears(machine.answered);
        }
        // It said something since that did not reach us: perhaps it did not hear our last answer, and it may be that
        // nothing reaches it. What waits for its next heartbeat would never tell.
        machine.ask |= heartbeat.incarnation == machine.incarnation && heartbeat.seq > machine.seq + 1;
        machine.last_heartbeat =
            LastHeartbeat { incarnation: heartbeat.incarnation, number: heartbeat.seq, direct: !relayed };
        // What is older than its answers to direct messages may be a late copy, which shows no heartbeat to get through now.
        if (heartbeat.incarnation, heartbeat.seq) > (machine.incarnation, machine.seq) {
            machine.last_heartbeat_at = now;
        }
        true
    }

    /// Takes in a worker's account of itself.
    pub(crate) fn take_heartbeat(&mut self, heartbeat: &Heartbeat, source: Source) {
        let now = self.now();
        let id = &heartbeat.machine;
        let Some(fencing_token) = self.fencing_token(id) else { return };
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        if (heartbeat.incarnation, heartbeat.seq) <= (machine.incarnation, machine.seq) {
            return;
        }
        let token_confirmed = heartbeat.fencing_token >= fencing_token;
        machine.outranked = heartbeat.fencing_token > fencing_token;
        // A heartbeat without our fencing token may be a copy from before our time: no sign of life.
        if token_confirmed || source == Source::DirectAnswer {
            machine.heard = now;
            machine.probes_failed = 0;
        }
        if heartbeat.incarnation > machine.incarnation {
            // A new incarnation comes with a lease of its own.
            machine.answered = now;
            machine.unrecorded.clear();
            machine.fetches.clear();
        }
        machine.incarnation = heartbeat.incarnation;
        machine.seq = heartbeat.seq;
        machine.highest_token_seen = heartbeat.fencing_token;
        machine.notice = heartbeat.termination_notice_s.is_some();
        if let Some(addr) = heartbeat.addr.as_ref().and_then(|a| a.parse().ok()) {
            machine.addr = Some(addr);
        }
        let first = !machine.token_confirmed;
        machine.token_confirmed = token_confirmed;
        if !machine.token_confirmed {
            return;
        }
        machine.obeys_holder = true;
        if machine.unacknowledged.is_some_and(|d| heartbeat.fencing_token > d) {
            machine.unacknowledged = None;
        }
        if first {
            // Until it showed our fencing token a former owner may have gone on renewing its lease.
            machine.answered = now;
        }
        self.scheduling.cycle_wanted |= first;
        self.take_tasks(heartbeat, source, first);
    }

    /// `first`: this is the first message that shows the machine's present fencing token.
    fn take_tasks(&mut self, heartbeat: &Heartbeat, source: Source, first: bool) {
        let id = &heartbeat.machine;
        let mut unrecorded = Vec::new();
        let mut seen: BTreeSet<(JobId, u32)> = BTreeSet::new();
        for reported in &heartbeat.tasks {
            let exited =
                (reported.state == TaskState::Exited).then(|| reported.exit_cause.unwrap_or(ExitCause::Unknown));
            let known = TaskId::parse(&reported.task).filter(|t| {
                self.jobs.by_id.get(&t.job).and_then(|j| j.live.get(t.index)).is_some_and(|l| {
                    *l.machine() == *id && l.attempt == reported.attempt && l.phase() != Phase::Decided
                })
            });
            let Some(task) = known else {
                let (task, attempt) = (reported.task.clone(), reported.attempt);
                let void = first || self.fleet.machines.get(id).is_some_and(|m| m.is_void(&task, attempt));
                unrecorded.push(UnrecordedTask { task, attempt, exited: exited.is_some(), void });
                continue;
            };
            seen.insert((task.job.clone(), task.index));
            match exited {
                Some(why) => self.exit_seen(id, &task, why),
                None => self.task_seen(id, &task, reported.state, heartbeat.seq),
            }
        }
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        let kept = unrecorded.iter().filter(|s| s.exited && !s.forgettable()).count();
        machine.unrecorded = unrecorded;
        machine.kept = kept;
        if kept > EXITED_KEPT && machine.unacknowledged.is_none() {
            // A new fencing token makes them forgettable.
            machine.unacknowledged = Some(heartbeat.fencing_token);
        }
        let quiet = !machine.direct && machine.unacknowledged.is_none();
        let mut starts = self.jobs.usage.starts_on(id);
        starts.retain(|s| !seen.contains(s));
        for (job, task) in starts {
            let Some(live) = self.jobs.by_id.get(&job).and_then(|j| j.live.get(task)) else { continue };
            if live.phase() == Phase::Decided || !live.occupies() {
                continue;
            }
            let earlier_incarnation = live.incarnation < heartbeat.incarnation;
            // Not there, and no command of ours is on its way that could still start it.
            let absent = source == Source::Heartbeat
                && quiet
                && live.incarnation == heartbeat.incarnation
                && heartbeat.seq > live.seq;
            let unwanted = live.stop.is_some() || live.phase().on_machine();
            if earlier_incarnation {
                self.start_gone(&job, task, AbsenceProof::LaterIncarnation);
            } else if absent && unwanted {
                self.start_gone(&job, task, AbsenceProof::Heartbeat);
            }
        }
    }

    fn task_seen(&mut self, id: &MachineId, task: &TaskId, state: TaskState, seq: u64) {
        let now = self.now();
        let Some(job) = self.jobs.by_id.get_mut(&task.job) else { return };
        let (image, megabytes) = (job.spec.image.clone(), job.spec.image_gb * 1000.0);
        let Some(live) = job.live.get_mut(task.index) else { return };
        if !live.occupies() {
            return;
        }
        live.sent = true;
        live.seq = live.seq.max(seq);
        let phase = match state {
            TaskState::FetchingImage => Phase::Fetching,
            TaskState::Waiting => Phase::Waiting,
            TaskState::Running => Phase::Running,
            TaskState::Checkpointing => Phase::Saving,
            TaskState::Exited => return,
        };
        let before = live.phase();
        if before == phase {
            return;
        }
        if phase == Phase::Running {
            live.running_since.get_or_insert(now);
        }
        job.live.set_phase(task.index, phase, &mut self.jobs.usage);
        if phase == Phase::Fetching {
            if let Some(machine) = self.fleet.machines.get_mut(id)
                && !machine.fetches.iter().any(|f| f.image == image)
            {
                machine.fetches.push(Fetch { image, megabytes, since: now });
            }
            return;
        }
        if phase == Phase::Running || phase == Phase::Waiting {
            self.note_zone_start(id, ZoneStart::AtWork);
        }
        if phase == Phase::Running
            && let Some(job) = self.jobs.by_id.get(&task.job)
        {
            let age_ms = self.clock.wall.since(job.accepted).millis();
            tracing::debug!(task = %task, machine = %id, age_ms, kind = ?job.spec.kind, "runs");
        }
        self.image_seen(id, &image, megabytes);
    }

    /// A task that is past fetching shows that its image is there.
    fn image_seen(&mut self, id: &MachineId, image: &str, megabytes: f64) {
        let now = self.now();
        let capacity_mb = self
            .store
            .replica
            .machines
            .get(id)
            .and_then(|m| self.autoscaling.types.get(&m.value.machine_type))
            .map_or(f64::INFINITY, |t| t.wire.cache_gb * 1000.0);
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        if let Some(at) = machine.fetches.iter().position(|f| f.image == image) {
            let fetch = machine.fetches.remove(at);
            let seconds = now.since(fetch.since).secs();
            if seconds > 0.2 && fetch.megabytes > 1.0 {
                let rate = fetch.megabytes / seconds;
                machine.rate = Some(machine.rate.map_or(rate, |old| 0.5 * (old + rate)));
            }
        }
        machine.image_used(image, megabytes, capacity_mb);
    }

    fn exit_seen(&mut self, id: &MachineId, task: &TaskId, why: ExitCause) {
        let now = self.now();
        let Some(job) = self.jobs.by_id.get(&task.job) else { return };
        if !job.live.get(task.index).is_some_and(super::super::jobs::usage::Start::occupies) {
            return;
        }
        let elsewhere = |live: &Start| live.machine() != id && live.phase().on_machine();
        let alone_in_gang = job.spec.kind == JobKind::Gang && job.live.values().any(elsewhere);
        if matches!(why, ExitCause::Completed) {
            let (image, megabytes) = (job.spec.image.clone(), job.spec.image_gb * 1000.0);
            self.image_seen(id, &image, megabytes);
        }
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            match why {
                ExitCause::Completed => machine.failed_jobs.clear(),
                ExitCause::Failed => {
                    let none = Failures { count: 0, last: now, task: task.index, alone_in_gang: 0 };
                    let failures = machine.failed_jobs.entry(task.job.clone()).or_insert(none);
                    failures.count += 1;
                    failures.alone_in_gang += u32::from(alone_in_gang);
                    (failures.last, failures.task) = (now, task.index);
                }
                _ => {}
            }
        }
        self.start_ended(&task.job, task.index, why);
    }
}
