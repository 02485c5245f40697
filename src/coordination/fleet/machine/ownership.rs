//! The shard a machine belongs to, and the fencing tokens that its agent has shown.

use crate::types::FencingToken;

/// What the fencing token on an agent's message proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenEvidence {
    /// It is older than ours: the message may be a copy from before our time, or the agent still obeys an earlier holder.
    Outdated,
    /// The first message that shows our token: from here on only our answers renew the lease.
    FirstConfirmation,
    /// The agent has shown our token before.
    Confirmed,
}

/// Who owns a machine, as far as its agent has shown it.
#[derive(Default)]
pub(crate) struct Ownership {
    shard: Option<u32>,
    highest_token_seen: FencingToken,
    is_token_confirmed: bool,
    is_holder_confirmed: bool,
    accepts_later_token: bool,
}

impl Ownership {
    /// Shard it was last seen in.
    pub(crate) fn shard(&self) -> Option<u32> {
        self.shard
    }

    /// Notes its shard; true if it was in another.
    pub(crate) fn set_shard(&mut self, shard: u32) -> bool {
        let is_new = self.shard != Some(shard);
        self.shard = Some(shard);
        is_new
    }

    /// Whether its agent has shown our fencing token since we took its shard: what it reports counts.
    pub(crate) fn is_token_confirmed(&self) -> bool {
        self.is_token_confirmed
    }

    /// Whether its agent has shown some fencing token of the shard's present holder, and so rejects all earlier holders.
    /// Unlike `is_token_confirmed` this stays when the same holder draws a new token.
    pub(crate) fn is_holder_confirmed(&self) -> bool {
        self.is_holder_confirmed
    }

    /// Whether its agent has shown a later fencing token than ours: a successor's.
    pub(crate) fn accepts_later_token(&self) -> bool {
        self.accepts_later_token
    }

    /// Its shard has a new holder, or it came into another shard.
    pub(super) fn reset(&mut self) {
        self.is_token_confirmed = false;
        self.is_holder_confirmed = false;
        self.accepts_later_token = false;
    }

    /// Whether the newest message showed the token that is now ours, or a later one.
    fn has_shown(&self, token: Option<FencingToken>) -> bool {
        token.is_some_and(|token| self.highest_token_seen >= token)
    }

    /// Its record has changed, perhaps with a new shard or fencing token: only messages that carry it count.
    pub(crate) fn record_changed(&mut self, token: Option<FencingToken>) {
        self.token_renewed(token);
        self.is_holder_confirmed |= self.is_token_confirmed;
    }

    /// The same holder has a new fencing token: only messages that carry it count.
    pub(crate) fn token_renewed(&mut self, token: Option<FencingToken>) {
        self.is_token_confirmed = self.has_shown(token);
    }

    /// An agent has shown a later fencing token than the one we know.
    pub(crate) fn later_token_shown(&mut self) {
        self.accepts_later_token = true;
        self.is_token_confirmed = false;
    }

    /// The answer to a direct message showed a later fencing token, or none of ours is left.
    pub(crate) fn later_token_answered(&mut self) {
        self.accepts_later_token = true;
    }

    /// Takes in the fencing token on a new message.
    pub(crate) fn token_shown(&mut self, shown: FencingToken, own_machines: FencingToken) -> TokenEvidence {
        let was_confirmed = self.is_token_confirmed;
        self.highest_token_seen = shown;
        self.accepts_later_token = shown > own_machines;
        self.is_token_confirmed = shown >= own_machines;
        if !self.is_token_confirmed {
            return TokenEvidence::Outdated;
        }
        self.is_holder_confirmed = true;
        if was_confirmed { TokenEvidence::Confirmed } else { TokenEvidence::FirstConfirmation }
    }
}
