//! Conversions from the engines' wire types to the types of `lw_route`.

use std::time::Duration;

use super::{CacheChange, CacheEvent, CacheEvents, LoadReport};

impl From<&LoadReport> for lw_route::LoadReport {
    fn from(report: &LoadReport) -> Self {
        let loaded = report.models.iter().chain(&report.adapters);
        Self {
            incarnation: report.incarnation,
            queued_prefill_tokens: report.queued_tokens,
            queued_bulk_tokens: 0,
            running: report.running,
            loaded: loaded
                .map(|(name, version)| lw_route::LoadedVersion {
                    name: name.clone(),
                    version: version.clone(),
                })
                .collect(),
            is_leaving: report.leaving,
            age: report.age_ms.map(Duration::from_millis),
        }
    }
}

impl CacheEvents {
    /// Returns the events as types of `lw_route`.
    pub fn iter(&self) -> impl Iterator<Item = lw_route::CacheEvent> {
        self.events.iter().map(|event| lw_route::CacheEvent {
            incarnation: self.incarnation,
            seq: event.seq,
            change: event.into(),
        })
    }
}

impl From<&CacheEvent> for lw_route::CacheChange {
    fn from(event: &CacheEvent) -> Self {
        match event.change {
            CacheChange::Stored => Self::Stored(event.block),
            CacheChange::Evicted => Self::Evicted(event.block),
        }
    }
}
