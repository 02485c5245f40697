//! The DAG of job dependencies, across shards and teams.
//!
//! A job depends only on jobs that were accepted before it, so there are no cycles. Only jobs that have not ended are
//! nodes. Each node holds the dependencies that it still waits for and the jobs that depend on it, so no operation
//! visits all jobs. Urgency propagates from dependents to dependencies: a job is at least as urgent as the most urgent
//! job that depends on it, and has to be done early enough for that job.
//!
//! Changes are collected and propagated together, in topological order. One propagation follows each dependency once,
//! however many changes there were and however many paths lead to a job.

use crate::protocol::user::Priority;
use crate::types::{JobId, Micros};
use std::collections::{BTreeSet, HashMap, HashSet};

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

impl Node {
    /// Returns the urgency that the job requires of its dependencies.
    fn required_urgency(&self) -> Urgency {
        let due_at = self.urgency.due_at.map(|at| at - self.duration);
        Urgency { priority: self.urgency.priority, due_at }
    }
}

/// A step of the depth-first search that sorts jobs topologically.
enum SearchStep<'a> {
    Enter(&'a JobId),
    Leave(&'a JobId),
}

/// What one propagation of urgency has done.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Propagation {
    /// Jobs whose urgency was raised, each once.
    pub raised: Vec<JobId>,
    /// Number of jobs that were visited.
    pub visited_jobs: usize,
    /// Number of dependencies that were followed.
    pub followed_dependencies: usize,
}

/// The jobs that have not ended and have dependencies or dependents.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    nodes: HashMap<JobId, Node>,
    /// Jobs that have changed since the last propagation.
    changed: BTreeSet<JobId>,
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
        self.changed.insert(id.clone());
    }

    /// Makes `id` depend on `dependency`, both of which must be nodes.
    pub fn link(&mut self, id: &JobId, dependency: &JobId) {
        if !self.nodes.contains_key(dependency) {
            return;
        }
        if let Some(node) = self.nodes.get_mut(id) {
            node.dependencies.insert(dependency.clone());
        }
        if let Some(node) = self.nodes.get_mut(dependency) {
            node.dependents.insert(id.clone());
        }
        self.changed.insert(id.clone());
    }

    /// Propagates the urgency of the jobs that have changed to their direct and indirect dependencies.
    pub fn propagate_urgency(&mut self) -> Propagation {
        let changed = std::mem::take(&mut self.changed);
        let sources: Vec<&JobId> = changed.iter().filter(|id| self.raises_any_dependency(id)).collect();
        let sorted = self.dependents_first(&sources);
        let mut propagation = Propagation { visited_jobs: sorted.len(), ..Propagation::default() };
        let mut raised: HashSet<JobId> = HashSet::new();
        for id in &sorted {
            let Some(node) = self.nodes.get_mut(id) else { continue };
            let required = node.required_urgency();
            let dependencies = std::mem::take(&mut node.dependencies);
            propagation.followed_dependencies += dependencies.len();
            for dependency in &dependencies {
                if self.raise(dependency, required) && raised.insert(dependency.clone()) {
                    propagation.raised.push(dependency.clone());
                }
            }
            if let Some(node) = self.nodes.get_mut(id) {
                node.dependencies = dependencies;
            }
        }
        propagation
    }

    /// Returns whether a job requires more of any direct dependency than that has now.
    fn raises_any_dependency(&self, id: &JobId) -> bool {
        let Some(node) = self.nodes.get(id) else { return false };
        let required = node.required_urgency();
        let is_raised = |dependency: &Node| dependency.urgency.max(required) != dependency.urgency;
        node.dependencies.iter().filter_map(|dependency| self.nodes.get(dependency)).any(is_raised)
    }

    /// Raises a job's urgency to at least `required`. Returns whether it was lower.
    fn raise(&mut self, id: &JobId, required: Urgency) -> bool {
        let Some(node) = self.nodes.get_mut(id) else { return false };
        let urgency = node.urgency.max(required);
        let is_raised = urgency != node.urgency;
        node.urgency = urgency;
        is_raised
    }

    /// Returns these jobs and their direct and indirect dependencies, each once and after all its dependents among them.
    fn dependents_first(&self, sources: &[&JobId]) -> Vec<JobId> {
        let mut entered: HashSet<&JobId> = HashSet::new();
        let mut sorted = Vec::new();
        let mut steps: Vec<SearchStep> = sources.iter().map(|id| SearchStep::Enter(id)).collect();
        while let Some(step) = steps.pop() {
            match step {
                SearchStep::Leave(id) => sorted.push(id.clone()),
                SearchStep::Enter(id) => {
                    let Some(node) = self.nodes.get(id).filter(|_| entered.insert(id)) else { continue };
                    steps.push(SearchStep::Leave(id));
                    let unentered = node.dependencies.iter().filter(|dependency| !entered.contains(dependency));
                    steps.extend(unentered.map(SearchStep::Enter));
                }
            }
        }
        sorted.reverse();
        sorted
    }

    /// Removes a job that has ended. If it is done, returns the dependents without further open dependencies; if not,
    /// returns all its dependents, which can never start.
    pub fn remove_ended(&mut self, id: &JobId, is_done: bool) -> Vec<JobId> {
        let Some(ended) = self.nodes.remove(id) else { return Vec::new() };
        self.changed.remove(id);
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
