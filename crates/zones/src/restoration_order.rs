//! Order of restoration: which waiting work is looked at first after a zone was lost.

use crate::settings::ZoneSettings;
use burlhatch_types::Micros;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Shape of a job, the more interactive first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkKind {
    /// Runs until it is cancelled, and users wait for it at every moment.
    Service,
    /// All tasks at the same time.
    Gang,
    /// Independent tasks.
    Array,
}

/// A waiting job, as far as the order depends on it.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingJob<'a, K> {
    /// Names the job.
    pub key: K,
    /// Its shape.
    pub kind: WorkKind,
    /// Its priority; the higher goes first.
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
    /// Whether it is batch work of which nothing has begun for too long.
    pub fn is_starved(&self, settings: &ZoneSettings) -> bool {
        self.kind != WorkKind::Service
            && !self.has_begun
            && self.waited >= Micros::from_millis(settings.starved_after_ms)
    }
}

/// Services by priority and guaranteed quota, then gangs, then arrays, the oldest first among equals. The oldest starved job of
/// each class has its turn among them: after every few services one, so that nothing starves and no service waits for
/// more than one batch job in so many.
pub fn restoration_order<K: Ord + Clone>(mut waiting: Vec<WaitingJob<'_, K>>, settings: &ZoneSettings) -> Vec<K> {
    waiting.sort_by(|a, b| rank(a).cmp(&rank(b)));
    let starved = oldest_starved(&waiting, settings);
    let mut starved_keys: Vec<K> = starved.into_iter().map(|i| waiting[i].key.clone()).collect();
    starved_keys.reverse();
    let first: Vec<K> = starved_keys.clone();
    let mut order = Vec::with_capacity(waiting.len());
    let mut since_starved = 0;
    for job in &waiting {
        if first.contains(&job.key) {
            continue;
        }
        let services_over = job.kind != WorkKind::Service;
        while services_over && let Some(next) = starved_keys.pop() {
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

/// The starved job of each class that has waited longest, the longest first.
fn oldest_starved<K: Ord>(waiting: &[WaitingJob<'_, K>], settings: &ZoneSettings) -> Vec<usize> {
    let mut oldest: BTreeMap<&str, usize> = BTreeMap::new();
    for (i, job) in waiting.iter().enumerate().filter(|(_, job)| job.is_starved(settings)) {
        let held = oldest.entry(job.class).or_insert(i);
        if job.waited > waiting[*held].waited {
            *held = i;
        }
    }
    let mut chosen: Vec<usize> = oldest.into_values().collect();
    chosen.sort_by_key(|i| (Reverse(waiting[*i].waited), *i));
    chosen
}
