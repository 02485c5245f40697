//! The condition of one zone: a state machine with hysteresis over what the shards' holders say of it.

use crate::damping::Penalty;
use crate::ramp::Ramp;
use crate::settings::ZoneSettings;
use burlhatch_types::Micros;
use serde::{Deserialize, Serialize};

/// How a zone stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Condition {
    /// Nothing speaks against it.
    #[default]
    #[serde(rename = "up")]
    Up,
    /// Some holder finds most of its machines there silent; nothing is concluded yet.
    #[serde(rename = "suspected")]
    Suspected,
    /// Most of its machines are silent to their holders.
    #[serde(rename = "lost")]
    Lost,
    /// It is heard again and gets work step by step.
    #[serde(rename = "returning")]
    Returning,
}

/// What speaks for and against a zone at a moment, in machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Machines in the zone, of all shards.
    pub machines: u32,
    /// Of these those of shards whose holders speak against the zone.
    pub against: u32,
}

impl Evidence {
    /// Whether enough speaks against the zone to take it for lost. One holder's word is not enough unless the zone's
    /// machines are mostly its own: a single controller may be cut off from a zone that others reach.
    fn is_loss(&self, settings: &ZoneSettings) -> bool {
        let most = f64::from(self.against) > f64::from(self.machines) * settings.agree_part;
        self.machines >= settings.least_machines && most
    }

    /// Whether so little speaks against it that it is heard again.
    fn is_heard(&self, settings: &ZoneSettings) -> bool {
        self.machines > 0 && f64::from(self.against) <= f64::from(self.machines) * settings.return_part
    }
}

/// A change of a zone's condition, with what it rests on.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// The zone.
    pub zone: String,
    /// Its condition before.
    pub from: Condition,
    /// Its condition now.
    pub to: Condition,
    /// What spoke for and against it.
    pub evidence: Evidence,
    /// Its penalty for past losses.
    pub penalty: f64,
}

/// One zone as one controller sees it.
#[derive(Clone, Debug)]
pub struct ZoneState {
    condition: Condition,
    since: Micros,
    /// Since when the evidence has called for the next condition without a break.
    pending_since: Option<Micros>,
    last_loss: Option<Micros>,
    /// Its condition has changed at least once here.
    has_changed: bool,
    /// Penalty for past losses.
    pub penalty: Penalty,
    /// Allowance of starts while it returns.
    pub ramp: Ramp,
}

impl ZoneState {
    /// A zone that nothing is known against.
    pub fn new(now: Micros, settings: &ZoneSettings) -> ZoneState {
        ZoneState {
            condition: Condition::Up,
            since: now,
            pending_since: None,
            last_loss: None,
            has_changed: false,
            penalty: Penalty::default(),
            ramp: Ramp::new(now, settings),
        }
    }

    /// How it stands.
    pub fn condition(&self) -> Condition {
        self.condition
    }

    /// Since when it has stood so.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// When it was last lost, if this is known.
    pub fn last_loss(&self) -> Option<Micros> {
        self.last_loss
    }

    /// Takes in what another controller knows, or the process before this one knew. Whoever has not judged the zone yet
    /// goes on from there: the loss was counted by that one.
    pub fn hear(&mut self, condition: Condition, penalty: f64, now: Micros, settings: &ZoneSettings) {
        if self.has_changed {
            self.penalty.hear(penalty, now, settings);
            return;
        }
        self.penalty.inherit(penalty, now, settings);
        if matches!(condition, Condition::Lost | Condition::Returning) {
            self.enter(condition, now, settings);
            self.last_loss = Some(now);
        }
    }

    /// Takes in the evidence of this moment; says what it changed.
    pub fn observe(&mut self, evidence: Evidence, now: Micros, settings: &ZoneSettings) -> Option<Condition> {
        let distrusted = self.penalty.is_distrusted(now, settings);
        if self.condition == Condition::Returning {
            self.ramp.advance(now, !distrusted, settings);
        }
        let next = self.next(evidence, now, distrusted, settings)?;
        if next == Condition::Lost {
            self.penalty.add_loss(now, settings);
            self.last_loss = Some(now);
        }
        let before = self.condition;
        self.enter(next, now, settings);
        Some(before)
    }

    fn next(
        &mut self,
        evidence: Evidence,
        now: Micros,
        distrusted: bool,
        settings: &ZoneSettings,
    ) -> Option<Condition> {
        let confirm = Micros::from_millis(settings.confirm_ms);
        match self.condition {
            Condition::Up if evidence.against > 0 => Some(Condition::Suspected),
            Condition::Up => None,
            Condition::Suspected if evidence.against == 0 => Some(Condition::Up),
            Condition::Suspected => self.lasts(evidence.is_loss(settings), now, confirm).then_some(Condition::Lost),
            Condition::Lost => {
                let span = if evidence.machines == 0 { settings.empty_return_ms } else { settings.return_after_ms };
                let over = evidence.machines == 0 || evidence.is_heard(settings);
                self.lasts(over, now, Micros::from_millis(span)).then_some(Condition::Returning)
            }
            Condition::Returning => {
                if self.lasts(evidence.is_loss(settings), now, confirm) {
                    return Some(Condition::Lost);
                }
                let complete = self.ramp.is_complete(settings) && !distrusted;
                (complete && evidence.against == 0).then_some(Condition::Up)
            }
        }
    }

    /// Whether something has held without a break for so long.
    fn lasts(&mut self, holds: bool, now: Micros, span: Micros) -> bool {
        if !holds {
            self.pending_since = None;
            return false;
        }
        let since = *self.pending_since.get_or_insert(now);
        now.since(since) >= span
    }

    fn enter(&mut self, condition: Condition, now: Micros, settings: &ZoneSettings) {
        self.has_changed = true;
        self.condition = condition;
        self.since = now;
        self.pending_since = None;
        if condition == Condition::Returning {
            self.ramp = Ramp::new(now, settings);
        }
    }
}
