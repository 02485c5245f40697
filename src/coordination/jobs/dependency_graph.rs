//! Which jobs wait for which, across shards and teams.
//!
//! A job names only jobs that were accepted before it, so there are no circles. Kept in step with what is over:
//! each job that waits holds the set of those it still waits for, and each that is waited for knows by whom, so
//! nothing walks over all jobs. Urgency runs the other way: a job is as urgent as the most urgent one that needs it,
//! and has to be done early enough for it.

use crate::protocol::user::Priority;
use crate::types::{JobId, Micros};
use std::collections::{BTreeSet, HashMap};

/// How urgent a job is, by itself or for those that need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Of the job, or of one that needs it.
    pub priority: Priority,
    /// Time of day by which it should be done.
    pub due: Option<Micros>,
}

impl Urgency {
    /// The more urgent of both in each respect.
    pub fn most(self, other: Urgency) -> Urgency {
        let due = match (self.due, other.due) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Urgency { priority: self.priority.max(other.priority), due }
    }
}

#[derive(Debug)]
struct Node {
    /// Jobs it waits for that are not over.
    before: BTreeSet<JobId>,
    after: BTreeSet<JobId>,
    urgency: Urgency,
    /// How long it takes from when it is ready, as far as can be told.
    span: Micros,
}

/// Jobs that are not over and wait for others, or are waited for.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    nodes: HashMap<JobId, Node>,
}

impl DependencyGraph {
    /// Whether it has to wait for a job that is not over.
    pub fn waits(&self, id: &JobId) -> bool {
        self.nodes.get(id).is_some_and(|n| !n.before.is_empty())
    }

    /// Its urgency, if it is part of a dependency chain.
    pub fn urgency(&self, id: &JobId) -> Option<Urgency> {
        self.nodes.get(id).map(|n| n.urgency)
    }

    /// Notes a job, which may be known already as one that others wait for.
    pub fn note(&mut self, id: &JobId, own: Urgency, span: Micros) {
        let fresh = Node { before: BTreeSet::new(), after: BTreeSet::new(), urgency: own, span };
        let node = self.nodes.entry(id.clone()).or_insert(fresh);
        node.urgency = node.urgency.most(own);
        node.span = span;
    }

    /// `id` waits for `before`; both were noted. Says which jobs became more urgent by it.
    pub fn link(&mut self, id: &JobId, before: &JobId) -> Vec<JobId> {
        if !self.nodes.contains_key(before) {
            return Vec::new();
        }
        if let Some(node) = self.nodes.get_mut(id) {
            node.before.insert(before.clone());
        }
        if let Some(node) = self.nodes.get_mut(before) {
            node.after.insert(id.clone());
        }
        self.raise_before(id)
    }

    /// Hands a job's urgency on to those it waits for.
    pub fn raise_before(&mut self, id: &JobId) -> Vec<JobId> {
        let mut raised = Vec::new();
        let mut open = vec![id.clone()];
        while let Some(id) = open.pop() {
            let Some(node) = self.nodes.get(&id) else { continue };
            let due = node.urgency.due.map(|due| due - node.span);
            let wanted = Urgency { priority: node.urgency.priority, due };
            for before in node.before.clone() {
                let Some(earlier) = self.nodes.get_mut(&before) else { continue };
                let urgency = earlier.urgency.most(wanted);
                if urgency != earlier.urgency {
                    earlier.urgency = urgency;
                    raised.push(before.clone());
                    open.push(before);
                }
            }
        }
        raised
    }

    /// A job is over and waits for nothing any more. If it is done, says which jobs need wait no longer; if not,
    /// which ones waited for it, and can never start.
    pub fn ended(&mut self, id: &JobId, done: bool) -> Vec<JobId> {
        let Some(node) = self.nodes.remove(id) else { return Vec::new() };
        for before in &node.before {
            if let Some(earlier) = self.nodes.get_mut(before) {
                earlier.after.remove(id);
            }
        }
        let mut followers = Vec::new();
        for after in node.after {
            let Some(later) = self.nodes.get_mut(&after) else { continue };
            later.before.remove(id);
            if !done || later.before.is_empty() {
                followers.push(after);
            }
        }
        followers
    }
}
