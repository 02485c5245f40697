//! Calls to the cloud: tracks those in flight, handles their answers, retries them, and lists machines page by page.

use crate::coordination::autoscaling::machine_types::InstanceOffer;
use crate::coordination::{CloudCall, CloudOutcome, Controller, Effect};
use crate::protocol::cloud::{InstanceRequest, ListedMachine, MachineList};
use crate::types::{MachineId, Micros};
use std::collections::BTreeMap;

/// Maximum number of retries of a request for instances that got no answer. A retry returns the instances created by
/// the first request.
const MAX_CREATE_RETRIES: u32 = 8;
/// Delay before each of these retries.
const CREATE_RETRY_DELAY: Micros = Micros::from_millis(1000);
/// Delay before a failed deletion is requested again.
const DELETE_RETRY_DELAY: Micros = Micros::from_millis(500);
/// Interval between two listings of all machines.
const LISTING_INTERVAL: Micros = Micros::from_millis(2500);

/// A request to the cloud, kept until it is answered.
#[derive(Clone, Debug)]
pub(crate) enum CloudRequest {
    ListTypes,
    /// Requests the next page of the machine listing.
    ListMachines,
    CreateInstances {
        request: InstanceRequest,
        retry_count: u32,
    },
    DeleteMachines(Vec<MachineId>),
    /// Deletion by the holder of the machines' shard, because nothing else proved in time that the attempts of
    /// cancelled tasks are absent.
    DeleteForCancellation(Vec<MachineId>),
}

/// A request to be sent again at a given time.
struct Retry {
    due_at: Micros,
    request: CloudRequest,
}

/// The paginated listing of all machines.
#[derive(Default)]
struct MachineListing {
    next_at: Micros,
    is_in_flight: bool,
    /// The machines on the pages read so far.
    machines: Vec<ListedMachine>,
    /// Whether all machines were listed since this controller became the leader.
    is_complete: bool,
}

/// The calls to the cloud.
pub(super) struct CloudClient {
    next_call: u64,
    in_flight: BTreeMap<u64, CloudRequest>,
    retries: Vec<Retry>,
    listing: MachineListing,
}

impl Default for CloudClient {
    fn default() -> CloudClient {
        CloudClient {
            next_call: 1,
            in_flight: BTreeMap::new(),
            retries: Vec::new(),
            listing: MachineListing::default(),
        }
    }
}

impl CloudClient {
    /// Continues the call numbering of an earlier client.
    pub fn continue_numbering_of(&mut self, earlier: &CloudClient) {
        self.next_call = earlier.next_call;
    }

    /// Records a request as in flight and returns the effect that sends it.
    fn send(&mut self, request: CloudRequest) -> Effect {
        let wire = match &request {
            CloudRequest::ListTypes => CloudCall::Types,
            CloudRequest::ListMachines => {
                CloudCall::List { after: self.listing.machines.last().map(|machine| machine.id.clone()) }
            }
            CloudRequest::CreateInstances { request, .. } => CloudCall::CreateInstances(request.clone()),
            CloudRequest::DeleteMachines(ids) | CloudRequest::DeleteForCancellation(ids) => {
                CloudCall::Delete(ids.clone())
            }
        };
        let call = self.next_call;
        self.next_call += 1;
        self.in_flight.insert(call, request);
        Effect::Cloud { call, request: wire }
    }

    fn retry_at(&mut self, due_at: Micros, request: CloudRequest) {
        self.retries.push(Retry { due_at, request });
    }

    /// Drops all pending retries, which only the leader may send.
    pub fn clear_retries(&mut self) {
        self.retries.clear();
    }

    /// Removes and returns the requests whose retry is due.
    pub fn take_due_retries(&mut self, now: Micros) -> Vec<CloudRequest> {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.retries).into_iter().partition(|retry| retry.due_at <= now);
        self.retries = later;
        due.into_iter().map(|retry| retry.request).collect()
    }

    /// Returns whether a request for instances is in flight or waits for its retry.
    pub fn is_creating_instances(&self) -> bool {
        let waiting = self.retries.iter().map(|retry| &retry.request);
        let mut requests = self.in_flight.values().chain(waiting);
        requests.any(|request| matches!(request, CloudRequest::CreateInstances { .. }))
    }

    /// Schedules a new listing of all machines at once, after this controller has become the leader.
    pub fn restart_listing(&mut self, now: Micros) {
        self.listing.is_complete = false;
        self.listing.next_at = now;
    }

    /// Begins a listing if one is due. Returns whether the caller should request its first page.
    pub fn begin_due_listing(&mut self, now: Micros) -> bool {
        if self.listing.is_in_flight || now < self.listing.next_at {
            return false;
        }
        self.listing.is_in_flight = true;
        self.listing.next_at = now + LISTING_INTERVAL;
        true
    }

    /// Returns whether all machines were listed since this controller became the leader.
    pub fn has_listed_machines(&self) -> bool {
        self.listing.is_complete
    }

    fn abort_listing(&mut self) {
        self.listing.is_in_flight = false;
        self.listing.machines.clear();
    }

    /// Adds a page to the listing. Returns the machines of all pages if no further page is to be read.
    fn add_page(&mut self, page: MachineList, may_continue: bool) -> Option<Vec<ListedMachine>> {
        let has_more = page.more && !page.machines.is_empty();
        self.listing.machines.extend(page.machines);
        self.listing.is_in_flight = has_more && may_continue;
        if self.listing.is_in_flight {
            return None;
        }
        self.listing.is_complete = true;
        Some(std::mem::take(&mut self.listing.machines))
    }
}

impl Controller {
    /// Sends a request to the cloud. The answer arrives as an input of the state machine.
    pub(crate) fn send_cloud_request(&mut self, request: CloudRequest) {
        let effect = self.autoscaling.cloud.send(request);
        self.out.push(effect);
    }

    /// Sends the requests whose retry is due.
    pub(super) fn send_due_cloud_retries(&mut self) {
        for request in self.autoscaling.cloud.take_due_retries(self.now()) {
            self.send_cloud_request(request);
        }
    }

    /// Handles the outcome of a call to the cloud.
    pub(crate) fn cloud_outcome(&mut self, call: u64, outcome: CloudOutcome) {
        let Some(request) = self.autoscaling.cloud.in_flight.remove(&call) else { return };
        match request {
            CloudRequest::ListTypes => {
                if let CloudOutcome::Types(types) = outcome {
                    self.machine_types_listed(types);
                }
            }
            CloudRequest::ListMachines => self.listing_outcome(outcome),
            CloudRequest::CreateInstances { request, retry_count } => {
                self.create_instances_outcome(request, retry_count, outcome);
            }
            CloudRequest::DeleteMachines(ids) => {
                if let CloudOutcome::Deleted = outcome {
                    self.deletion_confirmed(ids);
                } else {
                    let due_at = self.now() + DELETE_RETRY_DELAY;
                    self.autoscaling.cloud.retry_at(due_at, CloudRequest::DeleteMachines(ids));
                }
            }
            CloudRequest::DeleteForCancellation(ids) => {
                if let CloudOutcome::Deleted = outcome {
                    self.cancellation_deletion_confirmed(ids);
                } else {
                    self.cancellation_deletion_failed(&ids);
                }
            }
        }
    }

    fn listing_outcome(&mut self, outcome: CloudOutcome) {
        let CloudOutcome::List(page) = outcome else {
            self.autoscaling.cloud.abort_listing();
            return;
        };
        let is_leader = self.is_leader();
        match self.autoscaling.cloud.add_page(page, is_leader) {
            Some(machines) => self.machines_listed(machines),
            None => self.send_cloud_request(CloudRequest::ListMachines),
        }
    }

    fn create_instances_outcome(&mut self, request: InstanceRequest, retry_count: u32, outcome: CloudOutcome) {
        match outcome {
            CloudOutcome::InstancesCreated(created) => self.instances_created(&request, created.machines),
            CloudOutcome::NoCapacity => {
                let InstanceRequest { machine_type, zone, spot, .. } = request;
                tracing::info!(machine_type, zone, spot, "instance offer out of capacity");
                self.mark_unavailable(InstanceOffer { machine_type, zone, spot });
            }
            CloudOutcome::Types(_) | CloudOutcome::List(_) | CloudOutcome::Deleted | CloudOutcome::Failed => {
                // The request may have been executed. A retry under the same name returns the instances it created.
                if retry_count < MAX_CREATE_RETRIES {
                    let retry = CloudRequest::CreateInstances { request, retry_count: retry_count + 1 };
                    self.autoscaling.cloud.retry_at(self.now() + CREATE_RETRY_DELAY, retry);
                }
            }
        }
    }
}
