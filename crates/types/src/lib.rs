//! Newtypes shared by all packages: times, ids, fencing tokens and amounts of resources.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;

/// A point in time or a span, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// None.
    pub const ZERO: Micros = Micros(0);

    /// So many milliseconds.
    pub const fn from_millis(ms: u64) -> Micros {
        Micros(ms * 1_000)
    }

    /// Seconds from outside: anything not finite or negative counts as zero.
    pub fn from_secs_f64(s: f64) -> Micros {
        if s.is_finite() && s > 0.0 { Micros((s * 1e6).min(1e18) as u64) } else { Micros(0) }
    }

    /// In seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Whole milliseconds.
    pub fn millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time since `earlier`, zero if that lies ahead.
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

/// Drawn from the one counter in the store; serves as worker fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

/// The store's count of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// From its text.
            pub fn new(text: &str) -> $name {
                $name(Arc::from(text))
            }
            /// Its text.
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
    /// A user's job.
    JobId
);
text_id!(
    /// A machine, as the cloud names it.
    MachineId
);

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Its job.
    pub job: JobId,
    /// Its number in the job.
    pub index: u32,
}

impl TaskId {
    /// Reads it as the wire has it.
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

/// What a task takes or a machine has, in millionths, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Resources {
    /// Millionths of a processor.
    pub cpus: u64,
    /// Millionths of a GPU.
    pub gpus: u64,
    /// Millionths of a GB.
    pub memory: u64,
}

impl Resources {
    /// From amounts as messages have them.
    pub fn new(cpus: f64, gpus: f64, memory_gb: f64) -> Resources {
        let units = |x: f64| if x.is_finite() && x > 0.0 { (x * 1e6).round().min(1e15) as u64 } else { 0 };
        Resources { cpus: units(cpus), gpus: units(gpus), memory: units(memory_gb) }
    }

    /// Whether another has as much of everything.
    pub fn fits_in(&self, other: &Resources) -> bool {
        self.cpus <= other.cpus && self.gpus <= other.gpus && self.memory <= other.memory
    }

    /// Both together.
    pub fn plus(&self, o: &Resources) -> Resources {
        Resources { cpus: self.cpus + o.cpus, gpus: self.gpus + o.gpus, memory: self.memory + o.memory }
    }

    /// What is left of it; nothing at the least.
    pub fn minus(&self, o: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.saturating_sub(o.cpus),
            gpus: self.gpus.saturating_sub(o.gpus),
            memory: self.memory.saturating_sub(o.memory),
        }
    }

    /// So many times as much.
    pub fn times(&self, n: u64) -> Resources {
        Resources { cpus: self.cpus * n, gpus: self.gpus * n, memory: self.memory * n }
    }
}
