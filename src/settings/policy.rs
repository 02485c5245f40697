//! The operators' policy (JSON): values with their defaults and bounds.
//!
//! The fields' names are those of the file. Their doc comments are the descriptions in `docs/policy.schema.json`, which
//! `burlhatch schema` prints.

use super::{SettingsError, invalid, read_file};
use burlhatch_zones::ZoneSettings;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Defines [`Policy`]: each line is a field with its type, default, minimum and maximum.
macro_rules! policy {
    ($($(#[doc = $doc:literal])+ $(#[serde($serde:meta)])? $name:ident: $ty:ty = $default:expr, $min:expr, $max:expr;)+) => {
        /// The operators' own settings. Every value has a default.
        #[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
        #[serde(deny_unknown_fields, default)]
        pub struct Policy {
            $($(#[doc = $doc])+ $(#[serde($serde)])? pub $name: $ty,)+
            /// How failures of whole zones are handled.
            pub zones: ZoneSettings,
        }

        impl Default for Policy {
            fn default() -> Policy {
                Policy { $($name: $default,)+ zones: ZoneSettings::default() }
            }
        }

        impl Policy {
            fn validate(&self) -> Result<(), SettingsError> {
                $(
                    #[allow(unused_comparisons)]
                    if !(self.$name >= $min && self.$name <= $max) {
                        return Err(invalid(
                            stringify!($name),
                            format!("must be {} to {}, is {}", $min, $max, self.$name),
                        ));
                    }
                )+
                self.zones.check().map_err(|e| invalid(format!("zones.{}", e.field), e.message))
            }
        }
    };
}

policy! {
    /// Version of the rules for stored records that this controller follows and announces. A lower version allows a
    /// stepwise rollback to an earlier release.
    record_version: u32 = 2, 0, 2;
    /// How long a controller's lease in the store lasts after its last renewal.
    session_ms: u64 = 3000, 500, 60000;
    /// Delay before a controller takes over a vacant shard, for each controller that precedes it in the shard's order
    /// of preference.
    takeover_step_ms: u64 = 400, 0, 60000;
    /// Time after reading the stored records in which a controller takes over only shards for which it comes first in
    /// the order of preference.
    settle_ms: u64 = 1500, 0, 60000;
    /// Uptime of a sibling without a shard after which a controller that holds several shards releases one to it.
    hand_back_after_ms: u64 = 8000, 0, 600000;
    /// Minimum time between two reads of the store on behalf of waiting users.
    read_gap_ms: u64 = 15, 0, 1000;
    /// Maximum time for which a watch request waits for a change.
    watch_ms: u64 = 10000, 100, 60000;
    /// Timeout of a call to the store.
    state_timeout_ms: u64 = 1500, 100, 30000;
    /// Multiple of the store's limits that all controllers together use until the store refuses requests.
    state_limits_together: f64 = 1.8, 0.5, 10.0;
    /// Fraction of the cloud's rate limit that the leader uses.
    cloud_limit_part: f64 = 0.6, 0.05, 1.0;
    /// Minimum time for which finished tasks wait to be recorded together with others in one transaction.
    record_delay_ms: u64 = 400, 0, 60000;
    /// Size up to which a transaction for jobs is filled, as a fraction of the writes allowed per second.
    txn_part: f64 = 0.2, 0.01, 1.0;
    /// Maximum delay of the record of a submission or cancellation. When the write budget is short, writes with the
    /// least delay left go first.
    user_patience_ms: u64 = 200, 0, 60000;
    /// Maximum delay of the record of an urgent task's start.
    urgent_patience_ms: u64 = 200, 0, 60000;
    /// Maximum delay of a machine's record.
    machine_patience_ms: u64 = 500, 0, 60000;
    /// Maximum delay of a job's outcome.
    outcome_patience_ms: u64 = 1000, 0, 3000;
    /// Maximum delay of the record of a batch task's start.
    batch_patience_ms: u64 = 12000, 0, 60000;
    /// When the write budget is short, starts of batch tasks wait this long for others of their job.
    batch_delay_ms: u64 = 700, 0, 60000;
    /// Maximum delay of the record that tasks are done while their job goes on.
    progress_patience_ms: u64 = 60000, 0, 600000;
    /// Maximum delay of garbage collection of records that nothing refers to.
    tidy_patience_ms: u64 = 30000, 0, 600000;
    /// Time after which a submission that could not be recorded is refused.
    submission_wait_ms: u64 = 3000, 100, 5000;
    /// Image fetch rate assumed for a machine before any fetch was observed.
    start_fetch_mb_per_s: f64 = 50.0, 0.1, 100000.0;
    /// Time by which a machine without the image must be ready earlier to be preferred to one that has the image.
    holder_margin_ms: u64 = 10000, 0, 600000;
    /// Time to spare, beyond the estimated run time, that is assumed for a task whose job has no deadline.
    default_slack_ms: u64 = 30000, 0, 3600000;
    /// Among jobs of one priority, a job without a deadline is deferred by this for each CPU-second that it still
    /// needs, so that small jobs overtake large ones when not all can be on time.
    wait_per_cpu_second_ms: u64 = 200, 0, 60000;
    /// Maximum of this deferral.
    wait_most_ms: u64 = 240000, 0, 3600000;
    /// Deferral for each further CPU-second of a job that has reached this maximum. Among large jobs, too, the smaller
    /// go first, unless they were submitted much later.
    wait_large_per_cpu_second_us: u64 = 1000, 0, 60000000;
    /// Maximum of the deferral for further CPU-seconds.
    wait_large_most_ms: u64 = 600000, 0, 3600000;
    /// Normal work beyond its team's guaranteed quota preempts work of the lowest priority after it has waited this
    /// long.
    preempt_after_ms: u64 = 30000, 0, 3600000;
    /// Time after which a job without any started task is scheduled before all others of its priority; in a job array
    /// this applies to one task only.
    begin_within_ms: u64 = 150000, 1000, 3600000;
    /// The deadline of a job that others depend on precedes theirs by this multiple of their estimated run time, as
    /// estimates are often wrong by half.
    stage_estimate_factor: f64 = 1.5, 0.0, 100.0;
    /// Further time by which that deadline is earlier, for starting the dependent jobs.
    stage_overhead_ms: u64 = 3000, 0, 600000;
    /// Time budget of a scheduling cycle; remaining work is left to the next cycle.
    round_budget_us: u64 = 4000, 100, 1000000;
    /// Minimum time between scheduling cycles for batch work; urgent work is scheduled at once.
    pass_gap_ms: u64 = 50, 0, 10000;
    /// Time without a heartbeat after which a machine with services is probed.
    probe_after_ms: u64 = 1500, 100, 600000;
    /// Maximum rate at which one controller sends these probes.
    probes_per_s: f64 = 10.0, 0.0, 10000.0;
    /// Multiple of the heartbeat interval without a heartbeat after which any machine is probed.
    report_late_part: f64 = 1.6, 1.0, 100.0;
    /// Pause between probes of an unresponsive machine, and timeout of a probe.
    probe_ms: u64 = 1000, 100, 60000;
    /// Number of consecutive failed probes after which a machine is replaced.
    probes_failed: u32 = 3, 1, 1000;
    /// Time without a heartbeat or an answered probe after which a single machine is replaced.
    replace_after_ms: u64 = 5000, 1000, 600000;
    /// Fraction of unresponsive machines above which none is replaced, because the fault is taken to be elsewhere.
    replace_max_part: f64 = 0.25, 0.0, 1.0;
    /// Fraction of a zone's machines above which the zone is taken to be cut off by a network partition, if they are
    /// unresponsive while machines of other zones respond.
    zone_max_part: f64 = 0.5, 0.0, 1.0;
    /// Time without contact with most of its machines after which a controller hands its shards to a sibling.
    lose_contact_ms: u64 = 6000, 1000, 600000;
    /// Number of consecutive direct messages to a machine that must go unanswered, though its heartbeats arrive, before
    /// it is taken to be unreachable. Formerly `mute_probes`.
    #[serde(alias = "mute_probes")]
    unreachable_probes: u32 = 5, 2, 1000;
    /// Time for which these messages must have gone unanswered before the machine is replaced. Formerly
    /// `mute_after_ms`.
    #[serde(alias = "mute_after_ms")]
    unreachable_after_ms: u64 = 8000, 1000, 600000;
    /// Time by which a heartbeat must be overdue before a machine that answers probes is taken to be unable to send
    /// heartbeats.
    unreported_ms: u64 = 8000, 1000, 600000;
    /// Time without an answer from the store after which requests of users are refused at once.
    state_patience_ms: u64 = 2500, 500, 60000;
    /// How long a user who asks about a cancelled job waits for the holder of its shard to acknowledge the
    /// cancellation.
    confirm_patience_ms: u64 = 1000, 100, 4000;
    /// Fraction of the time allowed for a cancellation after which machines that may still run tasks of the cancelled
    /// job are deleted, but not before an agent's lease would have expired.
    clear_part: f64 = 0.75, 0.1, 1.0;
    /// Time before the end of the time allowed for a cancellation at which these deletions begin at the latest, to
    /// leave room for the cloud's rate limit and one or two failed calls.
    clear_margin_ms: u64 = 6000, 0, 600000;
    /// Minimum time that a controller which has taken over a shard has to reach a machine before it deletes the
    /// machine for a cancellation.
    clear_contact_ms: u64 = 3000, 0, 600000;
    /// Number of failed tasks of different jobs, without a success in between, after which a machine is quarantined.
    faulty_after: u32 = 2, 1, 1000;
    /// Mean number of exited tasks in the heartbeats of a shard's machines above which the shard gets a new fencing
    /// token, under which the agents may be commanded to forget these tasks.
    exited_mean: f64 = 6.0, 1.0, 1000.0;
    /// Minimum time between new fencing tokens of one controller's shards, for any reason.
    exited_every_ms: u64 = 2000, 0, 600000;
    /// Maximum backoff before a failed task is retried.
    retry_max_ms: u64 = 20000, 100, 600000;
    /// Number of tasks of a shard's largest service for which resources are kept free in the shard.
    spare_tasks: u32 = 2, 0, 1000;
    /// Batch work leaves resources free for the service tasks that are expected to arrive in this time, on machines
    /// that have their images.
    reserve_ms: u64 = 15000, 0, 600000;
    /// Length of the past period from which the number of these service tasks is estimated.
    reserve_window_ms: u64 = 60000, 1000, 3600000;
    /// Scale in: time after which a machine without tasks is deleted.
    idle_return_ms: u64 = 40000, 0, 86400000;
    /// Time after which a machine without tasks is deleted while the write budget is short, as deleting a machine takes
    /// writes.
    idle_return_short_ms: u64 = 160000, 0, 86400000;
    /// Time for which a machine must have been idle before it is moved to another shard for batch work, so that it
    /// stays available to the next job of its own shard; for more urgent work it is moved at once.
    shift_after_ms: u64 = 5000, 0, 86400000;
    /// Time after which waiting batch work whose backlog doesn't justify new machines gets idle machines of other
    /// shards.
    shift_waiting_ms: u64 = 30000, 0, 86400000;
    /// Time after which waiting tasks that find no room in their shard are lent to shards with room for them.
    lend_after_ms: u64 = 20000, 0, 86400000;
    /// Maximum number of machines that move between shards at a time, as a fraction of the writes allowed per second.
    shift_part: f64 = 0.2, 0.0, 10.0;
    /// Scale out: machines are requested if the existing ones need longer than this for the backlog of batch work.
    drain_ms: u64 = 60000, 1000, 86400000;
    /// Time for which a kind of machine is not requested again after the cloud had no capacity for it.
    refused_pause_ms: u64 = 15000, 100, 3600000;
    /// Multiple of the typical provisioning time after which the provisioning of a machine is abandoned.
    boot_patience: f64 = 3.0, 1.0, 100.0;
    /// Number of machines that may be provisioned at a time in a deployment of any size.
    boots_max: u32 = 12, 1, 1000;
    /// Number of machines that may be provisioned at a time in a large deployment, as a fraction of the existing
    /// machines.
    boots_part: f64 = 1.0, 0.0, 10.0;
    /// Fraction of the sockets that idle connections to machines and services may use.
    idle_part: f64 = 0.2, 0.01, 0.4;
    /// Fraction of the sockets that direct messages in flight may use; further messages wait.
    direct_part: f64 = 0.1, 0.01, 0.4;
    /// How long commands about batch work wait for the machine's next heartbeat before they are sent directly.
    batch_push_ms: u64 = 1000, 0, 60000;
    /// Grace period of a stopped task that writes checkpoints.
    stop_grace_s: f64 = 30.0, 0.0, 600.0;
}

impl Policy {
    /// Reads and validates the file.
    pub fn load(path: &Path) -> Result<Policy, SettingsError> {
        let text = read_file(path)?;
        let policy: Policy = serde_json::from_str(&text)
            .map_err(|e| SettingsError::Parse { path: path.display().to_string(), message: e.to_string() })?;
        policy.validate()?;
        Ok(policy)
    }

    /// The JSON schema of all settings.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Policy);
        let mut text = serde_json::to_string_pretty(&schema).unwrap_or_default();
        text.push('\n');
        text
    }
}
