//! The machine types that the cloud offers.

use crate::coordination::Controller;
use crate::coordination::autoscaling::cloud_client::CloudRequest;
use crate::protocol::cloud::{MachineType, MachineTypes};
use crate::types::{Micros, Resources};
use std::collections::BTreeMap;

/// Interval between two listings of the machine types.
const REFRESH_INTERVAL: Micros = Micros::from_millis(60_000);
/// Interval between listings until the first one is answered, as nothing can be placed before.
const FIRST_LISTING_RETRY_INTERVAL: Micros = Micros::from_millis(1000);

/// Kind of instance that a request to the cloud creates: a machine type in a zone, as a spot or on-demand instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct InstanceOffer {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

/// A machine type of the cloud with its resources converted to [`Resources`].
#[derive(Clone, Debug)]
pub(crate) struct MachineTypeInfo {
    pub(crate) wire: MachineType,
    pub(crate) resources: Resources,
}

impl From<MachineType> for MachineTypeInfo {
    fn from(wire: MachineType) -> MachineTypeInfo {
        let resources = Resources::new(wire.cpus, wire.gpus, wire.memory_gb);
        MachineTypeInfo { wire, resources }
    }
}

/// The machine types by name, as last listed.
#[derive(Debug, Default)]
pub(super) struct MachineTypeCatalog {
    types: BTreeMap<String, MachineTypeInfo>,
    requested_at: Option<Micros>,
}

impl MachineTypeCatalog {
    /// Returns whether no type is listed yet.
    pub fn is_empty(&self) -> bool {
        self.types.is_empty()
    }

    /// Returns all types in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &MachineTypeInfo> {
        self.types.values()
    }

    /// Returns the type of this name.
    pub fn get(&self, name: &str) -> Option<&MachineTypeInfo> {
        self.types.get(name)
    }

    /// Returns the resources of a type; all zero if it is not listed.
    pub fn resources(&self, name: &str) -> Resources {
        self.get(name).map(|info| info.resources).unwrap_or_default()
    }

    /// Moves the types out of another catalog into this one. The time of its last listing is not taken over, so that
    /// the types are listed anew at once.
    pub fn replace_types_from(&mut self, other: &mut MachineTypeCatalog) {
        self.types = std::mem::take(&mut other.types);
    }

    fn is_refresh_due(&self, now: Micros) -> bool {
        let interval = if self.is_empty() { FIRST_LISTING_RETRY_INTERVAL } else { REFRESH_INTERVAL };
        self.requested_at.is_none_or(|at| now.since(at) >= interval)
    }
}

impl Controller {
    /// Lists the machine types when a refresh is due. Every controller does so, not only the leader.
    pub(crate) fn tick_machine_types(&mut self) {
        let now = self.now();
        if self.autoscaling.machine_types.is_refresh_due(now) {
            self.autoscaling.machine_types.requested_at = Some(now);
            self.send_cloud_request(CloudRequest::ListTypes);
        }
    }

    /// Stores the machine types that the cloud has listed.
    pub(super) fn machine_types_listed(&mut self, listed: MachineTypes) {
        let types = listed.types.into_iter().map(|wire| (wire.name.clone(), wire.into()));
        self.autoscaling.machine_types.types = types.collect();
        self.scheduling.request_cycle();
    }
}
