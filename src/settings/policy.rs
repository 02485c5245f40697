//! The operators' own settings: policy values with their defaults and bounds.

use super::{SettingsError, invalid, read_file};
use burlhatch_zones::ZoneSettings;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::Path;

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
            fn check(&self) -> Result<(), SettingsError> {
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
    /// How long a controller's session in the store outlives its last renewal.
    session_ms: u64 = 3000, 500, 60000;
    /// A free shard that belongs to another controller by order is left alone for this long, times its distance.
    takeover_step_ms: u64 = 400, 0, 60000;
    /// For so long after it has read the stored records a controller takes only what it stands first for.
    settle_ms: u64 = 1500, 0, 60000;
    /// A controller holding more than its part hands a shard to a sibling that has been back for this long.
    hand_back_after_ms: u64 = 8000, 0, 600000;
    /// Shortest pause between two reads of the store on behalf of waiting users.
    read_gap_ms: u64 = 15, 0, 1000;
    /// Longest wait of one open watch.
    watch_ms: u64 = 10000, 100, 60000;
    /// Time until a call to the store counts as unanswered.
    state_timeout_ms: u64 = 1500, 100, 30000;
    /// All controllers together let themselves use this multiple of a service's limit until it refuses them.
    state_limits_together: f64 = 1.8, 0.5, 10.0;
    /// Part of the cloud's limit that the leader lets itself use.
    cloud_limit_part: f64 = 0.6, 0.05, 1.0;
    /// Finished tasks wait at least this long for company before they are recorded.
    record_delay_ms: u64 = 400, 0, 60000;
    /// A transaction for jobs is filled up to this part of the changes allowed per second.
    txn_part: f64 = 0.2, 0.01, 1.0;
    /// When the change budget is short, what can wait least goes first. So long may a submission or cancellation
    /// wait for others.
    user_patience_ms: u64 = 200, 0, 60000;
    /// So long may the record of an urgent start wait.
    urgent_patience_ms: u64 = 200, 0, 60000;
    /// So long may a machine's record wait.
    machine_patience_ms: u64 = 500, 0, 60000;
    /// So long may a job's outcome wait.
    outcome_patience_ms: u64 = 1000, 0, 3000;
    /// So long may the record of a batch task's start wait.
    batch_patience_ms: u64 = 12000, 0, 60000;
    /// When changes are not plenty, starts of batch tasks wait this long for others of their job.
    batch_delay_ms: u64 = 700, 0, 60000;
    /// So long may it wait to be recorded that tasks are done while their job goes on.
    progress_patience_ms: u64 = 60000, 0, 600000;
    /// So long may it wait to clear away what nothing needs any more.
    tidy_patience_ms: u64 = 30000, 0, 600000;
    /// A submission that could not be recorded for this long is refused.
    submission_wait_ms: u64 = 3000, 100, 5000;
    /// Image fetch rate assumed for a machine before any fetch was observed.
    start_fetch_mb_per_s: f64 = 50.0, 0.1, 100000.0;
    /// A machine without the image is chosen over a holder only if it is ready earlier by this.
    holder_margin_ms: u64 = 10000, 0, 600000;
    /// Deadline assumed for a task whose job has none.
    default_slack_ms: u64 = 30000, 0, 3600000;
    /// Among jobs of one rank a job waits behind others for this long for each cpu-second it still needs,
    /// so that small jobs get past large ones when not all can be on time.
    wait_per_cpu_second_ms: u64 = 200, 0, 60000;
    /// That wait is never longer than this.
    wait_most_ms: u64 = 240000, 0, 3600000;
    /// A job with more work than that waits so much longer for each further cpu-second: among large jobs the smaller
    /// go first, too, as far as they came soon after.
    wait_large_per_cpu_second_us: u64 = 1000, 0, 60000000;
    /// That further wait is never longer than this.
    wait_large_most_ms: u64 = 600000, 0, 3600000;
    /// Ordinary work beyond its team's guarantee makes work of the lowest priority leave after it has waited this long.
    preempt_after_ms: u64 = 30000, 0, 3600000;
    /// A job of which no task was ever started goes before all others of its rank after this long; of an array
    /// one task.
    begin_within_ms: u64 = 150000, 1000, 3600000;
    /// A job that others wait for should be done early enough for them: this multiple of their estimates earlier, as
    /// estimates are often wrong by half.
    stage_estimate_factor: f64 = 1.5, 0.0, 100.0;
    /// And so much for starting them.
    stage_overhead_ms: u64 = 3000, 0, 600000;
    /// Time one round of decisions may take before it lets other work through.
    round_budget_us: u64 = 4000, 100, 1000000;
    /// Batch work that waits is looked at no more often than this; urgent work at once.
    pass_gap_ms: u64 = 50, 0, 10000;
    /// Silence of a machine with services after which it is probed between its heartbeats.
    probe_after_ms: u64 = 1500, 100, 600000;
    /// Such probes a controller sends in a second at most.
    probes_per_s: f64 = 10.0, 0.0, 10000.0;
    /// Any other machine is probed once it has been silent for this many times the time between heartbeats.
    report_late_part: f64 = 1.6, 1.0, 100.0;
    /// Pause between probes of a silent machine, and how long one may take.
    probe_ms: u64 = 1000, 100, 60000;
    /// Probes of a machine that must fail in a row before it is replaced.
    probes_failed: u32 = 3, 1, 1000;
    /// Silence, with probes unanswered, after which a single machine is replaced.
    replace_after_ms: u64 = 5000, 1000, 600000;
    /// When more than this part of the machines is silent, the fault is taken to be elsewhere.
    replace_max_part: f64 = 0.25, 0.0, 1.0;
    /// When more than this part of a zone's machines is silent, and others are not, the zone is taken to be cut off.
    zone_max_part: f64 = 0.5, 0.0, 1.0;
    /// A controller that has not heard from most of its machines for this long gives its shards to a sibling.
    lose_contact_ms: u64 = 6000, 1000, 600000;
    /// Direct messages to a machine that must go unanswered in a row, though its heartbeats arrive, before it is
    /// taken to be unreachable. Formerly `mute_probes`.
    #[serde(alias = "mute_probes")]
    unreachable_probes: u32 = 5, 2, 1000;
    /// For so long they must have gone unanswered before it is replaced. Formerly `mute_after_ms`.
    #[serde(alias = "mute_after_ms")]
    unreachable_after_ms: u64 = 8000, 1000, 600000;
    /// A machine that answers but whose next heartbeat is late by this long is taken not to get its heartbeats through.
    unreported_ms: u64 = 8000, 1000, 600000;
    /// Without an answer of the store for this long users are refused at once.
    state_patience_ms: u64 = 2500, 500, 60000;
    /// Whoever asks about a cancelled job waits at most this long for its shard's holder to say that it knows.
    confirm_patience_ms: u64 = 1000, 100, 4000;
    /// Machines on which something of a cancelled job may still run are deleted once this part of the time allowed
    /// for a cancellation is over, but not before a lease would have run out.
    clear_part: f64 = 0.75, 0.1, 1.0;
    /// So long before that time is over deleting begins in any case: the cloud's rate, and a call or two that fail.
    clear_margin_ms: u64 = 6000, 0, 600000;
    /// A controller that takes over after the time is up has so long to reach a machine before it is deleted.
    clear_contact_ms: u64 = 3000, 0, 600000;
    /// Failed tasks of different jobs, without a success between, that make a machine suspect.
    faulty_after: u32 = 2, 1, 1000;
    /// A shard gets a new fencing token when its machines name so many exited tasks each in the mean, which lets them
    /// forget these.
    exited_mean: f64 = 6.0, 1.0, 1000.0;
    /// After that none of its shards gets one for this long, for whatever reason.
    exited_every_ms: u64 = 2000, 0, 600000;
    /// Longest pause before a task that failed is tried again.
    retry_max_ms: u64 = 20000, 100, 600000;
    /// Room kept free in each shard for this many tasks of its largest services.
    spare_tasks: u32 = 2, 0, 1000;
    /// Batch work leaves resources free on holders of their images for as many tasks of services as come in this time.
    reserve_ms: u64 = 15000, 0, 600000;
    /// How many come is judged by those of so long ago.
    reserve_window_ms: u64 = 60000, 1000, 3600000;
    /// A machine without tasks is returned after this long.
    idle_return_ms: u64 = 40000, 0, 86400000;
    /// The same while changes of the store are short, as returning a machine takes some.
    idle_return_short_ms: u64 = 160000, 0, 86400000;
    /// A machine goes to another shard's batch work only after it has been free for this long, so that its
    /// own shard's next job finds it; more urgent work gets it at once.
    shift_after_ms: u64 = 5000, 0, 86400000;
    /// Batch work that needs no further machines gets those that stand idle in other shards after it has waited so long.
    shift_waiting_ms: u64 = 30000, 0, 86400000;
    /// So many machines may be on their way between shards, as a part of the changes allowed per second.
    shift_part: f64 = 0.2, 0.0, 10.0;
    /// Backlog of batch work is to be worked off within this time; more machines are rented if it is not.
    drain_ms: u64 = 60000, 1000, 86400000;
    /// A refused kind of machine is not asked for again for this long.
    refused_pause_ms: u64 = 15000, 100, 3600000;
    /// A machine that boots longer than this multiple of the usual time is given up.
    boot_patience: f64 = 3.0, 1.0, 100.0;
    /// So many machines may boot at a time in any case.
    boots_max: u32 = 12, 1, 1000;
    /// In a large deployment machines may boot at a time up to this part of those that are up.
    boots_part: f64 = 1.0, 0.0, 10.0;
    /// Part of the sockets for idle connections to machines and services.
    idle_part: f64 = 0.2, 0.01, 0.4;
    /// Part of the sockets for direct messages to machines that are on their way; others wait.
    direct_part: f64 = 0.1, 0.01, 0.4;
    /// So long what a machine is to be told about batch work waits for its next heartbeat.
    batch_push_ms: u64 = 1000, 0, 60000;
    /// Grace for a task that can save.
    stop_grace_s: f64 = 30.0, 0.0, 600.0;
}

impl Policy {
    /// Reads and checks the file.
    pub fn load(path: &Path) -> Result<Policy, SettingsError> {
        let text = read_file(path)?;
        let policy: Policy = serde_json::from_str(&text)
            .map_err(|e| SettingsError::Parse { path: path.display().to_string(), message: e.to_string() })?;
        policy.check()?;
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
