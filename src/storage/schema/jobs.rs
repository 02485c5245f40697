//! Records of accepted jobs.

use crate::coordination::jobs::dependency_graph::Urgency;
use crate::protocol::user::JobSpec;
use crate::types::{JobId, Micros};
use serde::{Deserialize, Serialize};

/// One job of a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobBatchMember {
    /// Id of the job.
    #[serde(rename = "j")]
    pub id: JobId,
    /// Record of the job as it was accepted.
    #[serde(flatten)]
    pub record: JobRecord,
}

/// A job as it was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Time of day at which the job was accepted.
    #[serde(rename = "at")]
    pub accepted_at: Micros,
    /// Location of the remaining dependencies, if they did not fit into the batch.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub dependency_list_parts: Option<DependencyListParts>,
    /// Specification that its user submitted.
    #[serde(flatten)]
    pub spec: JobSpec,
}

/// A dependency list that is stored under keys of its own, see [`super::Key::DependencyListPart`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredDependencyListParts", into = "StoredDependencyListParts")]
pub struct DependencyListParts {
    /// Name of the list.
    pub name: String,
    /// Number of its parts.
    pub count: u32,
}

/// The stored form of [`DependencyListParts`]: a list of its two fields.
type StoredDependencyListParts = (String, u32);

impl From<StoredDependencyListParts> for DependencyListParts {
    fn from((name, count): StoredDependencyListParts) -> DependencyListParts {
        DependencyListParts { name, count }
    }
}

impl From<DependencyListParts> for StoredDependencyListParts {
    fn from(parts: DependencyListParts) -> StoredDependencyListParts {
        (parts.name, parts.count)
    }
}

impl JobRecord {
    /// Returns the job's own urgency, regardless of the jobs that depend on it.
    pub fn urgency(&self) -> Urgency {
        let due_at = self.spec.deadline_s.map(|s| self.accepted_at + Micros::from_secs_f64(s));
        Urgency { priority: self.spec.priority, due_at }
    }
}
