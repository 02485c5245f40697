//! The DAG of job dependencies, across shards and teams.
//!
//! A job depends only on jobs that were accepted before it, so there are no cycles. Only jobs that have not ended are
//! nodes. Each node holds the dependencies that it still waits for and the jobs that depend on it, so no operation
//! visits all jobs. Urgency propagates from dependents to dependencies: a job is at least as urgent as the most urgent
//! job that depends on it, and has to be done early enough for that job.

use crate::protocol::user::Priority;
use crate::types::{JobId, Micros};
use std::collections::{BTreeSet, HashMap};

/// The urgency of a job, by itself or for the jobs that depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// The highest of its own priority and those of its dependents.
    pub priority: Priority,
    /// Time of day by which it should be done.
    pub due_at: Option<Micros>,
}

impl Urgency {
    /// Returns the higher priority and the earlier due time of both.
    pub fn max(self, other: Urgency) -> Urgency {
        let due_at = match (self.due_at, other.due_at) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Urgency { priority: self.priority.max(other.priority), due_at }
    }
}

#[derive(Debug)]
struct Node {
    /// Dependencies that have not ended.
    dependencies: BTreeSet<JobId>,
    dependents: BTreeSet<JobId>,
    urgency: Urgency,
    /// Estimated time that the job takes once its dependencies are done.
    duration: Micros,
}

/// The jobs that have not ended and have dependencies or dependents.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    nodes: HashMap<JobId, Node>,
}

impl DependencyGraph {
    /// Whether the job has a dependency that has not ended.
    pub fn has_open_dependencies(&self, id: &JobId) -> bool {
        self.nodes.get(id).is_some_and(|node| !node.dependencies.is_empty())
    }

    /// Returns the job's urgency, if it is a node.
    pub fn urgency(&self, id: &JobId) -> Option<Urgency> {
        self.nodes.get(id).map(|node| node.urgency)
    }

    /// Adds a job, or updates it if it is a node already because other jobs depend on it.
    pub fn upsert(&mut self, id: &JobId, own_urgency: Urgency, duration: Micros) {
        let new =
            || Node { dependencies: BTreeSet::new(), dependents: BTreeSet::new(), urgency: own_urgency, duration };
        let node = self.nodes.entry(id.clone()).or_insert_with(new);
        node.urgency = node.urgency.max(own_urgency);
        node.duration = duration;
    }

    /// Makes `id` depend on `dependency`, both of which must be nodes. Returns the jobs whose urgency was raised.
    pub fn link(&mut self, id: &JobId, dependency: &JobId) -> Vec<JobId> {
        if !self.nodes.contains_key(dependency) {
            return Vec::new();
        }
        if let Some(node) = self.nodes.get_mut(id) {
            node.dependencies.insert(dependency.clone());
        }
        if let Some(node) = self.nodes.get_mut(dependency) {
            node.dependents.insert(id.clone());
        }
        self.propagate_urgency(id)
    }

    /// Propagates a job's urgency to its direct and indirect dependencies; returns those whose urgency was raised.
    pub fn propagate_urgency(&mut self, id: &JobId) -> Vec<JobId> {
        let mut raised = Vec::new();
        let mut to_visit = vec![id.clone()];
        while let Some(id) = to_visit.pop() {
            let Some(node) = self.nodes.get(&id) else { continue };
            let due_at = node.urgency.due_at.map(|at| at - node.duration);
            let wanted = Urgency { priority: node.urgency.priority, due_at };
            for dependency in node.dependencies.clone() {
                let Some(node) = self.nodes.get_mut(&dependency) else { continue };
                let urgency = node.urgency.max(wanted);
                if urgency != node.urgency {
                    node.urgency = urgency;
                    raised.push(dependency.clone());
                    to_visit.push(dependency);
                }
            }
        }
        raised
    }

    /// Removes a job that has ended. If it is done, returns the dependents without further open dependencies; if not,
    /// returns all its dependents, which can never start.
    pub fn remove_ended(&mut self, id: &JobId, is_done: bool) -> Vec<JobId> {
        let Some(ended) = self.nodes.remove(id) else { return Vec::new() };
        for dependency in &ended.dependencies {
            if let Some(node) = self.nodes.get_mut(dependency) {
                node.dependents.remove(id);
            }
        }
        let mut affected = Vec::new();
        for dependent in ended.dependents {
            let Some(node) = self.nodes.get_mut(&dependent) else { continue };
            node.dependencies.remove(id);
            if !is_done || node.dependencies.is_empty() {
                affected.push(dependent);
            }
        }
        affected
    }
}
