//! Known machines: heartbeats, failure detection, commands to agents, lease renewal, cordon and drain.

pub(crate) mod agent_commands;
pub(crate) mod clearing;
pub(crate) mod draining;
pub(crate) mod failure_detector;
pub(crate) mod heartbeats;
pub(crate) mod lease_renewal;
pub(crate) mod machines;
pub(crate) mod moves;
pub(crate) mod registration;

use crate::coordination::Waiter;
use crate::protocol::worker::Heartbeat;
use crate::settings::{Platform, Policy};
use crate::types::{MachineId, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// A heartbeat of a machine that is not in the stored records yet.
pub(crate) struct Unregistered {
    pub(crate) since: Micros,
    pub(crate) waiter: Waiter,
    pub(crate) heartbeat: Heartbeat,
}

/// The machines that this controller knows of.
pub(crate) struct Fleet {
    pub(crate) machines: BTreeMap<MachineId, machines::Machine>,
    /// Machines that are to be told something before their next heartbeat.
    pub(crate) pending_commands: BTreeSet<MachineId>,
    /// The same for what can wait until then.
    pub(crate) delayed_commands: BTreeSet<(Micros, MachineId)>,
    /// Direct messages on their way, and how many there may be: each takes a socket.
    pub(crate) direct_open: usize,
    pub(crate) direct_most: usize,
    /// Probes between heartbeats that may go now, and as of when.
    pub(crate) probes_left: f64,
    pub(crate) probed_at: Micros,
    pub(crate) next_check_at: Micros,
    /// When more machines than could well be lost together last failed to answer.
    pub(crate) many_unreachable_at: Option<Micros>,
    /// The same for machines whose heartbeats did not come.
    pub(crate) many_unreported_at: Option<Micros>,
    /// When most of a zone's machines were last silent together.
    pub(crate) zones_cut_at: BTreeMap<String, Micros>,
    /// Heartbeats of machines that are just being taken into the stored records.
    pub(crate) unregistered: Vec<Unregistered>,
    /// Machines without a record that answered when they were asked, and when.
    pub(crate) unregistered_alive_at: BTreeMap<MachineId, Micros>,
    /// By when machines of shards held here should move to others, if any are to.
    pub(crate) moves_due: Option<Micros>,
}

impl Fleet {
    pub(crate) fn new(platform: &Platform, policy: &Policy) -> Fleet {
        Fleet {
            machines: BTreeMap::new(),
            pending_commands: BTreeSet::new(),
            delayed_commands: BTreeSet::new(),
            direct_open: 0,
            direct_most: platform.deployment.quota.part_of_sockets(policy.direct_part),
            probes_left: 0.0,
            probed_at: Micros::ZERO,
            next_check_at: Micros::ZERO,
            many_unreachable_at: None,
            many_unreported_at: None,
            zones_cut_at: BTreeMap::new(),
            unregistered: Vec::new(),
            unregistered_alive_at: BTreeMap::new(),
            moves_due: None,
        }
    }
}
