//! The shard a machine belongs to, and the fencing tokens that its agent has shown.

use crate::types::FencingToken;

/// What the fencing token on an agent's message proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenEvidence {
    /// It is older than ours: the message may be a copy from before we held the shard, or the agent still accepts
    /// commands under an earlier holder's token.
    Outdated,
    /// This is the first message that shows our token: from now on only our answers renew the lease.
    FirstConfirmation,
    /// The agent has shown our token before.
    Confirmed,
}

/// Ownership of a machine, as far as its agent has shown it.
#[derive(Default)]
pub(crate) struct Ownership {
    shard: Option<u32>,
    highest_token_seen: FencingToken,
    is_token_confirmed: bool,
    is_holder_confirmed: bool,
    accepts_later_token: bool,
}

impl Ownership {
    /// Returns the shard that the machine last belonged to, if any is known.
    pub(crate) fn shard(&self) -> Option<u32> {
        self.shard
    }

    /// Records the machine's shard. Returns whether it was in another one, or in none, before.
    pub(crate) fn set_shard(&mut self, shard: u32) -> bool {
        let is_new = self.shard != Some(shard);
        self.shard = Some(shard);
        is_new
    }

    /// Returns whether the agent has shown our fencing token since we acquired the shard. Only then do its reports
    /// count.
    pub(crate) fn is_token_confirmed(&self) -> bool {
        self.is_token_confirmed
    }

    /// Returns whether the agent has shown any fencing token of the shard's present holder, and so rejects all earlier
    /// holders. Unlike `is_token_confirmed`, this stays true when the same holder draws a new token.
    pub(crate) fn is_holder_confirmed(&self) -> bool {
        self.is_holder_confirmed
    }

    /// Returns whether the agent has shown a later fencing token than ours, and so accepts commands under a
    /// successor's.
    pub(crate) fn accepts_later_token(&self) -> bool {
        self.accepts_later_token
    }

    /// Resets the confirmations when the machine's shard has a new holder or the machine has moved to another shard.
    pub(super) fn reset(&mut self) {
        self.is_token_confirmed = false;
        self.is_holder_confirmed = false;
        self.accepts_later_token = false;
    }

    /// Returns whether the newest message showed our present token or a later one.
    fn has_shown(&self, token: Option<FencingToken>) -> bool {
        token.is_some_and(|token| self.highest_token_seen >= token)
    }

    /// Updates the confirmations after a change of the machine's record, which may have brought a new shard or fencing
    /// token. Only messages that show the new token count.
    pub(crate) fn record_changed(&mut self, token: Option<FencingToken>) {
        self.token_renewed(token);
        self.is_holder_confirmed |= self.is_token_confirmed;
    }

    /// Updates the confirmation after the same holder has drawn a new fencing token. Only messages that show it count.
    pub(crate) fn token_renewed(&mut self, token: Option<FencingToken>) {
        self.is_token_confirmed = self.has_shown(token);
    }

    /// Records that the agent has shown a later fencing token than the one we know.
    pub(crate) fn later_token_shown(&mut self) {
        self.accepts_later_token = true;
        self.is_token_confirmed = false;
    }

    /// Records that the answer to a direct message showed a later fencing token, or that we have no token for the
    /// machine any more.
    pub(crate) fn later_token_answered(&mut self) {
        self.accepts_later_token = true;
    }

    /// Processes the fencing token on a new message.
    pub(crate) fn token_shown(&mut self, shown: FencingToken, our_token: FencingToken) -> TokenEvidence {
        let was_confirmed = self.is_token_confirmed;
        self.highest_token_seen = shown;
        self.accepts_later_token = shown > our_token;
        self.is_token_confirmed = shown >= our_token;
        if !self.is_token_confirmed {
            return TokenEvidence::Outdated;
        }
        self.is_holder_confirmed = true;
        if was_confirmed { TokenEvidence::Confirmed } else { TokenEvidence::FirstConfirmation }
    }
}
