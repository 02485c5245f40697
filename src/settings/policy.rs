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
    /// Version of the rules for stored records that this controller follows and announces. A lower one is for going
    /// back to an earlier release step by step.
    record_version: u32 = 1, 0, 1;
    /// How long a controller's lease in the store lasts after its last renewal.
    session_ms: u64 = 3000, 500, 60000;
    /// How long a controller waits before it takes over a free shard that another controller is preferred for, times
    /// its distance from that one in the order of preference.
    takeover_step_ms: u64 = 400, 0, 60000;
    /// For so long after it has read the stored records a controller takes over only shards that it is preferred for.
    settle_ms: u64 = 1500, 0, 60000;
    /// A controller that holds more than its part hands a shard to a sibling that has been back for this long.
    hand_back_after_ms: u64 = 8000, 0, 600000;
    /// Shortest pause between two reads of the store on behalf of waiting users.
    read_gap_ms: u64 = 15, 0, 1000;
    /// Longest wait of one open watch.
    watch_ms: u64 = 10000, 100, 60000;
    /// Time until a call to the store counts as unanswered.
    state_timeout_ms: u64 = 1500, 100, 30000;
    /// All controllers together use this multiple of the store's limits until it refuses requests.
    state_limits_together: f64 = 1.8, 0.5, 10.0;
    /// Part of the cloud's rate limit that the leader uses.
    cloud_limit_part: f64 = 0.6, 0.05, 1.0;
    /// Finished tasks wait at least this long for others, to be recorded in one transaction.
    record_delay_ms: u64 = 400, 0, 60000;
    /// A transaction for jobs is filled up to this part of the writes allowed per second.
    txn_part: f64 = 0.2, 0.01, 1.0;
    /// When the write budget is short, writes with the least delay left go first. This is the maximum delay of a
    /// submission or cancellation.
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
    /// A submission that could not be recorded for this long is refused.
    submission_wait_ms: u64 = 3000, 100, 5000;
    /// Image fetch rate assumed for a machine before any fetch was observed.
    start_fetch_mb_per_s: f64 = 50.0, 0.1, 100000.0;
    /// A machine without the image is preferred to one that has it only if it is ready earlier by this.
    holder_margin_ms: u64 = 10000, 0, 600000;
    /// Deadline assumed for a task whose job has none.
    default_slack_ms: u64 = 30000, 0, 3600000;
    /// Among jobs of one priority a job is ordered behind others by this for each CPU-second it still needs, so that
    /// small jobs overtake large ones when not all can meet their deadlines.
    wait_per_cpu_second_ms: u64 = 200, 0, 60000;
    /// Maximum of that.
    wait_most_ms: u64 = 240000, 0, 3600000;
    /// A job with more work than that is ordered behind others by this for each further CPU-second: among large jobs
    /// the smaller go first, too, unless they were submitted much later.
    wait_large_per_cpu_second_us: u64 = 1000, 0, 60000000;
    /// Maximum of that further amount.
    wait_large_most_ms: u64 = 600000, 0, 3600000;
    /// Normal work beyond its team's guaranteed quota preempts work of the lowest priority after it has waited this
    /// long.
    preempt_after_ms: u64 = 30000, 0, 3600000;
    /// A job of which no task was ever started goes before all others of its priority after this long; of a job array
    /// only one task.
    begin_within_ms: u64 = 150000, 1000, 3600000;
    /// A job that others depend on should be done early enough for them: its deadline is this multiple of their
    /// estimates earlier, as estimates are often wrong by half.
    stage_estimate_factor: f64 = 1.5, 0.0, 100.0;
    /// And this much earlier for starting them.
    stage_overhead_ms: u64 = 3000, 0, 600000;
    /// Time budget of a scheduling cycle; the rest is done in the next one.
    round_budget_us: u64 = 4000, 100, 1000000;
    /// Minimum time between scheduling cycles for batch work; urgent work is scheduled at once.
    pass_gap_ms: u64 = 50, 0, 10000;
    /// Time without a heartbeat after which a machine with services is probed.
    probe_after_ms: u64 = 1500, 100, 600000;
    /// Maximum rate of such probes of one controller.
    probes_per_s: f64 = 10.0, 0.0, 10000.0;
    /// Any other machine is probed after this multiple of the heartbeat interval without a heartbeat.
    report_late_part: f64 = 1.6, 1.0, 100.0;
    /// Pause between probes of an unresponsive machine, and timeout of a probe.
    probe_ms: u64 = 1000, 100, 60000;
    /// Number of consecutive failed probes after which a machine is replaced.
    probes_failed: u32 = 3, 1, 1000;
    /// Time without a heartbeat or an answered probe after which a single machine is replaced.
    replace_after_ms: u64 = 5000, 1000, 600000;
    /// When more than this part of the machines is unresponsive, none is replaced: the fault is taken to be elsewhere.
    replace_max_part: f64 = 0.25, 0.0, 1.0;
    /// When more than this part of a zone's machines is unresponsive, and others are not, the zone is taken to be
    /// partitioned off.
    zone_max_part: f64 = 0.5, 0.0, 1.0;
    /// A controller that most of its machines have not reached for this long hands its shards to a sibling.
    lose_contact_ms: u64 = 6000, 1000, 600000;
    /// Number of consecutive direct messages to a machine that must go unanswered, though its heartbeats arrive, before
    /// it is taken to be unreachable. Formerly `mute_probes`.
    #[serde(alias = "mute_probes")]
    unreachable_probes: u32 = 5, 2, 1000;
    /// Time for which they must have gone unanswered before it is replaced. Formerly `mute_after_ms`.
    #[serde(alias = "mute_after_ms")]
    unreachable_after_ms: u64 = 8000, 1000, 600000;
    /// A machine that answers probes but whose next heartbeat is late by this long is taken to be unable to send
    /// heartbeats.
    unreported_ms: u64 = 8000, 1000, 600000;
    /// When the store has not answered for this long, users are refused at once.
    state_patience_ms: u64 = 2500, 500, 60000;
    /// How long a user who asks about a cancelled job waits for the holder of its shard to acknowledge the
    /// cancellation.
    confirm_patience_ms: u64 = 1000, 100, 4000;
    /// Machines on which tasks of a cancelled job may still run are deleted once this part of the time allowed for a
    /// cancellation is over, but not before an agent's lease would have expired.
    clear_part: f64 = 0.75, 0.1, 1.0;
    /// Deletion begins this long before that time is over in any case, to allow for the cloud's rate limit and a
    /// failed call or two.
    clear_margin_ms: u64 = 6000, 0, 600000;
    /// A controller that takes over a shard after that time has this long to reach a machine before it is deleted.
    clear_contact_ms: u64 = 3000, 0, 600000;
    /// Number of failed tasks of different jobs, without a success in between, after which a machine is quarantined.
    faulty_after: u32 = 2, 1, 1000;
    /// A shard gets a new fencing token when its machines list this many exited tasks each on average: with it they may
    /// be told to forget these.
    exited_mean: f64 = 6.0, 1.0, 1000.0;
    /// Minimum time between new fencing tokens of one controller's shards, for whatever reason.
    exited_every_ms: u64 = 2000, 0, 600000;
    /// Maximum backoff before a failed task is retried.
    retry_max_ms: u64 = 20000, 100, 600000;
    /// Resources kept free in each shard for this many tasks of its largest services.
    spare_tasks: u32 = 2, 0, 1000;
    /// Batch work leaves resources free, on machines that have their images, for as many tasks of services as arrive in
    /// this time.
    reserve_ms: u64 = 15000, 0, 600000;
    /// That number is estimated from this much of the past.
    reserve_window_ms: u64 = 60000, 1000, 3600000;
    /// Scale in: a machine without tasks is deleted after this long.
    idle_return_ms: u64 = 40000, 0, 86400000;
    /// The same while the write budget is short, as deleting a machine takes writes.
    idle_return_short_ms: u64 = 160000, 0, 86400000;
    /// A machine is moved to another shard for batch work only after it has been idle for this long, so that its own
    /// shard's next job finds it; for more urgent work it is moved at once.
    shift_after_ms: u64 = 5000, 0, 86400000;
    /// Batch work that needs no further machines gets idle ones of other shards after it has waited this long.
    shift_waiting_ms: u64 = 30000, 0, 86400000;
    /// Maximum number of machines on their way between shards, as a part of the writes allowed per second.
    shift_part: f64 = 0.2, 0.0, 10.0;
    /// Scale out: machines are requested if the backlog of batch work would take longer than this.
    drain_ms: u64 = 60000, 1000, 86400000;
    /// A kind of machine that the cloud has no capacity for is not requested again for this long.
    refused_pause_ms: u64 = 15000, 100, 3600000;
    /// Provisioning of a machine that takes longer than this multiple of the typical time is abandoned.
    boot_patience: f64 = 3.0, 1.0, 100.0;
    /// This many machines may be provisioned at a time in any case.
    boots_max: u32 = 12, 1, 1000;
    /// In a large deployment machines may be provisioned at a time up to this part of those that run.
    boots_part: f64 = 1.0, 0.0, 10.0;
    /// Part of the sockets that idle connections to machines and services may hold.
    idle_part: f64 = 0.2, 0.01, 0.4;
    /// Part of the sockets for direct messages in flight; further ones wait.
    direct_part: f64 = 0.1, 0.01, 0.4;
    /// How long commands about batch work wait for the machine's next heartbeat before they are sent directly.
    batch_push_ms: u64 = 1000, 0, 60000;
    /// Grace period for a task that writes checkpoints.
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
