//! Machines: what their workers report, what they are told, and when they count as lost.

use super::lives::Phase;
use super::txns::{Draft, MachineChange, Purpose};
use super::{Core, Effect, Failure, OrdersOutcome, Unbooked, Waiter, WorkerAnswer};
use crate::bookkeeping::schema::{Hold, Key, MachineRecord, Seat, to_value};
use crate::protocol::user::Kind;
use crate::protocol::worker::{DirectOrders, Order, Orders, Report, TaskState, Why};
use crate::units::{JobId, MachineId, Micros, Room, TaskId, Term};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Commands in one message at most, so that it stays below the size limit.
const ORDERS_MAX: usize = 300;

/// Exited tasks a worker is left with before its machine gets a new term so that it may forget them.
const EXITED_KEPT: usize = 60;

/// Machines in doubt that get a term each; more of one share get a common one.
const FENCE_EACH: usize = 3;
/// Usual pause between new terms for machines in doubt.
const FENCE_EVERY: Micros = Micros::from_millis(1000);

/// With fewer silent machines in a zone nothing is concluded about the zone.
const ZONE_LOST_LEAST: usize = 3;

/// Machines of a zone that are asked each time machines are looked over, while one of it fails to answer.
const WIDENED: usize = 3;

/// How often all machines are looked over.
const MACHINES_EVERY: Micros = Micros::from_millis(100);

/// An image being fetched, as far as can be told from outside.
#[derive(Clone, Debug)]
pub(super) struct Fetch {
    pub image: String,
    pub megabytes: f64,
    pub since: Micros,
}

/// A task on the machine that the books know nothing of.
#[derive(Clone, Debug)]
struct Stray {
    task: String,
    attempt: u64,
    exited: bool,
    /// It was there when the worker first showed its present token: no command older than that
    /// can start it again.
    void: bool,
}

/// When machines were last heard: those that failed to answer since, and all. Those that were not
/// asked since and whose report isn't due tell nothing. Sorted once, as with hundreds silent a walk
/// over all for each would stop everything else.
struct Contacts {
    failing: Vec<Micros>,
    all: Vec<Micros>,
}

impl Contacts {
    fn of<'a>(machines: impl Iterator<Item = &'a Machine>) -> Contacts {
        let (mut failing, mut all) = (Vec::new(), Vec::new());
        for machine in machines {
            // Those of a share just taken were not heard yet, though their silence counts from then.
            let heard = if machine.fenced { machine.heard } else { Micros::ZERO };
            all.push(heard);
            if machine.probes_failed > 0 {
                failing.push(heard);
            }
        }
        failing.sort_unstable();
        all.sort_unstable();
        Contacts { failing, all }
    }

    /// How many have failed to answer and were not heard after a moment, and how many were.
    fn since(&self, moment: Micros) -> (usize, usize) {
        let lost = self.failing.partition_point(|at| *at <= moment);
        (lost, self.all.len() - self.all.partition_point(|at| *at <= moment))
    }
}

/// Failed tasks of one job on one machine.
struct Failures {
    count: u32,
    last: Micros,
}

impl Stray {
    /// Whether the worker may forget it. A late copy of a direct start would run a forgotten task
    /// again, perhaps while it runs elsewhere, after its job was cancelled or beyond its team's
    /// limit. Even one that is done would be on the machine for a moment.
    fn forgettable(&self) -> bool {
        self.void
    }
}

#[derive(Default)]
pub(super) struct Machine {
    /// Share it was last seen in.
    share: Option<u32>,
    pub session: u64,
    /// Newest message's number in this session.
    seq: u64,
    /// Token on the newest message.
    token_seen: Term,
    pub addr: Option<SocketAddr>,
    /// Last sign of life.
    pub heard: Micros,
    /// Last report answered in a way that may have renewed the lease.
    answered: Micros,
    /// Has shown our token since we took its share: what it reports counts.
    pub fenced: bool,
    pub notice: bool,
    /// A direct message is on its way.
    direct: bool,
    direct_token: Term,
    /// Newest message's session and number when it was sent.
    direct_after: (u64, u64),
    /// Its last report was not newer than the one before, or messages between the two are missing.
    ask: bool,
    push: bool,
    /// Not before then: a report may come first, whose answer says it without a message of its own.
    push_after: Micros,
    /// A direct command under this token got no answer and may be carried out at any time.
    doubt: Option<Term>,
    pub probes_failed: u32,
    /// Direct messages in a row without an answer, and since when. Unlike `probes_failed` a report
    /// alone does not undo them: it may come from a machine that can send but not hear.
    unanswered: u32,
    unanswered_since: Micros,
    /// When what was sent last that is known to have arrived.
    heard_us: Micros,
    /// When its newest report came.
    reported: Micros,
    /// Since when it is in this share, under this holder.
    owned_since: Micros,
    /// The newest report: session, number, and whether it came straight from the worker.
    checkin: (u64, u64, bool),
    next_probe: Micros,
    strays: Vec<Stray>,
    /// Of these exited ones that it may not forget yet.
    kept: usize,
    /// Images seen to be there, most recently used last, with their sizes in MB.
    pub cache: Vec<(String, f64)>,
    pub fetches: Vec<Fetch>,
    /// Observed fetch rate, MB per second.
    pub rate: Option<f64>,
    /// Jobs with a failed task here since the last success.
    failed_jobs: BTreeMap<JobId, Failures>,
    /// Since when nothing runs here; for returning and shifting it.
    pub free_since: Option<Micros>,
    /// A change of its record is on its way.
    pub writing: bool,
    /// Its first record is on its way.
    pub adopting: bool,
    /// It obeys a later term than ours: a successor's.
    pub outranked: bool,
}

impl Machine {
    pub fn holds(&self, image: &str) -> bool {
        self.cache.iter().any(|(i, _)| i == image)
    }

    fn is_void(&self, task: &str, attempt: u64) -> bool {
        self.strays.iter().any(|s| s.void && s.attempt == attempt && s.task == task)
    }

    /// No command is in doubt and none of its probes failed since it was last heard.
    pub fn trusted(&self) -> bool {
        self.doubt.is_none() && self.probes_failed == 0 && self.unanswered < 2
    }

    /// Whether it seems to hear nothing that it is sent, though its reports arrive. One whose reports stay
    /// away as well is silent, which is judged otherwise.
    pub fn is_deaf(&self, now: Micros, probes: u32, span: Micros) -> bool {
        let reports = self.reported > self.unanswered_since;
        reports && self.unanswered >= probes && now.since(self.unanswered_since) >= span
    }

    /// Whether its reports don't get through, though it answers what it is sent: its lease runs out, and then again
    /// and again, with whatever it was given in between.
    pub fn is_mute(&self, now: Micros, span: Micros) -> bool {
        let silence = now.since(self.reported.max(self.owned_since));
        silence >= span && self.unanswered == 0 && now.since(self.heard) < silence
    }

    /// We stood still for so long: that it was not heard meanwhile says nothing.
    pub fn excuse(&mut self, now: Micros, pause: Micros) {
        self.heard = (self.heard + pause).min(now);
        self.unanswered_since = (self.unanswered_since + pause).min(now);
        self.owned_since = (self.owned_since + pause).min(now);
        self.reported = (self.reported + pause).min(now);
        self.probes_failed = 0;
    }

    /// A sign that what was sent to it at some time arrived.
    fn hears(&mut self, sent: Micros) {
        self.heard_us = self.heard_us.max(sent);
        if sent >= self.unanswered_since {
            self.unanswered = 0;
        }
    }

    fn message_failed(&mut self, now: Micros) {
        self.probes_failed += 1;
        if self.unanswered == 0 {
            self.unanswered_since = now;
        }
        self.unanswered += 1;
    }

    /// Its share was taken, or it came into another: what was known of it is void. Until now the
    /// former owner may have been heard by it and renewed its lease.
    fn new_owner(&mut self, now: Micros) {
        self.fenced = false;
        self.outranked = false;
        self.push = true;
        self.push_after = Micros::ZERO;
        self.heard = now;
        self.owned_since = now;
        self.answered = now;
        self.doubt = None;
        self.probes_failed = 0;
        self.unanswered = 0;
        self.failed_jobs.clear();
        self.strays.clear();
    }

    /// Jobs that failed here a short while ago and had better try elsewhere.
    pub fn failed_jobs(&self, now: Micros, pause: Micros) -> impl Iterator<Item = &JobId> {
        self.failed_jobs.iter().filter(move |(_, f)| now.since(f.last) < pause).map(|(id, _)| id)
    }

    fn image_used(&mut self, image: &str, megabytes: f64, capacity_mb: f64) {
        self.cache.retain(|(i, _)| i != image);
        self.cache.push((image.to_string(), megabytes));
        let mut total: f64 = self.cache.iter().map(|(_, mb)| mb).sum();
        while total > capacity_mb && self.cache.len() > 1 {
            total -= self.cache.remove(0).1;
        }
    }
}

impl Core {
    fn seat_of_machine(&self, id: &MachineId) -> Option<Seat> {
        self.replica.machines.get(id).map(|m| Seat::Share(m.value.share))
    }

    /// The token for orders to a machine of a share we hold.
    fn token(&self, id: &MachineId) -> Option<Term> {
        let record = &self.replica.machines.get(id)?.value;
        let term = self.held(Seat::Share(record.share))?;
        Some(term.max(record.term))
    }

    pub(super) fn machine_room(&self, id: &MachineId) -> Room {
        let Some(record) = self.replica.machines.get(id) else { return Room::default() };
        self.types.get(&record.value.machine_type).map(|t| t.room).unwrap_or_default()
    }

    /// What is left on a machine after all starts not proven gone.
    pub(super) fn free_room(&self, id: &MachineId) -> Room {
        self.machine_room(id).minus(&self.sums.used_on(id))
    }

    pub(super) fn want_push(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.push = true;
            machine.push_after = Micros::ZERO;
            self.pushes.insert(id.clone());
        }
    }

    /// The machine is to be told something that can wait a moment for its next report: machines with
    /// work report often, and each direct message costs as much as a report.
    pub(super) fn want_push_soon(&mut self, id: &MachineId) {
        let after = self.now() + Micros::from_millis(self.policy.batch_push_ms);
        if let Some(machine) = self.machines.get_mut(id)
            && !machine.push
        {
            machine.push = true;
            machine.push_after = after;
            self.pushes_later.insert((after, id.clone()));
        }
    }

    /// Notes since when nothing runs on it.
    pub(super) fn machine_freed(&mut self, id: &MachineId) {
        let now = self.now();
        let busy = self.sums.is_busy(id);
        if let Some(machine) = self.machines.get_mut(id) {
            if busy {
                machine.free_since = None;
            } else {
                machine.free_since.get_or_insert(now);
            }
        }
    }

    pub(super) fn machine_changed(&mut self, id: &MachineId) {
        let now = self.now();
        match self.replica.machines.get(id) {
            None => {
                // Deleted: whatever was on it is gone.
                for (job, task) in self.sums.starts_on(id) {
                    self.start_gone(&job, task);
                }
                self.machines.remove(id);
            }
            Some(record) => {
                let addr = record.value.addr.parse().ok();
                let share = record.value.share;
                let machine = self.machines.entry(id.clone()).or_default();
                machine.addr = addr.or(machine.addr);
                if machine.share != Some(share) {
                    machine.share = Some(share);
                    machine.new_owner(now);
                }
                if self.sums.is_empty(id) {
                    machine.free_since.get_or_insert(now);
                }
                // A new term or share: only reports that carry it count.
                let token_seen = machine.token_seen;
                let fenced = self.token(id).is_some_and(|t| token_seen >= t);
                if let Some(machine) = self.machines.get_mut(id) {
                    machine.fenced = fenced;
                    machine.push |= !fenced;
                    if machine.push {
                        machine.push_after = Micros::ZERO;
                        self.pushes.insert(id.clone());
                    }
                }
                for held in std::mem::take(&mut self.unbooked) {
                    if held.report.machine == *id {
                        self.report(held.waiter, held.report, true);
                    } else {
                        self.unbooked.push(held);
                    }
                }
            }
        }
    }

    /// A share was taken or lost.
    pub(super) fn share_changed(&mut self, share: u32) {
        let now = self.now();
        let ids: Vec<MachineId> =
            self.replica.machines.iter().filter(|(_, m)| m.value.share == share).map(|(id, _)| id.clone()).collect();
        for id in &ids {
            self.machines.entry(id.clone()).or_default().new_owner(now);
            self.pushes.insert(id.clone());
        }
        self.jobs_of_share_reset(share);
        self.pass_wanted = true;
    }

    pub(super) fn report(&mut self, waiter: Waiter, report: Report, relayed: bool) {
        let answer = match self.sync.done {
            true => self.report_answer(waiter, report, relayed),
            false => Some(WorkerAnswer::Unavailable),
        };
        if let Some(answer) = answer {
            self.out.push(Effect::AnswerWorker(waiter, answer));
        }
    }

    fn report_answer(&mut self, waiter: Waiter, report: Report, relayed: bool) -> Option<WorkerAnswer> {
        let id = report.machine.clone();
        let Some(seat) = self.seat_of_machine(&id) else {
            if self.is_leader() {
                self.unbooked.push(Unbooked { since: self.now(), waiter, report });
                return None;
            }
            return Some(match self.other_holder(Seat::Leader) {
                Some(leader) => WorkerAnswer::Redirect(Some(leader)),
                None => WorkerAnswer::Unavailable,
            });
        };
        let Some(token) = self.token(&id) else {
            return Some(match self.other_holder(seat) {
                Some(owner) => WorkerAnswer::Redirect(Some(owner)),
                None => WorkerAnswer::Unavailable,
            });
        };
        if report.token > token {
            // Somebody has a later term than we know of, or this is news from the future of
            // another share: learn which, and draw a higher one if the machine is ours after all.
            self.reads.wanted = true;
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.doubt = Some(report.token);
                machine.outranked = true;
                machine.fenced = false;
                machine.heard = self.clock.steady;
            }
            return Some(WorkerAnswer::Redirect(None));
        }
        let now = self.now();
        let machine = self.machines.entry(id.clone()).or_default();
        let (session, seq, straight) = machine.checkin;
        if (report.session, report.seq) <= (session, seq) {
            // A copy of a report we have seen, for which nobody waits any more. Or a worker that began
            // anew and counts from the start: an answer would renew a lease that we then take for run
            // out. Asked directly it can't show less than it did before, unless it has begun anew.
            machine.ask = true;
            return Some(WorkerAnswer::Unavailable);
        }
        // A worker that did not hear our last answer would have gone to another controller first.
        if straight && !relayed && session == report.session && report.seq == seq + 1 {
            machine.hears(machine.answered);
        }
        // It said something since that did not reach us: perhaps it did not hear our last answer, and it may be that
        // nothing reaches it. What waits for its next report would never tell.
        machine.ask |= report.session == machine.session && report.seq > machine.seq + 1;
        machine.checkin = (report.session, report.seq, !relayed);
        machine.reported = now;
        self.take_report(&report, true);
        let fenced = match self.machines.get_mut(&id) {
            Some(machine) => {
                machine.answered = now;
                machine.fenced && machine.session == report.session
            }
            None => false,
        };
        // Before the worker has shown our token its report proves nothing; the answer's token
        // makes it report again at once.
        let orders = if fenced { self.orders_for(&id, Some(report.seq)) } else { Vec::new() };
        if let Some(machine) = self.machines.get_mut(&id)
            && fenced
            && orders.len() < ORDERS_MAX
        {
            // All is said.
            machine.push = false;
        }
        Some(WorkerAnswer::Orders(Orders { token, orders }))
    }

    /// Takes in a worker's account of itself. `checkin`: it came as a report, which the worker
    /// sends only after it is through with the answer to the one before.
    fn take_report(&mut self, report: &Report, checkin: bool) {
        let now = self.now();
        let id = &report.machine;
        let Some(token) = self.token(id) else { return };
        let Some(machine) = self.machines.get_mut(id) else { return };
        if (report.session, report.seq) <= (machine.session, machine.seq) {
            return;
        }
        let fenced = report.token >= token;
        machine.outranked = report.token > token;
        // A report without our token may be a copy from before our time: no sign of life.
        if fenced || !checkin {
            machine.heard = now;
            machine.probes_failed = 0;
        }
        if report.session > machine.session {
            // A new session comes with a lease of its own.
            machine.answered = now;
            machine.strays.clear();
            machine.fetches.clear();
        }
        machine.session = report.session;
        machine.seq = report.seq;
        machine.token_seen = report.token;
        machine.notice = report.notice_s.is_some();
        if let Some(addr) = report.addr.as_ref().and_then(|a| a.parse().ok()) {
            machine.addr = Some(addr);
        }
        let first = !machine.fenced;
        machine.fenced = fenced;
        if !machine.fenced {
            return;
        }
        if machine.doubt.is_some_and(|d| report.token > d) {
            machine.doubt = None;
        }
        if first {
            // Until it showed our token a former owner may have gone on renewing its lease.
            machine.answered = now;
        }
        self.pass_wanted |= first;
        self.take_tasks(report, checkin, first);
    }

    /// `first`: this is the first message that shows the machine's present token.
    fn take_tasks(&mut self, report: &Report, checkin: bool, first: bool) {
        let id = &report.machine;
        let mut strays = Vec::new();
        let mut seen: BTreeSet<(JobId, u32)> = BTreeSet::new();
        for reported in &report.tasks {
            let exited = (reported.state == TaskState::Exited).then(|| reported.why.unwrap_or(Why::Unknown));
            let known = TaskId::parse(&reported.task).filter(|t| {
                self.jobs.get(&t.job).and_then(|j| j.live.get(t.index)).is_some_and(|l| {
                    *l.machine() == *id && l.attempt == reported.attempt && l.phase() != Phase::Proposed
                })
            });
            let Some(task) = known else {
                let (task, attempt) = (reported.task.clone(), reported.attempt);
                let void = first || self.machines.get(id).is_some_and(|m| m.is_void(&task, attempt));
                strays.push(Stray { task, attempt, exited: exited.is_some(), void });
                continue;
            };
            seen.insert((task.job.clone(), task.index));
            match exited {
                Some(why) => self.exit_seen(id, &task, why),
                None => self.task_seen(id, &task, reported.state, report.seq),
            }
        }
        let Some(machine) = self.machines.get_mut(id) else { return };
        let kept = strays.iter().filter(|s| s.exited && !s.forgettable()).count();
        machine.strays = strays;
        machine.kept = kept;
        if kept > EXITED_KEPT && machine.doubt.is_none() {
            // A new term makes them forgettable.
            machine.doubt = Some(report.token);
        }
        let quiet = !machine.direct && machine.doubt.is_none();
        let mut starts = self.sums.starts_on(id);
        starts.retain(|s| !seen.contains(s));
        for (job, task) in starts {
            let Some(live) = self.jobs.get(&job).and_then(|j| j.live.get(task)) else { continue };
            if live.phase() == Phase::Proposed || !live.occupies() {
                continue;
            }
            let earlier_session = live.session < report.session;
            // Not there, and no command of ours is on its way that could still start it.
            let absent = checkin && quiet && live.session == report.session && report.seq > live.seq;
            let unwanted = live.stop.is_some() || live.phase().on_machine();
            if earlier_session || (absent && unwanted) {
                self.start_gone(&job, task);
            }
        }
    }

    fn task_seen(&mut self, id: &MachineId, task: &TaskId, state: TaskState, seq: u64) {
        let now = self.now();
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let (image, megabytes) = (job.spec.image.clone(), job.spec.image_gb * 1000.0);
        let Some(live) = job.live.get_mut(task.index) else { return };
        if !live.occupies() {
            return;
        }
        live.sent = true;
        live.seq = live.seq.max(seq);
        let phase = match state {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Waiting => Phase::Waiting,
            TaskState::Running => Phase::Running,
            TaskState::Saving => Phase::Saving,
            TaskState::Exited => return,
        };
        let before = live.phase();
        if before == phase {
            return;
        }
        if phase == Phase::Running {
            live.running_since.get_or_insert(now);
        }
        job.live.set_phase(task.index, phase, &mut self.sums);
        if phase == Phase::Fetching {
            if let Some(machine) = self.machines.get_mut(id)
                && !machine.fetches.iter().any(|f| f.image == image)
            {
                machine.fetches.push(Fetch { image, megabytes, since: now });
            }
            return;
        }
        if phase == Phase::Running {
            let age_ms = self.clock.wall.since(job.accepted).millis();
            tracing::debug!(task = %task, machine = %id, age_ms, kind = ?job.spec.kind, "runs");
        }
        self.image_seen(id, &image, megabytes);
    }

    /// A task that is past fetching shows that its image is there.
    fn image_seen(&mut self, id: &MachineId, image: &str, megabytes: f64) {
        let now = self.now();
        let capacity_mb = self
            .replica
            .machines
            .get(id)
            .and_then(|m| self.types.get(&m.value.machine_type))
            .map_or(f64::INFINITY, |t| t.wire.cache_gb * 1000.0);
        let Some(machine) = self.machines.get_mut(id) else { return };
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

    fn exit_seen(&mut self, id: &MachineId, task: &TaskId, why: Why) {
        let now = self.now();
        let Some(job) = self.jobs.get(&task.job) else { return };
        if !job.live.get(task.index).is_some_and(|l| l.occupies()) {
            return;
        }
        if matches!(why, Why::Done) {
            let (image, megabytes) = (job.spec.image.clone(), job.spec.image_gb * 1000.0);
            self.image_seen(id, &image, megabytes);
        }
        if let Some(machine) = self.machines.get_mut(id) {
            match why {
                Why::Done => machine.failed_jobs.clear(),
                Why::Error => {
                    let failures =
                        machine.failed_jobs.entry(task.job.clone()).or_insert(Failures { count: 0, last: now });
                    failures.count += 1;
                    failures.last = now;
                }
                _ => {}
            }
        }
        self.start_ended(&task.job, task.index, why);
    }

    /// Everything the machine is to be told now. For an answer to a report, `seq` is the
    /// report's number.
    fn orders_for(&mut self, id: &MachineId, seq: Option<u64>) -> Vec<Order> {
        let Some(machine) = self.machines.get(id) else { return Vec::new() };
        let doomed = self.replica.machines.get(id).is_none_or(|m| m.value.hold == Some(Hold::Doomed));
        let mut orders = Vec::new();
        // A copy of a start may be on its way: then forgetting the task would let it start again.
        let may_forget = machine.doubt.is_none() && !machine.direct;
        for stray in &machine.strays {
            let (task, attempt) = (stray.task.clone(), stray.attempt);
            if !stray.exited {
                orders.push(Order::Stop { task, attempt, grace_s: 0.0 });
            } else if may_forget && stray.forgettable() {
                orders.push(Order::Forget { task, attempt });
            }
        }
        let starts = self.sums.starts_on(id);
        let session = machine.session;
        let mut never_sent = Vec::new();
        for (job_id, index) in starts {
            let Some(job) = self.jobs.get_mut(&job_id) else { continue };
            let Some(live) = job.live.get_mut(index) else { continue };
            if live.session != session {
                continue;
            }
            let task = format!("{job_id}/{index}");
            let attempt = live.attempt;
            match (live.phase(), live.stop) {
                (Phase::Recorded, None) if !doomed => {
                    live.sent = true;
                    orders.push(Order::Start { task, attempt });
                }
                (Phase::Recorded, Some(_)) if !live.sent => {
                    never_sent.push((job_id, index));
                    continue;
                }
                (Phase::Recorded | Phase::Fetching | Phase::Waiting | Phase::Running, Some(grace_s)) => {
                    orders.push(Order::Stop { task, attempt, grace_s });
                }
                (Phase::Saving, Some(0.0)) => orders.push(Order::Stop { task, attempt, grace_s: 0.0 }),
                _ => continue,
            }
            if let Some(seq) = seq {
                live.seq = live.seq.max(seq);
            }
            if orders.len() >= ORDERS_MAX {
                break;
            }
        }
        for (job, task) in never_sent {
            self.start_gone(&job, task);
        }
        orders
    }

    /// Sends what can't wait for the next report.
    pub(super) fn push_orders(&mut self) {
        let now = self.now();
        let recent = Micros::from_secs_f64(self.platform.deployment.workers.report_s * 2.0);
        while self.pushes_later.first().is_some_and(|(at, _)| *at <= now) {
            self.pushes.extend(self.pushes_later.pop_first().map(|(_, id)| id));
        }
        for id in std::mem::take(&mut self.pushes) {
            let Some(machine) = self.machines.get(&id).filter(|m| m.push && m.push_after <= now) else { continue };
            if machine.direct || self.direct_open >= self.direct_most {
                // Once the message on its way is answered, or there is room for one more.
                self.pushes.insert(id);
                continue;
            }
            let Some(token) = self.token(&id) else {
                if let Some(machine) = self.machines.get_mut(&id) {
                    machine.push = false;
                }
                continue;
            };
            let Some(machine) = self.machines.get_mut(&id) else { continue };
            machine.push = false;
            let Some(addr) = machine.addr else { continue };
            // Nothing is said to a machine that did not answer last time: it would only be in doubt.
            let alive = now.since(machine.heard) < recent && machine.unanswered == 0;
            let fenced = machine.fenced;
            let session = machine.session.max(1);
            // Without a report under our token an empty message makes the worker show it.
            let orders = if fenced && alive { self.orders_for(&id, None) } else { Vec::new() };
            if fenced && orders.is_empty() {
                continue;
            }
            self.send_direct(&id, addr, DirectOrders { token, session, orders });
        }
    }

    fn send_direct(&mut self, id: &MachineId, addr: SocketAddr, orders: DirectOrders) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.direct = true;
            machine.direct_token = orders.token;
            machine.direct_after = (machine.session, machine.seq);
            machine.ask = false;
        }
        self.direct_open += 1;
        self.out.push(Effect::Orders { machine: id.clone(), addr, orders });
    }

    pub(super) fn orders_outcome(&mut self, id: &MachineId, outcome: OrdersOutcome) {
        self.direct_open = self.direct_open.saturating_sub(1);
        let token = self.token(id);
        let now = self.now();
        let booked = self.replica.machines.contains_key(id);
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.direct = false;
        if let OrdersOutcome::Done(report) | OrdersOutcome::Rejected(report) = &outcome
            && report.machine == *id
        {
            machine.hears(now);
            if !booked && self.is_leader() {
                self.leader.alive.insert(id.clone(), now);
                return;
            }
        }
        let Some(machine) = self.machines.get_mut(id) else { return };
        let looking = self.seats.unfit || self.seats.looking_since.is_some();
        if looking && matches!(outcome, OrdersOutcome::Done(_) | OrdersOutcome::Rejected(_)) {
            self.seats.answered += 1;
        }
        match outcome {
            OrdersOutcome::Done(report) | OrdersOutcome::Rejected(report) => {
                if report.machine != *id || token.is_none_or(|t| report.token > t) {
                    machine.outranked |= report.machine == *id;
                    self.reads.wanted = true;
                    return;
                }
                // It answered what was sent after its newest message, and yet shows a smaller number: its
                // worker began anew and what was on it is gone. Sessions can't tell, a deletion can.
                let regressed = (report.session, report.seq) <= machine.direct_after;
                if regressed {
                    tracing::warn!(machine = %id, "the worker has forgotten its session");
                    self.set_hold(id, Hold::Doomed);
                    return;
                }
                let wrong_session = report.session != machine.session;
                self.take_report(&report, false);
                if wrong_session {
                    self.want_push(id);
                }
            }
            OrdersOutcome::Failed(Failure::NotDone) => machine.message_failed(now),
            OrdersOutcome::Failed(Failure::Unknown) => {
                machine.message_failed(now);
                machine.doubt = machine.doubt.max(Some(machine.direct_token));
            }
        }
    }

    pub(super) fn machines_txn_over(&mut self, ids: &[MachineId]) {
        for id in ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.writing = false;
                machine.adopting = false;
            }
            self.leader.deleting.remove(id);
        }
    }

    pub(super) fn tick_machines(&mut self) {
        let now = self.now();
        let late = Micros::from_millis(1000);
        for held in std::mem::take(&mut self.unbooked) {
            if now.since(held.since) > late {
                self.out.push(Effect::AnswerWorker(held.waiter, WorkerAnswer::Unavailable));
            } else {
                self.unbooked.push(held);
            }
        }
        if now < self.next_machines {
            return;
        }
        self.next_machines = now + MACHINES_EVERY;
        let ours: Vec<MachineId> = self
            .replica
            .machines
            .iter()
            .filter(|(_, m)| self.held(Seat::Share(m.value.share)).is_some())
            .map(|(id, _)| id.clone())
            .collect();
        let booked = &self.replica.machines;
        self.machines.retain(|id, m| booked.contains_key(id) || m.direct || m.writing || m.adopting);
        self.judge_contact(&ours);
        self.expire_leases(&ours);
        self.clear_cancelled();
        self.probe(&ours);
        self.judge_deaf(&ours);
        self.replace_silent(&ours);
        self.replace_deaf(&ours);
        self.replace_mute(&ours);
        self.fence_doubtful(&ours);
        self.retire_faulty(&ours);
        self.drain_retired(&ours);
        self.leave_noticed(&ours);
        self.move_machines();
    }

    /// A worker whose lease has surely run out has killed its tasks. Only our answers can have
    /// renewed it once it has shown our token.
    fn expire_leases(&mut self, ours: &[MachineId]) {
        let now = self.now();
        let lease_s = self.platform.deployment.workers.lease_s;
        let lease = Micros::from_secs_f64(lease_s * 1.002 + 1.0);
        for id in ours {
            let Some(machine) = self.machines.get(id) else { continue };
            if !machine.fenced || now.since(machine.answered) <= lease {
                continue;
            }
            let session = machine.session;
            for (job, task) in self.sums.starts_on(id) {
                let expired = self
                    .jobs
                    .get(&job)
                    .and_then(|j| j.live.get(task))
                    .is_some_and(|l| l.session <= session && l.phase() != Phase::Proposed);
                if expired {
                    self.start_gone(&job, task);
                }
            }
        }
    }

    /// Asks for a sign of life: machines that didn't answer or whose report is late, and between their
    /// reports those with services, whose loss is felt at once. The latter only as far as the rate of
    /// probes allows, those heard longest ago first: a controller that holds all shares would do little
    /// else. What has no place now comes first in the next round.
    fn probe(&mut self, ours: &[MachineId]) {
        let now = self.now();
        let early = Micros::from_millis(self.policy.probe_after_ms);
        let late = Micros::from_secs_f64(self.platform.deployment.workers.report_s * self.policy.report_late_part);
        let mut due: Vec<(bool, Micros, &MachineId)> = Vec::new();
        let mut quiet: BTreeMap<&str, Vec<(Micros, &MachineId)>> = BTreeMap::new();
        let mut doubted: BTreeSet<&str> = BTreeSet::new();
        for id in ours {
            let (Some(machine), Some(record)) = (self.machines.get(id), self.replica.machines.get(id)) else {
                continue;
            };
            let zone = record.value.zone.as_str();
            if machine.unanswered > 0 {
                doubted.insert(zone);
            }
            let silence = now.since(machine.heard);
            // Also one that reports but did not answer the last message.
            let suspect = machine.unanswered > 0 || machine.ask || silence >= late.max(early);
            if machine.direct || now < machine.next_probe || !(suspect || silence >= early) {
                continue;
            }
            if suspect || self.sums.serves(id) {
                due.push((!suspect, machine.heard, id));
            } else {
                quiet.entry(zone).or_default().push((machine.heard, id));
            }
        }
        // Where one fails to answer, a few others of its zone are asked at once, whatever they run: whether
        // one machine is lost or all are cut off must show before anything is decided.
        for zone in doubted {
            let mut others = quiet.remove(zone).unwrap_or_default();
            others.sort_unstable();
            due.extend(others.into_iter().take(WIDENED).map(|(heard, id)| (false, heard, id)));
            let routine = due.iter_mut().filter(|(routine, _, id)| {
                *routine && self.replica.machines.get(*id).is_some_and(|m| m.value.zone == zone)
            });
            routine.take(WIDENED).for_each(|(routine, ..)| *routine = false);
        }
        due.sort_unstable();
        let rate = self.policy.probes_per_s;
        self.probes_left = (self.probes_left + now.since(self.probed_at).secs() * rate).min(rate.max(1.0));
        self.probed_at = now;
        for (routine, _, id) in due {
            if self.direct_open >= self.direct_most || (routine && self.probes_left < 1.0) {
                break;
            }
            if routine {
                self.probes_left -= 1.0;
            }
            let Some(token) = self.token(id) else { continue };
            let Some(machine) = self.machines.get_mut(id) else { continue };
            let Some(addr) = machine.addr else { continue };
            machine.next_probe = now + Micros::from_millis(self.policy.probe_ms);
            let session = machine.session.max(1);
            self.send_direct(id, addr, DirectOrders { token, session, orders: Vec::new() });
        }
    }

    /// Asks a machine that is not in the books for a sign of life. The token 0 moves nobody to
    /// anything.
    pub(super) fn ask_for_life(&mut self, id: &MachineId, addr: Option<&str>) {
        let Some(addr) = addr.and_then(|a| a.parse().ok()) else { return };
        let now = self.now();
        let machine = self.machines.entry(id.clone()).or_default();
        if machine.direct || now < machine.next_probe || self.direct_open >= self.direct_most {
            return;
        }
        machine.next_probe = now + Micros::from_millis(self.policy.probe_ms);
        self.send_direct(id, addr, DirectOrders { token: Term(0), session: 0, orders: Vec::new() });
    }

    /// Asks a few machines of whatever share for a sign of life. The token 0 moves nobody to
    /// anything.
    pub(super) fn look_for_machines(&mut self) {
        let every = (self.replica.machines.len() / 4).max(1);
        let ids: Vec<MachineId> = self.replica.machines.keys().step_by(every).cloned().collect();
        for id in ids {
            let Some(machine) = self.machines.get(&id) else { continue };
            if let Some(addr) = machine.addr.filter(|_| !machine.direct) {
                self.send_direct(&id, addr, DirectOrders { token: Term(0), session: 0, orders: Vec::new() });
            }
        }
    }

    /// A single machine gone silent is deleted, which proves its tasks gone sooner than its lease
    /// would. If many are silent the fault is ours or a cut's, and they may come back.
    fn replace_silent(&mut self, ours: &[MachineId]) {
        let now = self.now();
        let after = Micros::from_millis(self.policy.replace_after_ms);
        let silent: Vec<MachineId> = ours
            .iter()
            .filter(|id| {
                self.machines
                    .get(*id)
                    .is_some_and(|m| m.probes_failed >= self.policy.probes_failed && now.since(m.heard) >= after)
            })
            .cloned()
            .collect();
        // Never heard since we took the share, for longer than a lease: nothing but a deletion can
        // prove its tasks gone, however many are silent.
        let lease = Micros::from_secs_f64(self.platform.deployment.workers.lease_s * 1.002 + 2.0);
        let lost: Vec<MachineId> = silent
            .iter()
            .filter(|id| self.machines.get(*id).is_some_and(|m| !m.fenced && now.since(m.heard) >= lease))
            .cloned()
            .collect();
        for id in &lost {
            self.set_hold(id, Hold::Doomed);
        }
        // Machines go silent one by one even if all are cut off at once, as each was last heard at
        // a moment of its own. So the others must have been heard well after this one fell silent.
        let gap = Micros::from_millis(self.policy.probe_after_ms + self.policy.probe_ms);
        if self.many_deaf.is_some_and(|at| now.since(at) < after) {
            return;
        }
        if silent.is_empty() {
            return;
        }
        let others = Contacts::of(ours.iter().filter_map(|id| self.machines.get(id)));
        let mut zones: BTreeMap<&str, Contacts> = BTreeMap::new();
        let mut lost_for_good = Vec::new();
        let mut cut: BTreeSet<String> = BTreeSet::new();
        let mut many_silent = false;
        for id in silent {
            let Some(last) = self.machines.get(&id).map(|m| m.heard) else { continue };
            let Some(zone) = self.replica.machines.get(&id).map(|m| m.value.zone.as_str()) else { continue };
            let in_zone = zones.entry(zone).or_insert_with(|| {
                let there = |id: &&MachineId| self.replica.machines.get(*id).is_some_and(|m| m.value.zone == zone);
                Contacts::of(ours.iter().filter(there).filter_map(|id| self.machines.get(id)))
            });
            let (lost, heard) = others.since(last + gap);
            let (lost_there, heard_there) = in_zone.since(last + gap);
            // It is itself among the lost.
            let (lost, all) = (lost.saturating_sub(1), (lost + heard).saturating_sub(1));
            // With hardly any other to compare with, more patience.
            let alone = all < 2 && now.since(last) < Micros(after.0 * 3);
            // In a small share one other may well be lost too, but if none at all was heard the fault is ours.
            let many = lost as f64 > (all as f64 * self.policy.replace_max_part).max(1.0) || (all >= 2 && heard == 0);
            // Most of its zone and hardly anything else: the zone is cut off, its machines work on.
            let zone_lost = lost_there >= ZONE_LOST_LEAST
                && lost_there as f64 > (lost_there + heard_there) as f64 * self.policy.zone_max_part;
            // When a cut ends, its machines are heard again one by one, and the last need a while.
            let zone_was_lost = self.zones_cut.get(zone).is_some_and(|at| now.since(*at) < after);
            if many {
                many_silent = true;
            } else if zone_lost {
                cut.insert(zone.to_string());
            } else if !alone && !zone_was_lost {
                lost_for_good.push(id);
            }
        }
        self.zones_cut.extend(cut.into_iter().map(|zone| (zone, now)));
        if many_silent {
            self.many_deaf = Some(now);
            return;
        }
        for id in lost_for_good {
            self.set_hold(&id, Hold::Doomed);
        }
    }

    /// How many machines fail to answer, and of how many that can be said: of those that heard something
    /// since the first of them fell silent, too. The rest were sent nothing.
    fn deaf_of(&self, ours: &[MachineId]) -> (usize, usize) {
        let machines = || ours.iter().filter_map(|id| self.machines.get(id));
        let deaf = || machines().filter(|m| m.unanswered >= 2);
        let Some(since) = deaf().map(|m| m.unanswered_since).min() else { return (0, ours.len()) };
        let count = deaf().count();
        (count, count + machines().filter(|m| m.unanswered < 2 && m.heard_us > since).count())
    }

    /// Machines that can send but not hear look alive in turns, and when such a time ends they are heard
    /// again one by one. While many fail to answer, and a while after, none is judged by that.
    fn judge_deaf(&mut self, ours: &[MachineId]) {
        let (deaf, known) = self.deaf_of(ours);
        if deaf as f64 > (known as f64 * self.policy.replace_max_part).max(2.0) {
            self.many_deaf = Some(self.now());
        }
    }

    /// A machine whose reports arrive though nothing reaches it: its lease runs out again and again,
    /// and whatever it is given is lost. Replaced like a silent one, unless many are so at once:
    /// then the fault is our own network.
    fn replace_deaf(&mut self, ours: &[MachineId]) {
        let now = self.now();
        let span = Micros::from_millis(self.policy.mute_after_ms);
        let deaf_long: Vec<MachineId> = ours
            .iter()
            .filter(|id| self.machines.get(*id).is_some_and(|m| m.is_deaf(now, self.policy.mute_probes, span)))
            .cloned()
            .collect();
        if deaf_long.is_empty() {
            return;
        }
        // Some fall silent a little later than others: those on their way there count as well, and at
        // least one other must have heard something.
        let (deaf, known) = self.deaf_of(ours);
        let most = (known as f64 * self.policy.replace_max_part).max(1.0);
        let many = self.many_deaf.is_some_and(|at| now.since(at) < span);
        if !many && deaf as f64 <= most && known > deaf {
            for id in &deaf_long {
                self.set_hold(id, Hold::Doomed);
            }
        }
    }

    /// Without a report for so long a machine's reports are taken not to get through: the next is due, and a few
    /// controllers may have to be tried in vain.
    pub(super) fn unreported_span(&self) -> Micros {
        let report = Micros::from_secs_f64(self.platform.deployment.workers.report_s * 1.25);
        report + Micros::from_millis(self.policy.unreported_ms)
    }

    /// A machine whose reports reach no controller is replaced while its lease lasts, unless many are so: then
    /// the fault is elsewhere.
    fn replace_mute(&mut self, ours: &[MachineId]) {
        let now = self.now();
        let span = self.unreported_span();
        let mute: Vec<MachineId> =
            ours.iter().filter(|id| self.machines.get(*id).is_some_and(|m| m.is_mute(now, span))).cloned().collect();
        // Their last reports came at different moments: those on their way there count as well.
        let half = span - Micros(Micros::from_millis(self.policy.unreported_ms).0 / 2);
        let late = ours.iter().filter(|id| self.machines.get(*id).is_some_and(|m| m.is_mute(now, half))).count();
        if late as f64 > (ours.len() as f64 * self.policy.replace_max_part).max(1.0) {
            self.many_mute = Some(now);
        }
        // When such a time ends they are heard again one by one.
        if mute.is_empty() || self.many_mute.is_some_and(|at| now.since(at) < span) {
            return;
        }
        for id in &mute {
            self.set_hold(id, Hold::Doomed);
        }
    }

    /// Changes a machine's record under the condition that it is as we know it.
    pub(super) fn write_machine(
        &mut self,
        id: &MachineId,
        what: MachineChange,
        change: impl FnOnce(&mut MachineRecord),
    ) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let Some(held) = self.replica.machines.get(id) else { return };
        if machine.writing {
            return;
        }
        let mut record = held.value.clone();
        change(&mut record);
        if record == held.value {
            return;
        }
        machine.writing = true;
        let mut draft = Draft::default();
        draft.unchanged(&self.replica, Key::Machine(id.clone()));
        draft.put(Key::Machine(id.clone()), to_value(&record));
        self.submit_txn(draft, Purpose::Machines(what, vec![id.clone()]));
    }

    pub(super) fn set_hold(&mut self, id: &MachineId, hold: Hold) {
        let before = self.replica.machines.get(id).and_then(|m| m.value.hold);
        let writing = self.machines.get(id).is_none_or(|m| m.writing);
        if before != Some(Hold::Doomed) && before != Some(hold) && !writing {
            tracing::info!(machine = %id, ?hold, "machine put on hold");
            let what = match hold {
                Hold::Move(_) => MachineChange::Move,
                Hold::Retire => MachineChange::Return,
                Hold::Doomed | Hold::Gone => MachineChange::Replace,
            };
            self.write_machine(id, what, |record| record.hold = Some(hold));
        }
    }

    /// Machines with a direct command in doubt get a new term once they are heard again: a report
    /// that carries it proves the command void. For a few each gets one of its own; many in one
    /// share get the share's, which costs two changes however many they are.
    fn fence_doubtful(&mut self, ours: &[MachineId]) {
        let now = self.now();
        if now < self.next_fence {
            return;
        }
        let recent = Micros::from_secs_f64(self.platform.deployment.workers.report_s * 2.0);
        let mut doubtful: BTreeMap<u32, Vec<MachineId>> = BTreeMap::new();
        for id in ours {
            let token = self.token(id).unwrap_or_default();
            let Some(machine) = self.machines.get(id) else { continue };
            let Some(share) = machine.share else { continue };
            let in_doubt = machine.doubt.is_some_and(|d| d >= token);
            if in_doubt && !machine.writing && !machine.direct && now.since(machine.heard) < recent {
                doubtful.entry(share).or_default().push(id.clone());
            }
        }
        let Some((share, ids)) = doubtful.into_iter().max_by_key(|(_, ids)| ids.len()) else {
            return self.clear_exited(ours);
        };
        // All controllers draw from one counter: at random times they rarely meet.
        let pause = self.rng.random_range(FENCE_EVERY.0 / 2..FENCE_EVERY.0 * 3 / 2);
        self.next_fence = now + Micros(pause);
        let worst = ids.iter().filter_map(|id| self.machines.get(id)?.doubt).max().unwrap_or_default();
        let term = Term(self.replica.term_now().0.max(worst.0) + 1);
        if ids.len() > FENCE_EACH {
            self.renew_share(share, term);
            return;
        }
        let mut draft = Draft::default();
        draft.unchanged(&self.replica, Key::Term);
        draft.unchanged(&self.replica, Key::Seat(Seat::Share(share)));
        draft.put(Key::Term, to_value(&term));
        for id in &ids {
            let Some(held) = self.replica.machines.get(id) else { continue };
            let mut record = held.value.clone();
            record.term = term;
            draft.unchanged(&self.replica, Key::Machine(id.clone()));
            draft.put(Key::Machine(id.clone()), to_value(&record));
            if let Some(machine) = self.machines.get_mut(id) {
                machine.writing = true;
            }
        }
        self.submit_txn(draft, Purpose::Machines(MachineChange::Term, ids));
    }

    /// Workers name exited tasks in every message until they may forget them, which takes a new term. Where
    /// that makes up most of the messages, reading them costs more than the term.
    fn clear_exited(&mut self, ours: &[MachineId]) {
        let mut kept: BTreeMap<u32, (usize, usize)> = BTreeMap::new();
        for machine in ours.iter().filter_map(|id| self.machines.get(id)) {
            if let Some(share) = machine.share {
                let sums = kept.entry(share).or_default();
                *sums = (sums.0 + machine.kept, sums.1 + 1);
            }
        }
        let mean = |(exited, machines): (usize, usize)| exited as f64 / machines.max(1) as f64;
        let worst = kept.into_iter().max_by(|a, b| mean(a.1).total_cmp(&mean(b.1)));
        if let Some((share, sums)) = worst.filter(|(_, sums)| mean(*sums) > self.policy.exited_mean) {
            tracing::debug!(
                share,
                exited = sums.0,
                machines = sums.1,
                "a new term, so that exited tasks are forgotten"
            );
            self.next_fence = self.now() + Micros::from_millis(self.policy.exited_every_ms);
            self.renew_share(share, Term(self.replica.term_now().0 + 1));
        }
    }

    /// The share has a new term under the same owner: what is known stays, but from here on only
    /// messages that carry the term prove anything.
    pub(super) fn share_renewed(&mut self, share: u32) {
        let ids: Vec<MachineId> =
            self.replica.machines.iter().filter(|(_, m)| m.value.share == share).map(|(id, _)| id.clone()).collect();
        for id in ids {
            let token = self.token(&id);
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.fenced = token.is_some_and(|t| machine.token_seen >= t);
                machine.push |= !machine.fenced;
                machine.push_after = Micros::ZERO;
                self.pushes.insert(id);
            }
        }
    }

    /// Tasks of different jobs failing on one machine speak against the machine.
    fn retire_faulty(&mut self, ours: &[MachineId]) {
        for id in ours {
            let Some(machine) = self.machines.get(id) else { continue };
            let most = self.policy.faulty_after;
            // One job alone speaks against the machine if it fails again and again there and has
            // failed nowhere else; one that fails everywhere speaks against itself.
            let alone = |job: &JobId, f: &Failures| {
                f.count > most * 2
                    && !self.machines.iter().any(|(other, m)| other != id && m.failed_jobs.contains_key(job))
            };
            let faulty = machine.failed_jobs.len() >= most as usize
                || machine.failed_jobs.iter().any(|(job, failures)| alone(job, failures));
            if !faulty {
                continue;
            }
            let hold = self.replica.machines.get(id).and_then(|m| m.value.hold);
            if hold.is_none() {
                tracing::warn!(machine = %id, "tasks of several jobs fail there");
                self.set_hold(id, Hold::Retire);
            }
        }
    }

    /// A machine to be returned is emptied first.
    fn drain_retired(&mut self, ours: &[MachineId]) {
        for id in ours {
            if self.replica.machines.get(id).is_some_and(|m| m.value.hold == Some(Hold::Retire)) {
                self.stop_where(id, |_| true);
            }
        }
    }

    /// Services leave a machine that is about to be taken while there is time; other work runs
    /// on, it may finish.
    fn leave_noticed(&mut self, ours: &[MachineId]) {
        for id in ours {
            if self.machines.get(id).is_some_and(|m| m.notice) {
                self.stop_services(id);
            }
        }
    }

    fn stop_services(&mut self, id: &MachineId) {
        self.stop_where(id, |kind| kind == Kind::Service);
    }

    fn stop_where(&mut self, id: &MachineId, wanted: impl Fn(Kind) -> bool) {
        let grace = self.policy.stop_grace_s;
        let mut push = false;
        for (job, task) in self.sums.starts_on(id) {
            let Some(job) = self.jobs.get_mut(&job) else { continue };
            if !wanted(job.spec.kind) {
                continue;
            }
            if let Some(live) = job.live.get_mut(task)
                && live.occupies()
                && live.phase() != Phase::Proposed
                && live.stop.is_none()
            {
                live.stop = Some(if job.spec.checkpoint_s > 0.0 { grace } else { 0.0 });
                push = true;
            }
        }
        if push {
            self.want_push(id);
        }
    }
}
