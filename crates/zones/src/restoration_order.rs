//! Order of restoration: the order in which waiting jobs are considered after the loss of a zone.

use crate::settings::ZoneSettings;
use burlhatch_types::Micros;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Kind of a job, in order of restoration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkKind {
    /// A job that runs until it is cancelled, and on which users depend all the time.
    Service,
    /// A job whose tasks all run at the same time.
    Gang,
    /// A job of independent tasks.
    Array,
}

/// The properties of a waiting job on which the order depends.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingJob<'a, K> {
    /// Identifier of the job.
    pub key: K,
    /// Its kind.
    pub kind: WorkKind,
    /// Its priority; a higher one comes first.
    pub priority: u8,
    /// Whether its team is within its guaranteed quota.
    pub is_within_guaranteed_quota: bool,
    /// Its class.
    pub class: &'a str,
    /// How long it has waited.
    pub waited: Micros,
    /// Whether a task of it was ever started.
    pub has_begun: bool,
}

impl<K> WaitingJob<'_, K> {
    /// Whether it is a batch job that has waited for `starved_after_ms` without starting any task.
    pub fn is_starved(&self, settings: &ZoneSettings) -> bool {
        self.kind != WorkKind::Service
            && !self.has_begun
            && self.waited >= Micros::from_millis(settings.starved_after_ms)
    }
}

/// Returns the keys of the jobs in order of restoration: services, then gangs, then arrays, each by priority,
/// guaranteed quota and waiting time. The oldest starved job of each class gets a turn among the services, one after
/// every `services_per_starved` services. So no class of batch jobs starves, and the number of batch jobs ahead of a
/// service is bounded.
pub fn restoration_order<K: Ord + Clone>(mut waiting: Vec<WaitingJob<'_, K>>, settings: &ZoneSettings) -> Vec<K> {
    waiting.sort_by(|a, b| rank(a).cmp(&rank(b)));
    let starved = oldest_starved(&waiting, settings);
    let mut starved_keys: Vec<K> = starved.into_iter().map(|i| waiting[i].key.clone()).collect();
    starved_keys.reverse();
    let inserted_separately: Vec<K> = starved_keys.clone();
    let mut order = Vec::with_capacity(waiting.len());
    let mut since_starved = 0;
    for job in &waiting {
        if inserted_separately.contains(&job.key) {
            continue;
        }
        let is_past_services = job.kind != WorkKind::Service;
        while is_past_services && let Some(next) = starved_keys.pop() {
            order.push(next);
        }
        order.push(job.key.clone());
        since_starved += 1;
        if since_starved == settings.services_per_starved
            && let Some(next) = starved_keys.pop()
        {
            order.push(next);
            since_starved = 0;
        }
    }
    order.extend(starved_keys.into_iter().rev());
    order
}

fn rank<'w, K: Ord>(job: &'w WaitingJob<'_, K>) -> (WorkKind, Reverse<u8>, bool, Reverse<Micros>, &'w K) {
    (job.kind, Reverse(job.priority), !job.is_within_guaranteed_quota, Reverse(job.waited), &job.key)
}

/// Returns the index of the longest-waiting starved job of each class, in descending order of waiting time.
fn oldest_starved<K: Ord>(waiting: &[WaitingJob<'_, K>], settings: &ZoneSettings) -> Vec<usize> {
    let mut oldest: BTreeMap<&str, usize> = BTreeMap::new();
    for (i, job) in waiting.iter().enumerate().filter(|(_, job)| job.is_starved(settings)) {
        let oldest_index = oldest.entry(job.class).or_insert(i);
        if job.waited > waiting[*oldest_index].waited {
            *oldest_index = i;
        }
    }
    let mut chosen: Vec<usize> = oldest.into_values().collect();
    chosen.sort_by_key(|i| (Reverse(waiting[*i].waited), *i));
    chosen
}
