//! The controller's session in the state service, and the seats (shares, leadership) it holds.
//!
//! A seat's key is bound to its holder's session, so it vanishes with it. Taking one draws the
//! next term from the one counter in the same transaction. A controller holds a seat only once
//! the watch has shown it the key: then its replica also has every start recorded before.

use super::machines::Machine;
use super::txns::{Draft, Purpose};
use super::{Core, Effect, LeaseOutcome, StateCall};
use crate::bookkeeping::schema::{Key, NodeRecord, Seat, SeatRecord, to_value};
use crate::units::{MachineId, Micros, Term};
use std::collections::BTreeMap;

#[derive(Default)]
pub(super) struct Session {
    pub lease: Option<u64>,
    in_flight: bool,
    next: Micros,
    /// When the last call that prolonged it was sent, and when the one on its way was.
    prolonged: Option<Micros>,
    sent: Micros,
}

#[derive(Default)]
pub(super) struct Seats {
    /// Since when each seat has been seen without a holder.
    free_since: BTreeMap<Seat, Micros>,
    /// Seats held, with the terms under which they were last seen.
    pub held: BTreeMap<Seat, Term>,
    /// Since when each sibling's node key has been seen.
    siblings_since: BTreeMap<String, Micros>,
    taking: bool,
    node_writing: bool,
    not_before: Micros,
    /// Most machines can't be reached from here, though siblings may reach them.
    pub unfit: bool,
    /// Machines that answered since this controller became unfit.
    pub answered: u32,
    next_look: Micros,
    /// Since when other shares' machines are asked whether it is our own that are lost.
    pub looking_since: Option<Micros>,
}

impl Core {
    pub(super) fn shares(&self) -> u32 {
        self.platform.deployment.nodes
    }

    /// The term of a seat this process holds.
    pub(super) fn held(&self, seat: Seat) -> Option<Term> {
        self.seats.held.get(&seat).copied()
    }

    pub(super) fn is_leader(&self) -> bool {
        self.held(Seat::Leader).is_some()
    }

    /// Whether nobody else can lead: the session that the seat is bound to surely lasts. A leader
    /// cut off from the state service knows old books only, and rents and deletes nothing by them.
    pub(super) fn surely_leads(&self) -> bool {
        let lasts = Micros(Micros::from_millis(self.policy.session_ms).0 / 10 * 9);
        self.is_leader() && self.session.prolonged.is_some_and(|at| self.now().since(at) < lasts)
    }

    /// Label of whoever holds a seat, if it is another controller.
    pub(super) fn other_holder(&self, seat: Seat) -> Option<String> {
        self.replica.seats.get(&seat).map(|s| s.value.owner.clone()).filter(|o| *o != self.label)
    }

    pub(super) fn tick_session(&mut self) {
        let now = self.now();
        if self.session.in_flight || now < self.session.next {
            return;
        }
        self.session.in_flight = true;
        self.session.sent = now;
        let call = match self.session.lease {
            Some(lease) => StateCall::Touch { lease },
            None => StateCall::NewLease { ttl_ms: self.policy.session_ms },
        };
        self.out.push(Effect::State(call));
    }

    pub(super) fn renew_session_at_once(&mut self) {
        self.session.next = self.now();
        self.tick_session();
    }

    pub(super) fn lease_outcome(&mut self, outcome: LeaseOutcome) {
        self.session.in_flight = false;
        let renew = Micros::from_millis(self.policy.session_ms / 4);
        match outcome {
            LeaseOutcome::New(lease) => {
                self.session.lease = Some(lease);
                self.session.prolonged = Some(self.session.sent);
                self.session.next = self.now() + renew;
                self.tick_seats();
            }
            LeaseOutcome::Touched => {
                self.session.prolonged = Some(self.session.sent);
                self.session.next = self.now() + renew;
            }
            LeaseOutcome::Gone => {
                self.session_ended();
                self.session.next = self.now();
                self.tick_session();
            }
            LeaseOutcome::Failed => self.session.next = self.now() + Micros::from_millis(200),
        }
    }

    /// The session has ended and with it all that was bound to it, whatever the replica still shows.
    /// Nothing is decided any more before the books tell who holds what.
    pub(super) fn session_ended(&mut self) {
        self.session.lease = None;
        self.session.prolonged = None;
        for seat in std::mem::take(&mut self.seats.held).into_keys() {
            tracing::info!(?seat, "lost: the session has ended");
            match seat {
                Seat::Leader => self.leader_changed(),
                Seat::Share(share) => self.share_changed(share),
            }
        }
        self.reads.wanted = true;
    }

    fn seat_list(&self) -> Vec<Seat> {
        std::iter::once(Seat::Leader).chain((0..self.shares()).map(Seat::Share)).collect()
    }

    /// Labels of all controllers in order; the same on each of them.
    fn labels(&self) -> Vec<&str> {
        let mut labels: Vec<&str> = self.platform.siblings.iter().map(|s| s.label.as_str()).collect();
        labels.push(&self.label);
        labels.sort_unstable();
        labels
    }

    /// How far down the order this controller stands for a seat; 0 stands first.
    fn distance(&self, seat: Seat) -> u32 {
        let labels = self.labels();
        let n = labels.len() as u32;
        let me = labels.iter().position(|l| *l == self.label).unwrap_or(0) as u32;
        let home = match seat {
            Seat::Leader => 0,
            Seat::Share(k) => k % n,
        };
        (me + n - home) % n
    }

    pub(super) fn tick_seats(&mut self) {
        let now = self.now();
        if !self.sync.done {
            return;
        }
        let Some(lease) = self.session.lease else { return };
        self.note_siblings();
        if now < self.seats.not_before {
            return;
        }
        let record =
            NodeRecord { incarnation: self.incarnation, unfit: self.seats.unfit, version: self.record_version() };
        if self.replica.nodes.get(&self.label).map(|n| &n.value) != Some(&record) && !self.seats.node_writing {
            self.seats.node_writing = true;
            let mut txn = Draft::default();
            txn.put_bound(Key::Node(self.label.clone()), to_value(&record), lease);
            self.submit_txn(txn, Purpose::Node);
        }
        if self.seats.taking {
            return;
        }
        if self.seats.unfit && self.fit_sibling() {
            self.give_up_share();
            return;
        }
        let step = Micros::from_millis(self.policy.takeover_step_ms);
        for seat in self.seat_list() {
            let record = self.replica.seats.get(&seat).map(|s| s.value.clone());
            let take = match &record {
                // Held by an earlier process under our label, which is surely dead.
                Some(r) if r.owner == self.label => r.incarnation != self.incarnation,
                Some(_) => false,
                None => {
                    let since = *self.seats.free_since.entry(seat).or_insert(now);
                    let burden = self.seats.held.len() as u64;
                    let distance = u64::from(self.distance(seat));
                    // When all begin at once, some have read the books a moment before the others: a
                    // share taken from one of these would be handed back, and all its machines asked
                    // anew twice.
                    let early = now.since(self.synced_at) < Micros::from_millis(self.policy.settle_ms);
                    if early && distance > 0 {
                        continue;
                    }
                    let wait = step.0 * (distance + burden.min(4) / 2);
                    now.since(since) >= Micros(wait)
                }
            };
            if record.is_some() {
                self.seats.free_since.remove(&seat);
            }
            if take {
                self.take_seat(seat, lease, Term(self.replica.term_now().0 + 1));
                return;
            }
        }
        self.hand_back();
    }

    /// Writes us down as a seat's holder under a new term.
    fn take_seat(&mut self, seat: Seat, lease: u64, term: Term) {
        let record = SeatRecord {
            owner: self.label.clone(),
            incarnation: self.incarnation,
            term,
            version: self.record_version(),
        };
        let mut txn = Draft::default();
        txn.unchanged(&self.replica, Key::Seat(seat));
        txn.unchanged(&self.replica, Key::Term);
        txn.put_bound(Key::Seat(seat), to_value(&record), lease);
        txn.put(Key::Term, to_value(&term));
        self.seats.taking = true;
        self.submit_txn(txn, Purpose::Seat);
    }

    /// Gives a share we hold a new term.
    pub(super) fn renew_share(&mut self, share: u32, term: Term) {
        let seat = Seat::Share(share);
        let Some(lease) = self.session.lease else { return };
        if !self.seats.taking && self.held(seat).is_some() {
            self.take_seat(seat, lease, term);
        }
    }

    fn note_siblings(&mut self) {
        let now = self.now();
        let nodes = &self.replica.nodes;
        self.seats.siblings_since.retain(|label, _| nodes.contains_key(label));
        for label in nodes.keys().filter(|l| **l != self.label) {
            self.seats.siblings_since.entry(label.clone()).or_insert(now);
        }
    }

    /// Gives up one share if a sibling that has been back for a while holds none.
    fn hand_back(&mut self) {
        let shares: Vec<Seat> = self.seats.held.keys().copied().filter(|s| matches!(s, Seat::Share(_))).collect();
        if shares.len() < 2 {
            return;
        }
        let patience = Micros::from_millis(self.policy.hand_back_after_ms);
        let now = self.now();
        let idle = self.seats.siblings_since.iter().find(|(label, since)| {
            now.since(**since) >= patience
                && self.replica.nodes.get(*label).is_some_and(|n| !n.value.unfit)
                && !self.replica.seats.iter().any(|(s, r)| matches!(s, Seat::Share(_)) && r.value.owner == **label)
        });
        if idle.is_none() {
            return;
        }
        // The one that stands farthest from us in the order, so that its home takes it first.
        let Some(seat) = shares.into_iter().max_by_key(|s| self.distance(*s)) else { return };
        tracing::info!(?seat, "handing back");
        self.release(seat);
    }

    fn fit_sibling(&self) -> bool {
        self.replica.nodes.iter().any(|(label, n)| *label != self.label && !n.value.unfit)
    }

    /// A controller that can't reach its machines leaves its shares to one that may.
    fn give_up_share(&mut self) {
        let share = self.seats.held.keys().copied().find(|s| matches!(s, Seat::Share(_)));
        if let Some(seat) = share {
            tracing::warn!(?seat, "given up: most machines can't be reached from here");
            self.release(seat);
        }
    }

    /// Judges by its own machines whether this controller has lost contact, and once it has, by
    /// all machines whether it is back.
    pub(super) fn judge_contact(&mut self, ours: &[MachineId]) {
        let now = self.now();
        if self.seats.unfit {
            if self.seats.answered >= 2 {
                tracing::info!("machines can be reached again");
                self.seats.unfit = false;
            } else if now >= self.seats.next_look {
                self.seats.next_look = now + Micros::from_millis(1000);
                self.look_for_machines();
            }
            return;
        }
        let patience = Micros::from_millis(self.policy.lose_contact_ms);
        let deaf = |m: &Machine| m.is_deaf(now, self.policy.mute_probes, patience);
        let silent = |id: &&MachineId| {
            let lost = |m: &Machine| (m.probes_failed >= 2 && now.since(m.heard) >= patience) || deaf(m);
            self.machines.get(*id).is_some_and(lost)
        };
        let lost = ours.iter().filter(silent).count();
        if ours.is_empty() || lost * 3 < ours.len() * 2 {
            self.seats.looking_since = None;
            return;
        }
        // A few machines may well be lost together; then those of other shares tell.
        let since = match self.seats.looking_since {
            Some(since) => since,
            None => {
                self.seats.looking_since = Some(now);
                self.seats.answered = 0;
                self.look_for_machines();
                now
            }
        };
        let others = self.replica.machines.len() > ours.len();
        let none_answers = others && self.seats.answered == 0 && now.since(since) >= Micros::from_millis(2000);
        if ours.len() >= 3 || none_answers {
            self.seats.unfit = true;
            self.seats.answered = 0;
            self.seats.looking_since = None;
        }
    }

    fn release(&mut self, seat: Seat) {
        let mut txn = Draft::default();
        txn.unchanged(&self.replica, Key::Seat(seat));
        txn.delete(Key::Seat(seat));
        self.seats.taking = true;
        self.submit_txn(txn, Purpose::Seat);
    }

    pub(super) fn seat_txn_over(&mut self, purpose: &Purpose, failed: bool) {
        match purpose {
            Purpose::Node => self.seats.node_writing = false,
            _ => self.seats.taking = false,
        }
        if failed {
            self.seats.not_before = self.now() + Micros::from_millis(100);
        }
        self.reads.wanted = true;
    }

    pub(super) fn seat_changed(&mut self, seat: Seat) {
        let mine = self
            .replica
            .seats
            .get(&seat)
            .filter(|s| s.value.owner == self.label && s.value.incarnation == self.incarnation)
            .map(|s| s.value.term);
        let before = self.seats.held.get(&seat).copied();
        if mine == before {
            return;
        }
        match mine {
            Some(term) => {
                self.seats.held.insert(seat, term);
                if let (Seat::Share(share), Some(_)) = (seat, before) {
                    tracing::debug!(?seat, term = term.0, "has a new term");
                    return self.share_renewed(share);
                }
                tracing::info!(?seat, term = term.0, "took over");
            }
            None => {
                self.seats.held.remove(&seat);
                tracing::info!(?seat, "lost");
            }
        }
        match seat {
            Seat::Leader => self.leader_changed(),
            Seat::Share(share) => self.share_changed(share),
        }
    }
}
