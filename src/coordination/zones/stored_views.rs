//! Stored views of zones, by zone and shard: loaded from the replica of the store into the tracker, and written for the
//! shards held by this controller. Also loads the cordons that operators put on zones.

use crate::coordination::Controller;
use crate::coordination::store_sync::{ProposedTxn, TxnPurpose};
use crate::storage::schema::{Key, Role, is_zone_storable, to_value};
use burlhatch_zones::OutdatedRecord;

impl Controller {
    /// Loads all views and cordons after the stored records have been read.
    pub(crate) fn load_zones(&mut self) {
        let views: Vec<(String, u32)> = self.store.replica.zone_views.keys().cloned().collect();
        for (zone, shard) in views {
            self.zone_view_changed(&zone, shard);
        }
        let cordoned: Vec<String> = self.store.replica.zone_cordons.keys().cloned().collect();
        for zone in cordoned {
            self.zone_cordon_changed(&zone);
        }
    }

    /// Updates the tracker after a shard's view of a zone was stored or removed, or the shard's holder has changed.
    pub(crate) fn zone_view_changed(&mut self, zone: &str, shard: u32) {
        if !self.handles_zone_failures() {
            return;
        }
        let now = self.moment();
        let stored = self.store.replica.zone_views.get(&(zone.to_string(), shard));
        if stored.is_some_and(|stored| stored.value.is_none()) {
            tracing::warn!(zone, shard, "stored zone view unreadable, rewriting it");
        }
        let holder = self.store.replica.roles.get(&Role::Shard(shard)).map(|held| held.value.incarnation);
        let record = stored.and_then(|stored| stored.value.as_ref());
        let view = record.map(|record| (record, holder == Some(record.incarnation)));
        self.zones.tracker.set_view(zone, shard, view, now, &self.policy.zones);
    }

    /// Updates the views of a shard after a change of its holder, which determines whether they count as votes.
    pub(crate) fn zone_views_of_role_changed(&mut self, role: Role) {
        let Role::Shard(shard) = role else { return };
        let views = self.store.replica.zone_views.keys().filter(|(_, of_shard)| *of_shard == shard);
        let zones: Vec<String> = views.map(|(zone, _)| zone.clone()).collect();
        for zone in zones {
            self.zone_view_changed(&zone, shard);
        }
    }

    /// Updates the tracker after operators have cordoned a zone or lifted the cordon.
    pub(crate) fn zone_cordon_changed(&mut self, zone: &str) {
        let is_cordoned = self.store.replica.zone_cordons.contains_key(zone);
        if self.handles_zone_failures() && self.zones.tracker.is_cordoned(zone) != is_cordoned {
            tracing::info!(zone, is_cordoned, "zone cordon changed by operators");
            self.zones.tracker.set_cordoned(zone, is_cordoned);
            self.scheduling.request_cycle();
        }
    }

    /// Writes the changed views of the shards held by this controller, each on the precondition that the shard is still
    /// held.
    pub(super) fn write_zone_views(&mut self) {
        let unreadable = self.unreadable_views();
        let due = self.zones.tracker.outdated_records(self.incarnation, self.moment(), &self.policy.zones);
        for OutdatedRecord { zone, shard, record } in due.into_iter().chain(unreadable) {
            let name = (zone.clone(), shard);
            if !is_zone_storable(&zone) || !self.zones.views_being_written.insert(name.clone()) {
                continue;
            }
            let key = Key::ZoneView(zone, shard);
            let mut proposal = ProposedTxn::default();
            proposal.unchanged(&self.store.replica, Key::Role(Role::Shard(shard)));
            proposal.unchanged(&self.store.replica, key.clone());
            match record {
                Some(record) => proposal.put(key, to_value(&record)),
                None => proposal.delete(key),
            }
            self.submit_txn(proposal, TxnPurpose::ZoneView(name));
        }
    }

    /// Returns deletions of the unreadable views of the shards held by this controller. They apply only to views that
    /// no outdated record replaces.
    fn unreadable_views(&self) -> Vec<OutdatedRecord> {
        let unreadable = self.store.replica.zone_views.iter().filter(|(_, stored)| stored.value.is_none());
        let ours = unreadable.filter(|((_, shard), _)| self.holds(Role::Shard(*shard)));
        ours.map(|((zone, shard), _)| OutdatedRecord { zone: zone.clone(), shard: *shard, record: None }).collect()
    }

    /// Records that the write of a view has succeeded or failed.
    pub(crate) fn zone_view_txn_finished(&mut self, name: &(String, u32)) {
        self.zones.views_being_written.remove(name);
    }
}
