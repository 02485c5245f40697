//! What the log tells of cancellations: from the acknowledgement to the proof that the last task is gone.
//!
//! Each line names the revision of the stored records that the decision rests on and how long ago the store
//! answered last. Lines are bounded in rate, so that a wave of cancellations does not cost more than the work itself; a
//! summary every few seconds counts what is open, and what was left out.

use crate::coordination::Controller;
use crate::coordination::jobs::usage::Phase;
use crate::storage::schema::Outcome;
use crate::types::{JobId, MachineId, Micros};

/// Lines in a second, and at once after a quiet time.
const LINES_PER_S: f64 = 10.0;
const LINES_BURST: f64 = 100.0;
/// How often open cancellations are summed up, while there are any.
const SUMMARY_EVERY: Micros = Micros::from_millis(10_000);

/// Bounds the rate of lines about cancellations.
#[derive(Debug)]
pub(crate) struct Audit {
    lines_left: f64,
    refilled_at: Micros,
    left_out: u64,
    summed_up_at: Micros,
    /// Deletions that were asked for so late that not even a confirmation within one retry comes in time.
    pub late_deletions: u64,
    /// Answers whose orders had to be completed by stops that nothing else would have given.
    pub added_stops: u64,
}

impl Default for Audit {
    fn default() -> Audit {
        Audit {
            lines_left: LINES_BURST,
            refilled_at: Micros::ZERO,
            left_out: 0,
            summed_up_at: Micros::ZERO,
            late_deletions: 0,
            added_stops: 0,
        }
    }
}

impl Audit {
    /// Whether one more line may be written now.
    fn admits(&mut self, now: Micros) -> bool {
        let refill = now.since(self.refilled_at).secs() * LINES_PER_S;
        self.lines_left = (self.lines_left + refill).min(LINES_BURST);
        self.refilled_at = now;
        let admitted = self.lines_left >= 1.0;
        if admitted {
            self.lines_left -= 1.0;
        } else {
            self.left_out += 1;
        }
        admitted
    }
}

/// What proves that a start is not on its machine any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AbsenceProof {
    /// The worker has begun a later incarnation.
    LaterIncarnation,
    /// A heartbeat lacks it, and no command is on its way that could still start it.
    Heartbeat,
    /// The worker's lease has run out.
    LeaseExpired,
    /// It was recorded, and its command never sent.
    NeverSent,
    /// The cloud confirmed that the machine is deleted.
    MachineDeleted,
    /// The machine's record is gone, which only a confirmed deletion leads to.
    MachineStruckOut,
}

/// What allowed a user to be told that a job is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcknowledgedBy {
    /// It needs a cancelled job, so nothing of it was ever started.
    Cascade,
    /// The holder of its shard said so.
    Sibling,
    /// The stored records show no start of it.
    NoStarts,
    /// The shard is held here, and the machines obey.
    OwnShard,
}

impl Controller {
    fn store_silence_ms(&self) -> u64 {
        self.now().since(self.store.last_answered_at).millis()
    }

    /// A user is about to be told that a job is cancelled.
    pub(crate) fn audit_told(&mut self, job: &JobId, by: AcknowledgedBy) {
        let now = self.now();
        // Users ask about old jobs again and again.
        let Some(left) = self.jobs.by_id.get(job).map(|job| job.live.occupying()) else { return };
        if !self.jobs.audit.admits(now) {
            return;
        }
        let revision = self.store.replica.applied_revision.0;
        let cancelled_at = self.store.replica.outcomes.get(job).map_or(0, |end| end.version);
        tracing::info!(%job, ?by, revision, cancelled_at, left, store_silence_ms = self.store_silence_ms(), "cancelled, told");
    }

    /// A task of a cancelled job is proven gone.
    pub(crate) fn audit_gone(&mut self, job: &JobId, task: u32, machine: &MachineId, proof: AbsenceProof) {
        let now = self.now();
        if self.outcome(job) != Some(Outcome::Cancelled) || !self.jobs.audit.admits(now) {
            return;
        }
        let revision = self.store.replica.applied_revision.0;
        tracing::info!(%job, task, %machine, ?proof, revision, "cancelled task proven gone");
    }

    /// Sums up cancellations of which something may be left.
    pub(crate) fn audit_summary(&mut self) {
        let now = self.now();
        if now.since(self.jobs.audit.summed_up_at) < SUMMARY_EVERY {
            return;
        }
        self.jobs.audit.summed_up_at = now;
        let (mut tasks, mut stops_waiting, mut oldest) = (0, 0, Micros::ZERO);
        for id in self.jobs.cancellations.clearing.jobs() {
            let Some(job) = self.jobs.by_id.get(id).filter(|job| job.live.occupying() > 0) else { continue };
            tasks += job.live.occupying();
            stops_waiting += job.live.values().filter(|start| start.phase() == Phase::Recorded && start.sent).count();
            let age =
                self.store.replica.outcomes.get(id).map_or(Micros::ZERO, |end| self.clock.wall.since(end.value.at));
            oldest = oldest.max(age);
        }
        let left_out = std::mem::take(&mut self.jobs.audit.left_out);
        if tasks == 0 && left_out == 0 {
            return;
        }
        let withheld = self.fleet.machines.values().filter(|machine| machine.renewal_withheld).count();
        tracing::info!(
            tasks,
            oldest_ms = oldest.millis(),
            stops_waiting,
            withheld,
            late_deletions = self.jobs.audit.late_deletions,
            added_stops = self.jobs.audit.added_stops,
            left_out,
            revision = self.store.replica.applied_revision.0,
            store_silence_ms = self.store_silence_ms(),
            "cancelled tasks not proven gone"
        );
    }
}
