//! The leader's work: takes machines into the books, plans which share gets which, rents and returns.

use super::jobs::Job;
use super::txns::{CONDITIONS_PER_WRITE, Draft, MachineChange, Purpose};
use super::users::VALUE_FILL;
use super::{CloudCall, CloudOutcome, Core, Effect, TypeInfo};
use crate::bookkeeping::schema::{FleetMember, Hold, Key, MachineRecord, Seat, to_value};
use crate::protocol::cloud::{ListedMachine, ListedState, Rental};
use crate::protocol::user::{JobSpec, Kind, Priority};
use crate::protocol::worker::Report;
use crate::units::{JobId, MachineId, Micros, Room, Term};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A machine rented or listed that has no record yet.
#[derive(Clone, Debug)]
struct Boot {
    machine_type: String,
    zone: String,
    spot: bool,
    since: Micros,
    last_listed: Micros,
}

#[derive(Clone, Debug)]
pub(super) enum Call {
    Types,
    List,
    Rent(Rental, u32),
    Delete(Vec<MachineId>),
    /// By their share's holder, as nothing else proved in time that cancelled tasks are gone.
    Clear(Vec<MachineId>),
}

/// A kind of machine as the cloud rents it out: type, zone, spot or not.
type Offer = (String, String, bool);

#[derive(Default)]
pub(super) struct Leader {
    calls: BTreeMap<u64, Call>,
    /// Calls to be made again, with what they were.
    again: Vec<(Micros, Call)>,
    page: Vec<ListedMachine>,
    next_list: Micros,
    listing: bool,
    listed_once: bool,
    boots: BTreeMap<MachineId, Boot>,
    refused: HashMap<Offer, Micros>,
    pub deleting: BTreeSet<MachineId>,
    /// Machines whose deletion was confirmed; late reports of theirs count for nothing.
    pub deleted: BTreeMap<MachineId, Micros>,
    next_plan: Micros,
    next_tidy: Micros,
    /// Machines not in the books that answered when they were asked.
    pub alive: BTreeMap<MachineId, Micros>,
    /// What the shares lacked in the last plan, most urgent first.
    need: Vec<Unmet>,
    charters: u64,
    /// Since when lists of submissions were seen that no job names.
    unnamed: HashMap<String, Micros>,
}

/// A machine's room in the plan.
struct Slot {
    id: Option<MachineId>,
    machine_type: String,
    zone: String,
    spot: bool,
    free: Room,
    untouched: bool,
}

/// Tasks that found no room in the plan.
#[derive(Clone)]
struct Unmet {
    share: u32,
    spec: JobSpec,
    count: u64,
    /// Where the job's other tasks are or will be.
    zones: BTreeMap<String, u64>,
}

/// So long a machine's answer counts as a sign that it exists.
const ALIVE_SPAN: Micros = Micros::from_millis(5000);
/// One in so many machines is returned at a time, so that a short lull doesn't empty the cluster.
const RETURN_PART: usize = 100;
const PLAN_EVERY: Micros = Micros::from_millis(500);
/// A submission's lists are written down some time before the job that names them, but not so long.
const UNNAMED_SPAN: Micros = Micros::from_millis(60_000);
const TIDY_EVERY: Micros = Micros::from_millis(2000);
const LIST_EVERY: Micros = Micros::from_millis(2500);
const TYPES_EVERY: Micros = Micros::from_millis(60_000);

impl Core {
    pub(super) fn cloud(&mut self, call: Call) {
        let request = match &call {
            Call::Types => CloudCall::Types,
            Call::List => CloudCall::List { after: self.leader.page.last().map(|m| m.id.clone()) },
            Call::Rent(rental, _) => CloudCall::Rent(rental.clone()),
            Call::Delete(ids) | Call::Clear(ids) => CloudCall::Delete(ids.clone()),
        };
        let number = self.next_call;
        self.next_call += 1;
        self.leader.calls.insert(number, call);
        self.out.push(Effect::Cloud { call: number, request });
    }

    pub(super) fn tick_types(&mut self) {
        let now = self.now();
        let due = if self.types.is_empty() { Micros::from_millis(1000) } else { TYPES_EVERY };
        if self.types_asked == Micros::ZERO || now.since(self.types_asked) >= due {
            self.types_asked = now.max(Micros(1));
            self.cloud(Call::Types);
        }
    }

    pub(super) fn leader_changed(&mut self) {
        if self.is_leader() {
            self.leader.listed_once = false;
            self.leader.next_list = self.now();
            self.leader.boots.clear();
            self.leader.deleting.clear();
            self.leader.next_plan = self.now() + PLAN_EVERY;
        }
    }

    pub(super) fn cloud_outcome(&mut self, number: u64, outcome: CloudOutcome) {
        let Some(call) = self.leader.calls.remove(&number) else { return };
        let now = self.now();
        match (call, outcome) {
            (Call::Types, CloudOutcome::Types(types)) => {
                self.types = types
                    .types
                    .into_iter()
                    .map(|t| {
                        let room = Room::new(t.cpus, t.gpus, t.memory_gb);
                        (t.name.clone(), TypeInfo { wire: t, room })
                    })
                    .collect();
                self.pass_wanted = true;
            }
            (Call::Types, _) => {}
            (Call::List, CloudOutcome::List(list)) => {
                self.leader.listing = false;
                let more = list.more && !list.machines.is_empty();
                self.leader.page.extend(list.machines);
                if more && self.is_leader() {
                    self.leader.listing = true;
                    self.cloud(Call::List);
                } else {
                    let machines = std::mem::take(&mut self.leader.page);
                    self.take_list(machines);
                }
            }
            (Call::List, _) => {
                self.leader.listing = false;
                self.leader.page.clear();
            }
            (Call::Rent(rental, _), CloudOutcome::Rented(names)) => {
                let offer = (rental.machine_type.clone(), rental.zone.clone(), rental.spot);
                tracing::info!(offer = ?offer, asked = rental.count, got = names.machines.len(), "rented");
                if (names.machines.len() as u32) < rental.count {
                    self.refuse(offer, now);
                }
                for id in names.machines {
                    if !self.replica.machines.contains_key(&id) {
                        let boot = Boot {
                            machine_type: rental.machine_type.clone(),
                            zone: rental.zone.clone(),
                            spot: rental.spot,
                            since: now,
                            last_listed: now,
                        };
                        self.leader.boots.entry(id).or_insert(boot);
                    }
                }
            }
            (Call::Rent(rental, _), CloudOutcome::NoCapacity) => {
                let offer = (rental.machine_type, rental.zone, rental.spot);
                tracing::info!(offer = ?offer, "no capacity");
                self.refuse(offer, now);
            }
            (Call::Rent(rental, tries), _) => {
                // It may have been carried out: the same name again tells what it brought.
                if tries < 8 {
                    self.leader.again.push((now + Micros::from_millis(1000), Call::Rent(rental, tries + 1)));
                }
            }
            (Call::Delete(ids), CloudOutcome::Deleted) => {
                let mut booked = Vec::new();
                for id in ids {
                    tracing::info!(machine = %id, "machine deleted");
                    self.leader.boots.remove(&id);
                    self.leader.deleted.insert(id.clone(), now);
                    if self.replica.machines.contains_key(&id) {
                        booked.push(id);
                    } else {
                        self.leader.deleting.remove(&id);
                    }
                }
                self.strike_out(booked);
            }
            (Call::Clear(ids), CloudOutcome::Deleted) => self.machines_cleared(ids),
            // Asked for again as long as it is due.
            (Call::Clear(_), _) => {}
            (Call::Delete(ids), _) => self.leader.again.push((now + Micros::from_millis(500), Call::Delete(ids))),
        }
    }

    /// Takes deleted machines out of the books, which proves to their shares that nothing is left
    /// on them.
    pub(super) fn strike_out(&mut self, ids: Vec<MachineId>) {
        let returned =
            |id: &MachineId| self.replica.machines.get(id).is_some_and(|held| held.value.hold == Some(Hold::Retire));
        let (returned, lost): (Vec<_>, Vec<_>) = ids.into_iter().partition(returned);
        self.strike_out_as(MachineChange::Return, returned);
        self.strike_out_as(MachineChange::Replace, lost);
    }

    fn strike_out_as(&mut self, change: MachineChange, ids: Vec<MachineId>) {
        let most = self.platform.deployment.state.ops();
        for ids in ids.chunks(most) {
            let mut draft = Draft::default();
            for id in ids {
                let key = Key::Machine(id.clone());
                draft.unchanged(&self.replica, key.clone());
                // As long as a fleet names it, a note must say that it is gone.
                match (self.replica.fleet_of(id), self.replica.machines.get(id)) {
                    (Some(_), Some(held)) => {
                        let record = MachineRecord { hold: Some(Hold::Gone), ..held.value.clone() };
                        draft.put(key, to_value(&record));
                    }
                    _ => draft.delete(key),
                }
            }
            self.submit_txn(draft, Purpose::Machines(change, ids.to_vec()));
        }
    }

    fn refuse(&mut self, offer: Offer, now: Micros) {
        let until = now + Micros::from_millis(self.policy.refused_pause_ms);
        self.leader.refused.insert(offer, until);
        self.leader.next_plan = now;
    }

    fn take_list(&mut self, machines: Vec<ListedMachine>) {
        let now = self.now();
        self.leader.listed_once = true;
        let mut failed = Vec::new();
        for machine in machines {
            let id = machine.id.clone();
            if machine.state == ListedState::Failed {
                if self.replica.machines.contains_key(&id) {
                    self.set_hold_of(&id, Hold::Doomed);
                } else if !self.leader.deleted.contains_key(&id) {
                    // The list lags: one that was deleted stays on it as failed for a while.
                    failed.push(id);
                }
                continue;
            }
            let gone = self.leader.deleted.contains_key(&id) || self.replica.is_gone(&id);
            if self.replica.machines.contains_key(&id) || gone {
                continue;
            }
            let boot = self.leader.boots.entry(id).or_insert_with(|| Boot {
                machine_type: machine.machine_type,
                zone: machine.zone,
                spot: machine.spot,
                since: now - Micros::from_secs_f64(machine.age_s),
                last_listed: now,
            });
            boot.last_listed = now;
        }
        self.delete(failed);
    }

    fn set_hold_of(&mut self, id: &MachineId, hold: Hold) {
        self.machines.entry(id.clone()).or_default();
        self.set_hold(id, hold);
    }

    fn delete(&mut self, ids: Vec<MachineId>) {
        let ids: Vec<MachineId> = ids.into_iter().filter(|id| self.leader.deleting.insert(id.clone())).collect();
        for part in ids.chunks(100) {
            self.cloud(Call::Delete(part.to_vec()));
        }
    }

    pub(super) fn tick_leader(&mut self) {
        let now = self.now();
        if !self.is_leader() {
            self.leader.again.clear();
            return;
        }
        if !self.surely_leads() {
            return;
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.leader.again).into_iter().partition(|(at, _)| *at <= now);
        self.leader.again = later;
        for (_, call) in due {
            self.cloud(call);
        }
        if !self.leader.listing && now >= self.leader.next_list {
            self.leader.listing = true;
            self.leader.next_list = now + LIST_EVERY;
            self.cloud(Call::List);
        }
        self.leader.deleted.retain(|_, at| now.since(*at) < Micros::from_millis(600_000));
        self.adopt();
        self.delete_held();
        self.give_up_boots();
        self.tidy();
        if now >= self.leader.next_plan && self.leader.listed_once && !self.types.is_empty() {
            self.leader.next_plan = now + PLAN_EVERY;
            self.plan();
        }
    }

    /// Machines that report and have no record get one, in the share that needs them most.
    fn adopt(&mut self) {
        let mut members: Vec<FleetMember> = Vec::new();
        let mut refused = Vec::new();
        let limits = self.platform.deployment.state.clone();
        let room = (limits.least_value_kb() * 1024.0 * VALUE_FILL) as usize;
        let mut size = 0;
        let reports: Vec<_> = self.unbooked.iter().map(|held| held.report.clone()).collect();
        let now = self.now();
        self.leader.alive.retain(|_, at| now.since(*at) < ALIVE_SPAN);
        for report in reports {
            let id = report.machine.clone();
            if self.replica.machines.contains_key(&id) || members.iter().any(|m| m.id == id) {
                continue;
            }
            let deleted = self.leader.deleting.contains(&id) || self.leader.deleted.contains_key(&id);
            if deleted || self.replica.is_gone(&id) {
                // It reports after its deletion: an old report, or the deletion missed it.
                refused.push(id);
                continue;
            }
            if self.machines.get(&id).is_some_and(|m| m.adopting) {
                continue;
            }
            // A report may be a late copy, and its machine long gone. Only one that answers when
            // asked is taken in.
            if !self.leader.alive.contains_key(&id) {
                self.ask_for_life(&id, report.addr.as_deref());
                continue;
            }
            let share = self.neediest_share(&report, &members);
            let record = MachineRecord {
                share,
                term: Term(0),
                machine_type: report.machine_type.clone(),
                zone: report.zone.clone(),
                spot: report.spot,
                addr: report.addr.clone().unwrap_or_default(),
                hold: None,
            };
            let member = FleetMember { id, record };
            let more = serde_json::to_string(&member).map_or(room, |text| text.len() + 1);
            // The seat's condition and the fleet's own leave room for so many machines'.
            if size + more > room || members.len() + 2 == limits.ops() * CONDITIONS_PER_WRITE {
                break;
            }
            size += more;
            members.push(member);
        }
        if !members.is_empty() {
            self.take_in(members);
        }
        self.unbooked.retain(|held| {
            let keep = !refused.contains(&held.report.machine);
            if !keep {
                self.out.push(Effect::AnswerWorker(held.waiter, super::WorkerAnswer::Unavailable));
            }
            keep
        });
    }

    /// Writes down machines that are not in the books, all in one value unless it is a single one.
    fn take_in(&mut self, members: Vec<FleetMember>) {
        let mut draft = Draft::default();
        draft.unchanged(&self.replica, Key::Seat(Seat::Leader));
        let ids: Vec<MachineId> = members.iter().map(|m| m.id.clone()).collect();
        for id in &ids {
            self.machines.entry(id.clone()).or_default().adopting = true;
            self.leader.boots.remove(id);
            draft.unchanged(&self.replica, Key::Machine(id.clone()));
        }
        match &members[..] {
            [single] => draft.put(Key::Machine(single.id.clone()), to_value(&single.record)),
            _ => {
                let name = Key::Fleet(format!("{:x}", self.nonce()));
                draft.unchanged(&self.replica, name.clone());
                draft.put(name, to_value(&members));
            }
        }
        self.submit_txn(draft, Purpose::Machines(MachineChange::Adopt, ids));
    }

    /// Clears away, a little at a time, fleets and notes of machines long gone, and batches whose
    /// jobs are over.
    fn tidy(&mut self) {
        let now = self.now();
        if self.txns.tidying() || now < self.leader.next_tidy {
            return;
        }
        self.leader.next_tidy = now + TIDY_EVERY;
        self.note_unnamed();
        let most = self.platform.deployment.state.ops();
        let replica = &self.replica;
        let over = |id: &JobId| replica.ends.contains_key(id) && !replica.runs.contains_key(id);
        let batches = replica.batches.iter().filter(|(_, b)| b.value.iter().all(over));
        let fleets = replica.fleets.iter().filter(|(_, f)| f.value.iter().all(|m| replica.is_gone(&m.id)));
        let unnamed = self.leader.unnamed.iter().filter(|(_, since)| now.since(**since) >= UNNAMED_SPAN);
        let pieces = unnamed.flat_map(|(name, _)| {
            let numbers = replica.pieces.get(name).into_iter().flat_map(|p| p.keys());
            numbers.map(move |number| Key::Piece(name.clone(), *number))
        });
        // A note about a machine may go only once no fleet brings the machine back.
        let keys: Vec<Key> = batches
            .map(|(name, _)| Key::Batch(name.clone()))
            .chain(fleets.map(|(name, _)| Key::Fleet(name.clone())))
            .chain(replica.needless_notes().map(|id| Key::Machine(id.clone())))
            .chain(pieces)
            .take(most)
            .collect();
        if keys.is_empty() {
            return;
        }
        let mut draft = Draft::default();
        draft.unchanged(&self.replica, Key::Seat(Seat::Leader));
        for key in keys {
            draft.unchanged(&self.replica, key.clone());
            draft.delete(key);
        }
        self.submit_txn(draft, Purpose::Tidy);
    }

    /// Lists whose submission came to nothing, or whose job is over and gone.
    fn note_unnamed(&mut self) {
        if self.replica.pieces.is_empty() {
            return self.leader.unnamed.clear();
        }
        let now = self.now();
        let jobs = self.replica.jobs.values();
        let named: BTreeSet<&String> = jobs.filter_map(|j| j.record.pieces.as_ref().map(|(name, _)| name)).collect();
        let unnamed: Vec<String> = self.replica.pieces.keys().filter(|n| !named.contains(n)).cloned().collect();
        self.leader.unnamed.retain(|name, _| unnamed.contains(name));
        for name in unnamed {
            self.leader.unnamed.entry(name).or_insert(now);
        }
    }

    /// The share with the most unmet need, else the one with the least room for its teams.
    fn neediest_share(&mut self, report: &Report, taken_in: &[FleetMember]) -> u32 {
        let cpus = self.types.get(&report.machine_type).map_or(1_000_000, |t| t.room.cpus);
        // The most urgent tasks that it can really take decide, wherever else room is lacking.
        let mut slot = Slot {
            id: None,
            machine_type: report.machine_type.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
            free: self.types.get(&report.machine_type).map(|t| t.room).unwrap_or_default(),
            untouched: true,
        };
        let mut chosen = None;
        for need in &mut self.leader.need {
            if chosen.is_none_or(|share| share == need.share) {
                let taken = fit(&need.spec, need.count, std::slice::from_mut(&mut slot), &mut need.zones);
                need.count -= taken;
                if taken > 0 {
                    chosen = Some(need.share);
                }
            }
        }
        if let Some(share) = chosen {
            return share;
        }
        let shares = self.shares();
        let mut teams = vec![0u64; shares as usize];
        for (i, team) in self.platform.deployment.teams.iter().enumerate() {
            // One without limit or guarantee may be parted over all of them.
            if team.is_bounded() || !self.platform.deployment.parts_by_job() {
                teams[i % shares as usize] += u64::from(shares);
            } else {
                teams.iter_mut().for_each(|weight| *weight += 1);
            }
        }
        if teams.iter().all(|n| *n == 0) {
            teams.fill(1);
        }
        let mut have = vec![0u64; shares as usize];
        let booked = self.replica.machines.values().map(|held| &held.value);
        for record in booked.chain(taken_in.iter().map(|m| &m.record)) {
            if let Some(sum) = have.get_mut(record.share as usize) {
                *sum += self.types.get(&record.machine_type).map_or(1_000_000, |t| t.room.cpus);
            }
        }
        (0..shares)
            .filter(|s| teams[*s as usize] > 0)
            .min_by_key(|s| (have[*s as usize] + cpus) / teams[*s as usize])
            .unwrap_or(0)
    }

    /// Machines that are to be returned are deleted: the lost ones at once, others with nothing recorded on them.
    fn delete_held(&mut self) {
        let mut ids = Vec::new();
        for (id, held) in &self.replica.machines {
            if self.leader.deleting.contains(id) {
                continue;
            }
            // The hold is seen by whoever records starts. One that crosses with it is lost with the machine, and
            // starts again elsewhere.
            let empty = self.replica.applied.0 >= held.version && self.sums.is_empty(id);
            match held.value.hold {
                Some(Hold::Doomed) => ids.push(id.clone()),
                Some(Hold::Retire) if empty => ids.push(id.clone()),
                _ => {}
            }
        }
        self.delete(ids);
    }

    fn give_up_boots(&mut self) {
        let now = self.now();
        let lag = Micros::from_secs_f64(self.platform.deployment.cloud.list_lag_s * 2.0 + 5.0);
        let patience = self.policy.boot_patience;
        let mut late = Vec::new();
        let (types, booked) = (&self.types, &self.replica.machines);
        self.leader.boots.retain(|id, boot| {
            let usual = types.get(&boot.machine_type).map_or(60.0, |t| t.wire.boot_s);
            if now.since(boot.since) > Micros::from_secs_f64(usual * patience) {
                late.push(id.clone());
            }
            !booked.contains_key(id) && now.since(boot.last_listed) < lag
        });
        for id in &late {
            tracing::info!(machine = %id, "did not come up, given up");
        }
        self.delete(late);
    }

    fn plan(&mut self) {
        let mut unmet: Vec<Unmet> = Vec::new();
        let mut slots: BTreeMap<u32, Vec<Slot>> = BTreeMap::new();
        for share in 0..self.shares() {
            let mut own = self.slots_of(share);
            self.fill(share, &mut own, &mut unmet);
            slots.insert(share, own);
        }
        // Whoever is most urgent gets what is free, what is coming, and is rented for first.
        unmet.sort_by_key(|u| std::cmp::Reverse(u.spec.priority));
        self.leader.need = unmet.clone();
        self.shift(&mut slots, &mut unmet);
        let mut boots = self.boot_slots();
        for u in &mut unmet {
            u.count -= fit(&u.spec, u.count, &mut boots, &mut u.zones);
        }
        unmet.retain(|u| u.count > 0);
        self.rent_for(&unmet);
        self.return_idle(&slots, &unmet);
    }

    fn slots_of(&self, share: u32) -> Vec<Slot> {
        self.replica
            .machines
            .iter()
            .filter(|(_, r)| r.value.share == share && r.value.hold.is_none())
            .map(|(id, r)| {
                let free = self.free_room(id);
                Slot {
                    id: Some(id.clone()),
                    machine_type: r.value.machine_type.clone(),
                    zone: r.value.zone.clone(),
                    spot: r.value.spot,
                    free,
                    untouched: free == self.machine_room(id),
                }
            })
            .collect()
    }

    fn boot_slots(&self) -> Vec<Slot> {
        self.leader
            .boots
            .values()
            .map(|b| Slot {
                id: None,
                machine_type: b.machine_type.clone(),
                zone: b.zone.clone(),
                spot: b.spot,
                free: self.types.get(&b.machine_type).map(|t| t.room).unwrap_or_default(),
                untouched: true,
            })
            .collect()
    }

    /// Fits the waiting tasks of a share into its machines and notes what is left over, as far as
    /// that is worth machines of its own.
    fn fill(&self, share: u32, slots: &mut [Slot], unmet: &mut Vec<Unmet>) {
        let mut jobs: Vec<&Job> =
            self.jobs.values().filter(|j| j.share == share && j.recorded && j.over.is_none()).collect();
        jobs.sort_by_key(|j| (std::cmp::Reverse(j.urgency.priority), j.ready));
        let mut batch: Vec<Unmet> = Vec::new();
        let mut backlog = 0.0;
        let mut used: HashMap<&str, Room> = HashMap::new();
        for job in &jobs {
            if let Some(team) = &job.spec.team {
                used.entry(team).or_insert_with(|| self.sums.used_by(team));
            }
        }
        for job in &jobs {
            let waiting = u64::from(job.waiting());
            let mut count = waiting;
            if let Some(team) = job.spec.team.as_deref() {
                let sum = used.entry(team).or_default();
                count = count.min(self.within_limit_count(team, sum, &job.room));
                *sum = sum.plus(&job.room.times(count));
            }
            // What its team's limit keeps back queues as well, and would be worked off sooner with more machines.
            let kept_back = waiting - count;
            if job.spec.kind == Kind::Array {
                backlog += kept_back as f64 * job.spec.cpus * job.spec.estimate_s.max(5.0);
            }
            if count == 0 {
                continue;
            }
            let mut zones = BTreeMap::new();
            if job.spec.one_zone || job.spec.spread {
                for live in job.live.values().filter(|l| l.occupies()) {
                    if let Some(r) = self.replica.machines.get(live.machine()) {
                        *zones.entry(r.value.zone.clone()).or_default() += 1;
                    }
                }
            }
            let placed = fit(&job.spec, count, slots, &mut zones);
            let left = count - placed;
            if left == 0 {
                continue;
            }
            let rest = Unmet { share, spec: (*job.spec).clone(), count: left, zones };
            if job.spec.kind == Kind::Array {
                backlog += left as f64 * job.spec.cpus * job.spec.estimate_s.max(5.0);
                batch.push(rest);
            } else {
                unmet.push(rest);
            }
        }
        self.add_spare(&jobs, share, slots, unmet);
        // Batch work may queue as long as what the share has works it off in time.
        let drain = Micros::from_millis(self.policy.drain_ms).secs();
        let running: f64 = jobs
            .iter()
            .filter(|j| j.spec.kind == Kind::Array)
            .map(|j| j.spec.cpus * f64::from(j.live.occupying()))
            .sum();
        let mut wanted = backlog / drain - running;
        for mut rest in batch {
            if wanted <= 0.0 {
                break;
            }
            rest.count = rest.count.min((wanted / rest.spec.cpus.max(0.01)).ceil() as u64);
            wanted -= rest.count as f64 * rest.spec.cpus;
            unmet.push(rest);
        }
    }

    fn within_limit_count(&self, team: &str, used: &Room, each: &Room) -> u64 {
        let Some(team) = self.platform.deployment.team(team) else { return u64::MAX };
        let limit = Room::new(team.cpus_max, team.gpus_max, 0.0);
        let by = |limit: u64, used: u64, each: u64| {
            if limit == 0 || each == 0 { u64::MAX } else { limit.saturating_sub(used) / each }
        };
        by(limit.cpus, used.cpus, each.cpus).min(by(limit.gpus, used.gpus, each.gpus))
    }

    /// Room for a few more of the largest services, so that the next one starts at once.
    fn add_spare(&self, jobs: &[&Job], share: u32, slots: &mut [Slot], unmet: &mut Vec<Unmet>) {
        let services = jobs.iter().filter(|j| j.spec.kind == Kind::Service);
        let Some(largest) = services.max_by_key(|j| j.room.cpus) else { return };
        // Lower work running there can make way as well.
        let preemptible = jobs
            .iter()
            .filter(|j| j.spec.kind == Kind::Array && j.spec.priority < Priority::High)
            .map(|j| j.room.cpus * u64::from(j.live.occupying()))
            .sum::<u64>()
            / largest.room.cpus.max(1);
        let count = u64::from(self.policy.spare_tasks).saturating_sub(preemptible / 2);
        let mut spec = (*largest.spec).clone();
        spec.spread = false;
        spec.one_zone = false;
        let left = count - fit(&spec, count, slots, &mut BTreeMap::new());
        if left > 0 {
            unmet.push(Unmet { share, spec, count: left, zones: BTreeMap::new() });
        }
    }

    /// Machines a share doesn't need go to shares whose tasks wait.
    fn shift(&mut self, slots: &mut BTreeMap<u32, Vec<Slot>>, unmet: &mut [Unmet]) {
        let now = self.now();
        let patience = Micros::from_millis(self.policy.shift_after_ms);
        let mut moves = Vec::new();
        // Each move costs two changes, which starts and submissions need more.
        let moving = self.replica.machines.values().filter(|m| matches!(m.value.hold, Some(Hold::Move(_)))).count();
        let most = ((self.platform.deployment.state.write_rps * self.policy.shift_part) as usize).max(1);
        let most = most.saturating_sub(moving);
        for u in unmet.iter_mut() {
            let urgent = u.spec.priority > Priority::Normal;
            let free_enough = |s: &Slot| {
                let machine = s.id.as_ref().and_then(|id| self.machines.get(id));
                urgent || machine.and_then(|m| m.free_since).is_some_and(|since| now.since(since) >= patience)
            };
            for (from, own) in slots.iter_mut().filter(|(s, _)| **s != u.share) {
                for slot in own.iter_mut().filter(|s| s.untouched && free_enough(s)) {
                    if u.count == 0 || moves.len() >= most {
                        break;
                    }
                    let taken = fit(&u.spec, u.count, std::slice::from_mut(slot), &mut u.zones);
                    if taken > 0 {
                        u.count -= taken;
                        slot.untouched = false;
                        moves.push((slot.id.clone(), *from, u.share));
                    }
                }
            }
        }
        for (id, from, to) in moves {
            if let Some(id) = id {
                tracing::debug!(machine = %id, from, to, "shifting");
                self.set_hold_of(&id, Hold::Move(to));
            }
        }
    }

    fn rent_for(&mut self, unmet: &[Unmet]) {
        let now = self.now();
        let in_flight = self.leader.calls.values().chain(self.leader.again.iter().map(|(_, c)| c));
        // Until the answer is here it isn't known what is coming.
        if in_flight.into_iter().any(|c| matches!(c, Call::Rent(..))) {
            return;
        }
        self.leader.refused.retain(|_, until| *until > now);
        let by_size = (self.replica.machines.len() as f64 * self.policy.boots_part) as u64;
        let most = u64::from(self.policy.boots_max).max(by_size);
        let mut room_left = most.saturating_sub(self.leader.boots.len() as u64);
        let mut orders: BTreeMap<Offer, u32> = BTreeMap::new();
        // Counted once: a walk over all machines for each one to be rented took most of a second.
        let mut by_zone: BTreeMap<String, u64> = BTreeMap::new();
        for record in self.replica.machines.values() {
            match by_zone.get_mut(&record.value.zone) {
                Some(count) => *count += 1,
                None => *by_zone.entry(record.value.zone.clone()).or_default() = 1,
            }
        }
        let mut fresh: Vec<Slot> = Vec::new();
        for u in unmet {
            let mut zones = u.zones.clone();
            let mut count = u.count - fit(&u.spec, u.count, &mut fresh, &mut zones);
            while count > 0 && room_left > 0 {
                let Some((offer, room)) = self.cheapest(&u.spec, &zones, &by_zone) else { break };
                let mut slot = Slot {
                    id: None,
                    machine_type: offer.0.clone(),
                    zone: offer.1.clone(),
                    spot: offer.2,
                    free: room,
                    untouched: true,
                };
                let taken = fit(&u.spec, count, std::slice::from_mut(&mut slot), &mut zones);
                if taken == 0 {
                    break;
                }
                count -= taken;
                fresh.push(slot);
                *by_zone.entry(offer.1.clone()).or_default() += 1;
                *orders.entry(offer).or_default() += 1;
                room_left -= 1;
            }
        }
        let term = self.held(Seat::Leader).unwrap_or_default();
        for (offer, count) in orders {
            self.leader.charters += 1;
            // The term is this process's alone, so the name never comes again.
            let request = format!("r-{}-{}", term.0, self.leader.charters);
            let (machine_type, zone, spot) = offer;
            let rental = Rental { request, machine_type, zone, spot, count: count.min(50) };
            self.cloud(Call::Rent(rental, 0));
        }
    }

    /// The offer with the lowest price for each task it can hold. `by_zone`: machines there are and
    /// are to be.
    fn cheapest(
        &self,
        spec: &JobSpec,
        zones: &BTreeMap<String, u64>,
        by_zone: &BTreeMap<String, u64>,
    ) -> Option<(Offer, Room)> {
        let need = spec.room();
        let most = u64::from(spec.tasks.div_ceil(2));
        let zone_allowed = |zone: &String| {
            spec.zone.as_ref().is_none_or(|want| want == zone)
                && (!spec.one_zone || zones.keys().all(|z| z == zone))
                && (!spec.spread || zones.get(zone).copied().unwrap_or(0) < most)
        };
        let mut best: Option<((u64, u64), Offer, Room)> = None;
        for info in self.types.values() {
            if spec.types.as_ref().is_some_and(|t| !t.contains(&info.wire.name)) || !need.fits_in(&info.room) {
                continue;
            }
            let tasks = count_in(&need, &info.room).max(1);
            for zone in info.wire.zones.iter().filter(|z| zone_allowed(z)) {
                for spot in [false, true] {
                    let offer = (info.wire.name.clone(), zone.clone(), spot);
                    if (spot && !spec.spot) || self.leader.refused.contains_key(&offer) {
                        continue;
                    }
                    let price = if spot { info.wire.spot_price.unwrap_or(info.wire.price) } else { info.wire.price };
                    let cost = (price / tasks as f64 * 1e6) as u64;
                    // Among equals the zone with the fewest machines.
                    let here = by_zone.get(zone).copied().unwrap_or(0);
                    if best.as_ref().is_none_or(|(b, ..)| (cost, here) < *b) {
                        best = Some(((cost, here), offer, info.room));
                    }
                }
            }
        }
        best.map(|(_, offer, room)| (offer, room))
    }

    /// Machines that nothing needs, and nothing has used for a while, are returned.
    fn return_idle(&mut self, slots: &BTreeMap<u32, Vec<Slot>>, unmet: &[Unmet]) {
        let now = self.now();
        if !unmet.is_empty() {
            return;
        }
        let idle = Micros::from_millis(self.policy.idle_return_ms);
        let ids: Vec<MachineId> = slots
            .values()
            .flatten()
            .filter(|s| s.untouched)
            .filter_map(|s| s.id.clone())
            .filter(|id| {
                let free = self.machines.get(id).and_then(|m| m.free_since);
                free.is_some_and(|since| now.since(since) >= idle)
            })
            .take((self.replica.machines.len() / RETURN_PART).max(2))
            .collect();
        for id in ids {
            self.set_hold_of(&id, Hold::Retire);
        }
    }
}

fn count_in(each: &Room, room: &Room) -> u64 {
    let by = |each: u64, room: u64| room.checked_div(each).unwrap_or(u64::MAX);
    by(each.cpus, room.cpus).min(by(each.gpus, room.gpus)).min(by(each.memory, room.memory))
}

/// Puts up to `count` tasks into the slots, first fit, and says how many found room. `zones`
/// counts the job's tasks by zone.
fn fit(spec: &JobSpec, count: u64, slots: &mut [Slot], zones: &mut BTreeMap<String, u64>) -> u64 {
    let each = spec.room();
    let most = u64::from(spec.tasks.div_ceil(2));
    let mut placed = 0;
    for slot in slots.iter_mut() {
        if placed == count {
            break;
        }
        let allowed = spec.types.as_ref().is_none_or(|t| t.contains(&slot.machine_type))
            && spec.zone.as_ref().is_none_or(|z| *z == slot.zone)
            && (spec.spot || !slot.spot)
            && (!spec.one_zone || zones.keys().all(|z| *z == slot.zone));
        if !allowed {
            continue;
        }
        let mut n = count_in(&each, &slot.free).min(count - placed);
        if spec.spread {
            n = n.min(most.saturating_sub(zones.get(&slot.zone).copied().unwrap_or(0)));
        }
        if n > 0 {
            slot.free = slot.free.minus(&each.times(n));
            slot.untouched = false;
            placed += n;
            *zones.entry(slot.zone.clone()).or_default() += n;
        }
    }
    placed
}
