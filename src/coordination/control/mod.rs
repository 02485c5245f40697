//! Leadership and shard leases, fencing tokens, the session in the store, isolation.

pub(crate) mod machine_tokens;
pub(crate) mod roles;
pub mod versions;

use crate::storage::schema::RecordVersion;
use crate::types::Micros;

/// Which rights this controller holds, and by which session in the store.
#[derive(Default)]
pub(crate) struct Control {
    pub(crate) session: roles::Session,
    pub(crate) roles: roles::Roles,
    /// When the next fencing token may be drawn for machines in doubt.
    pub(crate) next_token_renewal_at: Micros,
    /// The oldest version of the rules for stored records among the controllers alive.
    pub(crate) oldest_version: Option<RecordVersion>,
}
