//! The condition of one zone: a state machine with hysteresis over the votes of the shards' holders.

use crate::damping::Penalty;
use crate::ramp::Ramp;
use crate::settings::ZoneSettings;
use burlhatch_types::Micros;
use serde::{Deserialize, Serialize};

/// The condition of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Condition {
    /// No holder votes against it.
    #[default]
    #[serde(rename = "up")]
    Up,
    /// Some holder finds most of its machines there unresponsive; nothing is concluded yet.
    #[serde(rename = "suspected")]
    Suspected,
    /// Most of its machines are unresponsive to their holders.
    #[serde(rename = "lost")]
    Lost,
    /// It responds again and gets work step by step.
    #[serde(rename = "returning")]
    Returning,
}

/// The votes for and against a zone at one time, weighted by machines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Machines in the zone, of all shards.
    pub machine_count: u32,
    /// Machines in the zone that belong to shards whose holders vote against it.
    pub against_count: u32,
}

impl Evidence {
    /// Whether enough votes are against the zone to consider it lost. The vote of a single holder is enough only if
    /// most of the zone's machines belong to its shards: one controller may be cut off from a zone that others reach.
    fn shows_loss(&self, settings: &ZoneSettings) -> bool {
        let is_majority = f64::from(self.against_count) > f64::from(self.machine_count) * settings.agree_part;
        self.machine_count >= settings.least_machines && is_majority
    }

    /// Whether the votes against the zone are few enough to consider it responsive again.
    fn shows_recovery(&self, settings: &ZoneSettings) -> bool {
        let max_against = f64::from(self.machine_count) * settings.return_part;
        self.machine_count > 0 && f64::from(self.against_count) <= max_against
    }
}

/// A change of a zone's condition, with the evidence for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// The zone.
    pub zone: String,
    /// Its condition before.
    pub from: Condition,
    /// Its condition now.
    pub to: Condition,
    /// The votes for and against it.
    pub evidence: Evidence,
    /// Its penalty for past losses.
    pub penalty: f64,
}

/// One zone as one controller sees it.
#[derive(Clone, Debug)]
pub struct ZoneState {
    condition: Condition,
    entered_at: Micros,
    /// Start of the current uninterrupted period in which the evidence supports the next condition.
    pending_since: Option<Micros>,
    last_lost_at: Option<Micros>,
    /// Whether its condition has changed at least once in this process.
    has_transitioned: bool,
    /// Penalty for past losses.
    pub penalty: Penalty,
    /// Limit on task starts while the zone returns.
    pub ramp: Ramp,
}

impl ZoneState {
    /// Creates the state of a zone that is up and has no known losses.
    pub fn new(now: Micros, settings: &ZoneSettings) -> ZoneState {
        ZoneState {
            condition: Condition::Up,
            entered_at: now,
            pending_since: None,
            last_lost_at: None,
            has_transitioned: false,
            penalty: Penalty::default(),
            ramp: Ramp::new(now, settings),
        }
    }

    /// Returns the zone's condition.
    pub fn condition(&self) -> Condition {
        self.condition
    }

    /// Returns the time at which the zone entered its condition.
    pub fn entered_at(&self) -> Micros {
        self.entered_at
    }

    /// Returns the time of the zone's last loss, if known.
    pub fn last_lost_at(&self) -> Option<Micros> {
        self.last_lost_at
    }

    /// Merges the view of another controller, or of this controller's previous process. If the zone's condition has not
    /// changed in this process yet, adopts that view's penalty, and its condition if the zone is lost or returning. The
    /// loss is not added to the penalty again, as the writer of the view has counted it.
    pub fn merge_remote(&mut self, condition: Condition, penalty: f64, now: Micros, settings: &ZoneSettings) {
        if self.has_transitioned {
            self.penalty.merge_remote(penalty, now, settings);
            return;
        }
        self.penalty.inherit(penalty, now, settings);
        if matches!(condition, Condition::Lost | Condition::Returning) {
            self.transition_to(condition, now, settings);
            self.last_lost_at = Some(now);
        }
    }

    /// Applies the current evidence. Returns the previous condition if the condition has changed.
    pub fn observe(&mut self, evidence: Evidence, now: Micros, settings: &ZoneSettings) -> Option<Condition> {
        let distrusted = self.penalty.is_distrusted(now, settings);
        if self.condition == Condition::Returning {
            self.ramp.advance(now, !distrusted, settings);
        }
        let next = self.next_condition(evidence, now, distrusted, settings)?;
        if next == Condition::Lost {
            self.penalty.add_loss(now, settings);
            self.last_lost_at = Some(now);
        }
        let before = self.condition;
        self.transition_to(next, now, settings);
        Some(before)
    }

    fn next_condition(
        &mut self,
        evidence: Evidence,
        now: Micros,
        distrusted: bool,
        settings: &ZoneSettings,
    ) -> Option<Condition> {
        let confirm = Micros::from_millis(settings.confirm_ms);
        match self.condition {
            Condition::Up if evidence.against_count > 0 => Some(Condition::Suspected),
            Condition::Up => None,
            Condition::Suspected if evidence.against_count == 0 => Some(Condition::Up),
            Condition::Suspected => {
                self.has_held_for(evidence.shows_loss(settings), now, confirm).then_some(Condition::Lost)
            }
            Condition::Lost => {
                let is_empty = evidence.machine_count == 0;
                let span_ms = if is_empty { settings.empty_return_ms } else { settings.return_after_ms };
                let may_return = is_empty || evidence.shows_recovery(settings);
                self.has_held_for(may_return, now, Micros::from_millis(span_ms)).then_some(Condition::Returning)
            }
            Condition::Returning => {
                if self.has_held_for(evidence.shows_loss(settings), now, confirm) {
                    return Some(Condition::Lost);
                }
                let is_complete = self.ramp.is_complete(settings) && !distrusted;
                (is_complete && evidence.against_count == 0).then_some(Condition::Up)
            }
        }
    }

    /// Records whether the requirement for the next condition is met, and returns whether it has been met without
    /// interruption for at least `span`.
    fn has_held_for(&mut self, holds: bool, now: Micros, span: Micros) -> bool {
        if !holds {
            self.pending_since = None;
            return false;
        }
        let since = *self.pending_since.get_or_insert(now);
        now.since(since) >= span
    }

    fn transition_to(&mut self, condition: Condition, now: Micros, settings: &ZoneSettings) {
        self.has_transitioned = true;
        self.condition = condition;
        self.entered_at = now;
        self.pending_since = None;
        if condition == Condition::Returning {
            self.ramp = Ramp::new(now, settings);
        }
    }
}
