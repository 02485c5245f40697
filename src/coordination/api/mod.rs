//! Requests of users and siblings that wait for an answer.

pub(crate) mod requests;
pub(crate) mod submissions;
