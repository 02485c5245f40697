//! Types shared by all packages: times, ids, fencing tokens, revisions and amounts of resources.
//!
//! All types are plain data without I/O. Their serialised forms are part of the stored records and of the wire formats.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;

/// A point in time or a duration, in whole microseconds. Sums and differences saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// The zero duration.
    pub const ZERO: Micros = Micros(0);

    /// Converts from milliseconds.
    pub const fn from_millis(ms: u64) -> Micros {
        Micros(ms * 1_000)
    }

    /// Converts from seconds in messages and settings. A value that is negative or not finite counts as zero.
    pub fn from_secs_f64(s: f64) -> Micros {
        if s.is_finite() && s > 0.0 { Micros((s * 1e6).min(1e18) as u64) } else { Micros(0) }
    }

    /// Converts to seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Converts to whole milliseconds, rounded down.
    pub fn millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the duration since an earlier time, or zero if that time is later.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, rhs: Micros) -> Micros {
        Micros(self.0.saturating_add(rhs.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, rhs: Micros) -> Micros {
        Micros(self.0.saturating_sub(rhs.0))
    }
}

/// A fencing token: agents and the store reject messages and writes under a lower token than the highest they have
/// seen. Tokens are drawn from a counter in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

/// A revision of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an id from its text.
            pub fn new(text: &str) -> $name {
                $name(Arc::from(text))
            }
            /// Returns the id's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> $name {
                $name(Arc::from(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id!(
    /// Id of a job.
    JobId
);
text_id!(
    /// Id of a machine, as the cloud names it.
    MachineId
);

/// Id of a task: the job's id and the task's index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task in the job.
    pub index: u32,
}

impl TaskId {
    /// Parses an id as written in messages: the job's id, a slash, and the index.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskId { job: JobId::new(job), index: index.parse().ok()? })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Resources of a task or a machine, in whole millionths of their units, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Resources {
    /// Millionths of a CPU.
    pub cpus: u64,
    /// Millionths of a GPU.
    pub gpus: u64,
    /// Millionths of a GB.
    pub memory: u64,
}

impl Resources {
    /// Converts from amounts in messages. An amount that is negative or not finite counts as zero.
    pub fn new(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
        Resources { cpus: millionths(cpus), gpus: millionths(gpus), memory: millionths(memory_gb) }
    }

    /// Whether `other` has at least as much of every resource.
    pub fn fits_in(&self, other: &Resources) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus && self.memory <= other.memory
    }

    /// Returns the sum of both.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources { cpus: self.cpus + other.cpus, gpus: self.gpus + other.gpus, memory: self.memory + other.memory }
    }

    /// Returns the difference of both; each resource is at least zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_sub(other.cpus),
            gpus: self.gpus.saturating_sub(other.gpus),
            memory: self.memory.saturating_sub(other.memory),
        }
    }

    /// Returns a multiple.
    pub fn times(&self, factor: u64) -> Resources {
        Resources { cpus: self.cpus * factor, gpus: self.gpus * factor, memory: self.memory * factor }
    }
}

fn millionths(amount: f64) -> u64 {
    const MAX: f64 = 1e15;
    if amount.is_finite() && amount > 0.0 { (amount * 1e6).round().min(MAX) as u64 } else { 0 }
}
