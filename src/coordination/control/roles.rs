//! The controller's session in the store, and the roles (shards, leadership) it holds.
//!
//! A role's key is bound to its holder's session, so it vanishes with it. Taking one draws the
//! next fencing token from the one counter in the same transaction. A controller holds a role only once
//! the watch has shown it the key: then its replica also has every start recorded before.

use crate::coordination::fleet::machines::Machine;
use crate::coordination::store_sync::txns::{ProposedTxn, Purpose};
use crate::coordination::{Controller, Effect, LeaseOutcome, StoreCall};
use crate::storage::schema::{Key, NodeRecord, Role, RoleRecord, to_value};
use crate::types::{FencingToken, MachineId, Micros};
use std::collections::BTreeMap;

#[derive(Default)]
pub(crate) struct Session {
    pub lease: Option<u64>,
    /// The call on its way.
    in_flight: Option<u64>,
    next: Micros,
    /// When the last call that prolonged it was sent, and when the one on its way was.
    prolonged: Option<Micros>,
    sent: Micros,
}

#[derive(Default)]
pub(crate) struct Roles {
    /// Since when each role has been seen without a holder.
    free_since: BTreeMap<Role, Micros>,
    /// Roles held, with the fencing tokens under which they were last seen.
    pub held: BTreeMap<Role, FencingToken>,
    /// Since when each sibling has been seen to be there and to reach its machines.
    siblings_since: BTreeMap<String, Micros>,
    taking: bool,
    node_writing: bool,
    not_before: Micros,
    /// Most machines can't be reached from here, though siblings may reach them.
    pub unfit: bool,
    /// Machines that answered since this controller became unfit.
    pub answered: u32,
    next_look: Micros,
    /// Since when other shards' machines are asked whether it is our own that are lost.
    pub looking_since: Option<Micros>,
    /// How often this controller became unfit lately, and when it last was.
    unfit_times: u32,
    last_unfit: Micros,
}

/// While most of our machines are silent, others are asked for a sign of life this often.
const LOOK_EVERY: Micros = Micros::from_millis(1000);
/// Without an answer of any other machine for so long, contact is lost.
const LOOK_SPAN: Micros = Micros::from_millis(2000);
/// If there are no other machines to ask, fewer of ours than this say nothing about ourselves.
const OWN_MACHINES_LEAST: usize = 3;
/// A controller that became unfit counts this as one of several times for so long.
const UNFIT_REMEMBERED: Micros = Micros::from_millis(300_000);
/// Patience doubles with each time up to this often, and is never longer than this part of a lease.
const UNFIT_DOUBLINGS: u32 = 4;
const LEASE_PART: f64 = 0.5;

impl Controller {
    pub(crate) fn shard_count(&self) -> u32 {
        self.platform.deployment.nodes
    }

    /// The fencing token of a role this process holds.
    pub(crate) fn held(&self, role: Role) -> Option<FencingToken> {
        self.control.roles.held.get(&role).copied()
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.held(Role::Leader).is_some()
    }

    /// Whether nobody else can lead: the session that the role is bound to surely lasts. A leader
    /// cut off from the store knows old records only, and rents and deletes nothing by them.
    pub(crate) fn surely_leads(&self) -> bool {
        let lasts = Micros(Micros::from_millis(self.policy.session_ms).0 / 10 * 9);
        self.is_leader() && self.control.session.prolonged.is_some_and(|at| self.now().since(at) < lasts)
    }

    /// Label of whoever holds a role, if it is another controller.
    pub(crate) fn other_holder(&self, role: Role) -> Option<String> {
        self.store.replica.roles.get(&role).map(|s| s.value.owner.clone()).filter(|o| *o != self.label)
    }

    pub(crate) fn tick_session(&mut self) {
        let now = self.now();
        if self.control.session.in_flight.is_some() || now < self.control.session.next {
            return;
        }
        let ticket = self.next_ticket();
        self.control.session.in_flight = Some(ticket);
        self.control.session.sent = now;
        let call = match self.control.session.lease {
            Some(lease) => StoreCall::KeepAlive { ticket, lease },
            None => StoreCall::GrantLease { ticket, ttl_ms: self.policy.session_ms },
        };
        self.out.push(Effect::Store(call));
    }

    pub(crate) fn renew_session_at_once(&mut self) {
        self.control.session.next = self.now();
        self.tick_session();
    }

    pub(crate) fn lease_outcome(&mut self, ticket: u64, outcome: LeaseOutcome) {
        if self.control.session.in_flight != Some(ticket) {
            return;
        }
        self.control.session.in_flight = None;
        let renew = Micros::from_millis(self.policy.session_ms / 4);
        match outcome {
            LeaseOutcome::New(lease) => {
                self.control.session.lease = Some(lease);
                self.control.session.prolonged = Some(self.control.session.sent);
                self.control.session.next = self.now() + renew;
                self.tick_roles();
            }
            LeaseOutcome::KeptAlive => {
                self.control.session.prolonged = Some(self.control.session.sent);
                self.control.session.next = self.now() + renew;
            }
            LeaseOutcome::Gone => {
                self.session_ended();
                self.control.session.next = self.now();
                self.tick_session();
            }
            LeaseOutcome::Failed => self.control.session.next = self.now() + Micros::from_millis(200),
        }
    }

    /// The session has ended and with it all that was bound to it, whatever the replica still shows.
    /// Nothing is decided any more before the stored records tell who holds what.
    pub(crate) fn session_ended(&mut self) {
        self.control.session.lease = None;
        self.control.session.prolonged = None;
        for role in std::mem::take(&mut self.control.roles.held).into_keys() {
            tracing::info!(?role, "lost: the session has ended");
            match role {
                Role::Leader => self.leadership_changed(),
                Role::Shard(shard) => self.shard_changed(shard),
            }
        }
        self.store.reads.wanted = true;
    }

    fn role_list(&self) -> Vec<Role> {
        std::iter::once(Role::Leader).chain((0..self.shard_count()).map(Role::Shard)).collect()
    }

    /// Labels of all controllers in order; the same on each of them.
    fn labels(&self) -> Vec<&str> {
        let mut labels: Vec<&str> = self.platform.siblings.iter().map(|s| s.label.as_str()).collect();
        labels.push(&self.label);
        labels.sort_unstable();
        labels
    }

    /// How far down the order this controller stands for a role; 0 stands first.
    fn distance(&self, role: Role) -> u32 {
        let labels = self.labels();
        let n = labels.len() as u32;
        let me = labels.iter().position(|l| *l == self.label).unwrap_or(0) as u32;
        let home = match role {
            Role::Leader => 0,
            Role::Shard(k) => k % n,
        };
        (me + n - home) % n
    }

    pub(crate) fn tick_roles(&mut self) {
        let now = self.now();
        if !self.store.sync.done {
            return;
        }
        let Some(lease) = self.control.session.lease else { return };
        self.note_siblings();
        if now < self.control.roles.not_before {
            return;
        }
        let record = NodeRecord {
            incarnation: self.incarnation,
            unfit: self.control.roles.unfit,
            version: self.record_version(),
        };
        if self.store.replica.nodes.get(&self.label).map(|n| &n.value) != Some(&record)
            && !self.control.roles.node_writing
        {
            self.control.roles.node_writing = true;
            let mut txn = ProposedTxn::default();
            txn.put_bound(Key::Node(self.label.clone()), to_value(&record), lease);
            self.submit_txn(txn, Purpose::Node);
        }
        if self.control.roles.taking {
            return;
        }
        if self.control.roles.unfit && self.fit_sibling() {
            self.give_up_shard();
            return;
        }
        let step = Micros::from_millis(self.policy.takeover_step_ms);
        for role in self.role_list() {
            let record = self.store.replica.roles.get(&role).map(|s| s.value.clone());
            let take = match &record {
                // Held by an earlier process under our label, which is surely dead.
                Some(r) if r.owner == self.label => r.incarnation != self.incarnation,
                Some(_) => false,
                None => {
                    let since = *self.control.roles.free_since.entry(role).or_insert(now);
                    let burden = self.control.roles.held.len() as u64;
                    let distance = u64::from(self.distance(role));
                    // When all begin at once, some have read the stored records a moment before the others: a
                    // shard taken from one of these would be handed back, and all its machines asked
                    // anew twice.
                    let early = now.since(self.store.synced_at) < Micros::from_millis(self.policy.settle_ms);
                    if early && distance > 0 {
                        continue;
                    }
                    let wait = step.0 * (distance + burden.min(4) / 2);
                    now.since(since) >= Micros(wait)
                }
            };
            if record.is_some() {
                self.control.roles.free_since.remove(&role);
            }
            if take {
                self.take_role(role, lease, FencingToken(self.store.replica.latest_fencing_token().0 + 1));
                return;
            }
        }
        self.hand_back();
    }

    /// Writes us down as a role's holder under a new fencing token.
    fn take_role(&mut self, role: Role, lease: u64, fencing_token: FencingToken) {
        let record = RoleRecord {
            owner: self.label.clone(),
            incarnation: self.incarnation,
            fencing_token,
            version: self.record_version(),
        };
        let mut txn = ProposedTxn::default();
        txn.unchanged(&self.store.replica, Key::Role(role));
        txn.unchanged(&self.store.replica, Key::FencingToken);
        txn.put_bound(Key::Role(role), to_value(&record), lease);
        txn.put(Key::FencingToken, to_value(&fencing_token));
        self.control.roles.taking = true;
        self.submit_txn(txn, Purpose::Role);
    }

    /// Gives a shard we hold a new fencing token.
    pub(crate) fn renew_shard(&mut self, shard: u32, fencing_token: FencingToken) {
        let role = Role::Shard(shard);
        let Some(lease) = self.control.session.lease else { return };
        if !self.control.roles.taking && self.held(role).is_some() {
            self.take_role(role, lease, fencing_token);
        }
    }

    fn note_siblings(&mut self) {
        let now = self.now();
        let nodes = &self.store.replica.nodes;
        // One that could not reach its machines counts from when it can again.
        let fit = |label: &String| nodes.get(label).is_some_and(|node| !node.value.unfit);
        self.control.roles.siblings_since.retain(|label, _| fit(label));
        for label in nodes.keys().filter(|l| **l != self.label && fit(l)) {
            self.control.roles.siblings_since.entry(label.clone()).or_insert(now);
        }
    }

    /// Gives up one shard if a sibling that has been back for a while holds none.
    fn hand_back(&mut self) {
        let shards: Vec<Role> =
            self.control.roles.held.keys().copied().filter(|s| matches!(s, Role::Shard(_))).collect();
        if shards.len() < 2 {
            return;
        }
        let patience = Micros::from_millis(self.policy.hand_back_after_ms);
        let now = self.now();
        let idle = self.control.roles.siblings_since.iter().find(|(label, since)| {
            now.since(**since) >= patience
                && !self
                    .store
                    .replica
                    .roles
                    .iter()
                    .any(|(s, r)| matches!(s, Role::Shard(_)) && r.value.owner == **label)
        });
        if idle.is_none() {
            return;
        }
        // The one that stands farthest from us in the order, so that its home takes it first.
        let Some(role) = shards.into_iter().max_by_key(|s| self.distance(*s)) else { return };
        tracing::info!(?role, "handing back");
        self.release(role);
    }

    fn fit_sibling(&self) -> bool {
        self.store.replica.nodes.iter().any(|(label, n)| *label != self.label && !n.value.unfit)
    }

    /// A controller that can't reach its machines leaves its shards to one that may.
    fn give_up_shard(&mut self) {
        let shard = self.control.roles.held.keys().copied().find(|s| matches!(s, Role::Shard(_)));
        if let Some(role) = shard {
            tracing::warn!(?role, "given up: most machines can't be reached from here");
            self.release(role);
        }
    }

    /// Judges by its own machines whether this controller has lost contact, and once it has, by
    /// all machines whether it is back.
    pub(crate) fn judge_contact(&mut self, ours: &[MachineId]) {
        let now = self.now();
        if self.control.roles.unfit {
            if self.control.roles.answered >= 2 {
                tracing::info!("machines can be reached again");
                self.control.roles.unfit = false;
            } else if now >= self.control.roles.next_look {
                self.control.roles.next_look = now + LOOK_EVERY;
                self.look_for_machines();
            }
            return;
        }
        let patience = self.contact_patience();
        let unreachable = |m: &Machine| m.is_unreachable(now, self.policy.unreachable_probes, patience);
        let silent = |id: &&MachineId| {
            let lost = |m: &Machine| (m.probes_failed >= 2 && now.since(m.heard) >= patience) || unreachable(m);
            self.fleet.machines.get(*id).is_some_and(lost)
        };
        let lost = ours.iter().filter(silent).count();
        if ours.is_empty() || lost * 3 < ours.len() * 2 {
            self.control.roles.looking_since = None;
            return;
        }
        if self.contact_is_lost(ours.len()) {
            self.control.roles.unfit = true;
            self.control.roles.unfit_times += 1;
            self.control.roles.last_unfit = now;
            self.control.roles.answered = 0;
            self.control.roles.looking_since = None;
        }
    }

    /// A whole shard's machines may well be lost together, with their zone or on their own. Then machines of other
    /// shards answer, and a sibling would reach ours no better: the shard would only go to and fro.
    fn contact_is_lost(&mut self, ours: usize) -> bool {
        let now = self.now();
        if self.store.replica.machines.len() <= ours {
            return ours >= OWN_MACHINES_LEAST;
        }
        let since = match self.control.roles.looking_since {
            Some(since) => since,
            None => {
                self.control.roles.answered = 0;
                self.control.roles.next_look = now;
                *self.control.roles.looking_since.insert(now)
            }
        };
        if now >= self.control.roles.next_look {
            self.control.roles.next_look = now + LOOK_EVERY;
            self.look_for_machines();
        }
        self.control.roles.answered == 0 && now.since(since) >= LOOK_SPAN
    }

    /// How long most machines must have been silent. It grows if that happens again and again, but a shard must be
    /// given away while the leases of its machines last.
    fn contact_patience(&mut self) -> Micros {
        if self.now().since(self.control.roles.last_unfit) >= UNFIT_REMEMBERED {
            self.control.roles.unfit_times = 0;
        }
        let first = Micros::from_millis(self.policy.lose_contact_ms);
        let most = Micros::from_secs_f64(self.platform.deployment.workers.lease_s * LEASE_PART).max(first);
        Micros(first.0 << self.control.roles.unfit_times.min(UNFIT_DOUBLINGS)).min(most)
    }

    fn release(&mut self, role: Role) {
        let mut txn = ProposedTxn::default();
        txn.unchanged(&self.store.replica, Key::Role(role));
        txn.delete(Key::Role(role));
        self.control.roles.taking = true;
        self.submit_txn(txn, Purpose::Role);
    }

    pub(crate) fn role_txn_over(&mut self, purpose: &Purpose, failed: bool) {
        match purpose {
            Purpose::Node => self.control.roles.node_writing = false,
            _ => self.control.roles.taking = false,
        }
        if failed {
            self.control.roles.not_before = self.now() + Micros::from_millis(100);
        }
        self.store.reads.wanted = true;
    }

    pub(crate) fn role_changed(&mut self, role: Role) {
        let mine = self
            .store
            .replica
            .roles
            .get(&role)
            .filter(|s| s.value.owner == self.label && s.value.incarnation == self.incarnation)
            .map(|s| s.value.fencing_token);
        let before = self.control.roles.held.get(&role).copied();
        if mine == before {
            return;
        }
        let revision = self.store.replica.applied.0;
        match mine {
            Some(fencing_token) => {
                self.control.roles.held.insert(role, fencing_token);
                if let (Role::Shard(shard), Some(_)) = (role, before) {
                    tracing::debug!(?role, fencing_token = fencing_token.0, revision, "role has a new fencing token");
                    return self.shard_renewed(shard);
                }
                tracing::info!(?role, fencing_token = fencing_token.0, revision, "took over");
            }
            None => {
                self.control.roles.held.remove(&role);
                tracing::info!(?role, revision, "lost");
            }
        }
        match role {
            Role::Leader => self.leadership_changed(),
            Role::Shard(shard) => self.shard_changed(shard),
        }
    }
}
