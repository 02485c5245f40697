//! Leadership and shard leases, fencing tokens, the session in the store, isolation.

pub(crate) mod machine_tokens;
pub(crate) mod roles;
pub mod versions;
