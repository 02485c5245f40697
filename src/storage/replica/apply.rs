//! Application of the store's changes to the replica.

use super::{AcceptedJob, Change, Replica, Versioned, is_deleted};
use crate::protocol::store::Event;
use crate::storage::schema::{JobBatchMember, JobRecord, Key, MachineBatchMember, from_value};
use crate::types::{JobId, MachineId, Revision};
use ciborium::Value;
use std::collections::BTreeMap;

/// Inserts or removes one entry of a map.
fn set_entry<K: Ord, T>(map: &mut BTreeMap<K, Versioned<T>>, key: K, value: Option<T>, version: u64) {
    match value {
        Some(value) => {
            map.insert(key, Versioned { value, version });
        }
        None => {
            map.remove(&key);
        }
    }
}

impl Replica {
    /// Applies events of the store that follow some revision at or before `applied_revision`, and returns the changes.
    pub fn advance(&mut self, events: &[Event], revision: Revision) -> Vec<Change> {
        let mut changes = Vec::new();
        let applied = self.applied_revision.0;
        for event in events.iter().filter(|event| event.version > applied) {
            let change = match (&event.put, &event.delete) {
                (Some(key), _) => self.apply(key, event.value.as_ref(), event.version),
                (None, Some(key)) => self.apply(key, None, event.version),
                (None, None) => Change::Nothing,
            };
            if change != Change::Nothing {
                changes.push(change);
            }
        }
        if revision > self.applied_revision {
            self.applied_revision = revision;
            self.deleted_ahead.retain(|_, version| *version > revision.0);
        }
        changes
    }

    /// Puts or removes one key as of `version`. A change that is not newer than the replica's version of the key is
    /// ignored.
    pub fn apply(&mut self, key: &str, value: Option<&Value>, version: u64) -> Change {
        let Some(key) = Key::parse(key) else { return Change::Nothing };
        let deleted_at = self.deleted_ahead.get(&key).copied().unwrap_or(0);
        if version <= self.version(&key).max(deleted_at) {
            return Change::Nothing;
        }
        if value.is_none() && version > self.applied_revision.0 {
            self.deleted_ahead.insert(key.clone(), version);
        }
        self.apply_to_key(key, value, version)
    }

    fn apply_to_key(&mut self, key: Key, value: Option<&Value>, version: u64) -> Change {
        match key {
            Key::FencingToken => {
                self.fencing_token = value.and_then(from_value).map(|value| Versioned { value, version });
                Change::Nothing
            }
            Key::Role(role) => {
                set_entry(&mut self.roles, role, value.and_then(from_value), version);
                Change::Role(role)
            }
            Key::Controller(label) => {
                set_entry(&mut self.controllers, label.clone(), value.and_then(from_value), version);
                Change::Controller(label)
            }
            Key::MachineBatch(name) => self.apply_machine_batch(name, value, version),
            Key::Machine(id) => self.apply_machine(id, value, version),
            Key::JobBatch(name) => self.apply_job_batch(name, value, version),
            Key::RunChunk(id, chunk) => self.apply_run_chunk(id, chunk, value, version),
            Key::DependencyListPart(name, number) => self.apply_dependency_list_part(name, number, value, version),
            Key::ZoneView(zone, shard) => {
                set_entry(&mut self.zone_views, (zone.clone(), shard), value.map(from_value), version);
                Change::ZoneView(zone, shard)
            }
            Key::ZoneCordon(zone) => {
                set_entry(&mut self.zone_cordons, zone.clone(), value.map(from_value), version);
                Change::ZoneCordon(zone)
            }
            Key::JobLoans(id) => {
                set_entry(&mut self.job_loans, id.clone(), value.and_then(from_value), version);
                Change::JobLoans(id)
            }
            Key::Outcome(id) => self.apply_outcome(id, value, version),
        }
    }

    fn apply_machine(&mut self, id: MachineId, value: Option<&Value>, version: u64) -> Change {
        set_entry(&mut self.machine_records, id.clone(), value.and_then(from_value), version);
        self.resolve_machine(&id);
        Change::Machines(vec![id])
    }

    fn apply_machine_batch(&mut self, name: String, value: Option<&Value>, version: u64) -> Change {
        let old_members = self.machine_batches.get(&name).map(|batch| batch.value.clone()).unwrap_or_default();
        let new_members: Option<Vec<MachineBatchMember>> = value.and_then(from_value);
        let members = old_members.into_iter().chain(new_members.iter().flatten().cloned());
        let mut ids: Vec<MachineId> = members.map(|member| member.id).collect();
        ids.dedup();
        self.machine_batch_of.retain(|_, batch| *batch != name);
        for member in new_members.iter().flatten() {
            self.machine_batch_of.insert(member.id.clone(), name.clone());
        }
        set_entry(&mut self.machine_batches, name, new_members, version);
        for id in &ids {
            self.resolve_machine(id);
        }
        Change::Machines(ids)
    }

    /// Derives a machine's current record: its own key takes precedence over its entry in a batch.
    fn resolve_machine(&mut self, id: &MachineId) {
        let of_batch = || {
            let batch = self.machine_batches.get(self.machine_batch_of.get(id)?)?;
            let member = batch.value.iter().find(|member| member.id == *id)?;
            Some(Versioned { value: member.record.clone(), version: 0 })
        };
        match self.machine_records.get(id).cloned().or_else(of_batch) {
            Some(machine) if !is_deleted(&machine.value) => {
                self.machines.insert(id.clone(), machine);
            }
            _ => {
                self.machines.remove(id);
            }
        }
    }

    fn apply_job_batch(&mut self, name: String, value: Option<&Value>, version: u64) -> Change {
        let members: Option<Vec<JobBatchMember>> = value.and_then(from_value);
        let mut touched = self.remove_jobs_of_batch(&name);
        let mut member_ids = Vec::new();
        for member in members.iter().flatten() {
            member_ids.push(member.id.clone());
            // Two controllers may accept the same submission at the same time. The batch committed first counts, in
            // whichever order the two batches are read.
            let known = self.jobs.get(&member.id);
            if known.is_some_and(|known| (known.version, &known.batch) < (version, &name)) {
                continue;
            }
            let record = self.with_listed_dependencies(&member.record);
            self.jobs.insert(member.id.clone(), AcceptedJob { record, batch: name.clone(), version });
            touched.push(member.id.clone());
        }
        set_entry(&mut self.job_batches, name, members.map(|_| member_ids), version);
        Change::Jobs(touched)
    }

    /// Removes the jobs that are known from a batch, and returns their ids.
    fn remove_jobs_of_batch(&mut self, name: &str) -> Vec<JobId> {
        let mut ids = self.job_batches.get(name).map(|batch| batch.value.clone()).unwrap_or_default();
        ids.retain(|id| self.jobs.get(id).is_some_and(|known| known.batch == name));
        for id in &ids {
            self.jobs.remove(id);
        }
        ids
    }

    /// Returns a job's record with the dependencies in its dependency list, whose parts were stored before the record.
    fn with_listed_dependencies(&self, record: &JobRecord) -> JobRecord {
        let mut record = record.clone();
        if let Some(parts) = &record.dependency_list_parts {
            record.spec.depends_on.extend(self.listed_dependencies(&parts.name));
        }
        record
    }

    /// Adds to jobs the parts of their dependency lists that were read after their batches, as pages of the store are
    /// read at different times.
    pub fn complete_dependency_lists(&mut self) {
        let list_of = |known: &AcceptedJob| known.record.dependency_list_parts.as_ref().map(|parts| parts.name.clone());
        let jobs: Vec<(JobId, String)> =
            self.jobs.iter().filter_map(|(id, known)| Some((id.clone(), list_of(known)?))).collect();
        for (id, list) in jobs {
            let depends_on = self.listed_dependencies(&list).collect();
            if let Some(known) = self.jobs.get_mut(&id) {
                known.record.spec.depends_on = depends_on;
            }
        }
    }

    fn apply_run_chunk(&mut self, id: JobId, chunk: u32, value: Option<&Value>, version: u64) -> Change {
        let chunks = self.run_chunks.entry(id.clone()).or_default();
        set_entry(chunks, chunk, value.and_then(from_value), version);
        if chunks.is_empty() {
            self.run_chunks.remove(&id);
        }
        Change::RunChunk(id, chunk)
    }

    fn apply_dependency_list_part(&mut self, name: String, number: u32, value: Option<&Value>, version: u64) -> Change {
        let parts = self.dependency_list_parts.entry(name.clone()).or_default();
        set_entry(parts, number, value.and_then(from_value), version);
        if parts.is_empty() {
            self.dependency_list_parts.remove(&name);
        }
        Change::Nothing
    }

    /// Applies an outcome, which is written once and never removed.
    fn apply_outcome(&mut self, id: JobId, value: Option<&Value>, version: u64) -> Change {
        if let Some(value) = value.and_then(from_value) {
            self.outcomes.insert(id.clone(), Versioned { value, version });
        }
        Change::Outcome(id)
    }
}
