//! The slots that this VM holds.

use lw_catalog::{Catalog, settings::QuotaBounds};
use lw_limit::quota::{
    holder::Return,
    keeper::{Fleet, SlotWrite},
    slots_of,
};
use lw_types::prelude::*;

use super::{Capped, Quota, share};

impl Quota {
    /// Applies the caps of a configuration, if it or the bounds have changed. Returns whether there are any.
    pub fn configure(&self, catalog: Option<&Catalog>, bounds: &QuotaBounds) -> bool {
        let Some(catalog) = catalog else { return false };
        let has_caps = catalog.capped_workspaces().next().is_some();
        let now = self.now();
        let mut state = self.lock();
        if catalog.version != state.keeper.holder.config() || state.bounds != Some(*bounds) {
            state.bounds = Some(*bounds);
            let capped = catalog.capped_workspaces().map(|(workspace, cap)| {
                let (share, slots) = (share(cap, bounds), slots_of(&workspace.name));
                (workspace.name.clone(), Capped { cap, share, slots })
            });
            state.workspaces = capped.collect();
            let shares = state.workspaces.iter().map(|(name, known)| (name.clone(), known.share));
            let shares = shares.collect();
            state.keeper.configure(now, catalog.version, shares);
        }
        has_caps
    }

    /// Decides which slots are taken or released now. The result of the write must be passed to [`Quota::on_written`].
    pub fn update_slots(&self, fleet: &Fleet<'_>) -> Option<SlotWrite> {
        let now = self.now();
        let update = self.lock().keeper.update(now, fleet);
        if !update.lost.is_empty() {
            let is_registered = fleet.lease.is_some();
            log::warn!(target: "quota", slots = format!("{:?}", update.lost), era = fleet.era,
                is_registered = is_registered; "quota slots lost");
        }
        update.write
    }

    /// Takes no slots from now on, and releases those that are held with the next update.
    pub fn leave(&self) {
        self.lock().keeper.leave();
    }

    /// Whether this VM holds no slot and writes none.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.lock().keeper.is_idle()
    }

    /// Records the outcome of a write: the position at which it took effect; none if it did not, or if that is unknown.
    pub fn on_written(&self, write: SlotWrite, position: Option<Position>) {
        let slots: Vec<_> = write.entries.iter().map(|(slot, ..)| *slot).collect();
        let (slots, is_taking) = (format!("{slots:?}"), write.is_taking);
        let now = self.now();
        let mut state = self.lock();
        let is_done = state.keeper.on_written(now, write, position);
        let held = state.keeper.holder.slots().count();
        drop(state);
        let revision = position.map_or(0, |position| position.revision);
        let text = match (is_done, is_taking) {
            (true, true) => "quota slots taken",
            (true, false) => "quota slots released",
            (false, _) => "quota slots not written",
        };
        log::info!(target: "quota", slots = slots, revision = revision, held = held,
            is_taking = is_taking; "{text}");
    }

    /// Takes back the grants that are due and whose slots this VM holds, and returns the others.
    pub fn returns_to_others(&self) -> Vec<Return> {
        let now = self.now();
        let mut state = self.lock();
        let returns = state.requester.returns(now);
        state.keeper.take_back_own(now, returns)
    }
}
