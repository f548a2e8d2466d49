//! The configuration in force, its dissemination among peers, and its store.
//!
//! A patch is accepted by exactly one write: the compare-and-swap on `config/current` whose `prev` is the
//! revision at which the base version was read. Every copy at a VM comes from a document or patch that
//! such a write has stored, and a VM installs only higher versions.

use std::{collections::VecDeque, time::Duration};

use lw_config::document::Document;
use lw_types::prelude::*;

use crate::{
    action::Action,
    member::Member,
    message::{Body, Message, VersionedPatch},
};

mod patch;
mod store;
pub mod stored;

/// Largest patch that is pushed. A larger one is announced by its version and fetched once by each VM
/// instead of arriving several times.
const PUSH_BYTES_MAX: usize = 4 * 1024;
/// Patches kept in memory for peers that are behind.
const RECENT_PATCHES_MAX: usize = 512;
/// Bytes of those patches.
const RECENT_PATCHES_BYTES_MAX: usize = 256 * 1024;
/// Patches sent at once; beyond this the whole document is cheaper.
const FETCH_REPLY_PATCH_BYTES_MAX: usize = 64 * 1024;
/// Longest pause before another fetch, for documents that take long to arrive.
const FETCH_BACKOFF_MAX: Duration = Duration::from_secs(5);

/// The configuration in force at a VM.
#[derive(Debug, Clone, Copy)]
pub enum InForce<'a> {
    /// None yet.
    None,
    /// The bootstrap document of the settings. It counts as no version: no claims and no orders may be
    /// based on it, and it is not disseminated.
    Provisional(&'a Document),
    /// The accepted document.
    Accepted(&'a Document),
}

impl<'a> InForce<'a> {
    /// The document to serve from.
    #[must_use]
    pub fn document(self) -> Option<&'a Document> {
        match self {
            Self::None => None,
            Self::Provisional(doc) | Self::Accepted(doc) => Some(doc),
        }
    }

    /// The accepted version; `None` without an accepted document.
    #[must_use]
    pub fn accepted_version(self) -> Option<ConfigVersion> {
        match self {
            Self::Accepted(doc) => Some(doc.version),
            _ => None,
        }
    }
}

/// Configuration state of one member.
#[derive(Debug)]
pub(crate) struct Config {
    started_at: Now,
    accepted: Option<Document>,
    bootstrap: Option<Document>,
    is_provisional: bool,
    recent_patches: VecDeque<VersionedPatch>,
    recent_patches_bytes: usize,
    /// Time of the last fetch and the pause until the next one.
    fetch: Option<(Now, Duration)>,
    pub(crate) store: store::StoreAccess,
}

impl Config {
    pub(crate) fn new(now: Now, bootstrap: Option<Document>) -> Self {
        Self {
            started_at: now,
            accepted: None,
            bootstrap,
            is_provisional: false,
            recent_patches: VecDeque::new(),
            recent_patches_bytes: 0,
            fetch: None,
            store: store::StoreAccess::default(),
        }
    }

    /// The accepted version; 0 if there is none.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.accepted.as_ref().map_or(0, |doc| doc.version)
    }

    fn in_force(&self) -> InForce<'_> {
        match (&self.accepted, &self.bootstrap) {
            (Some(doc), _) => InForce::Accepted(doc),
            (None, Some(doc)) if self.is_provisional => InForce::Provisional(doc),
            _ => InForce::None,
        }
    }

    /// Installs an accepted document if it is newer; returns whether it was.
    fn install(&mut self, document: Document) -> bool {
        let is_newer = document.version > self.version();
        if is_newer {
            self.accepted = Some(document);
            self.fetch = None;
        }
        is_newer
    }

    /// Keeps the patch that led to the accepted version, for peers that are behind.
    fn retain_patch(&mut self, patch: VersionedPatch) {
        let follows =
            self.recent_patches.back().is_none_or(|last| last.version + 1 == patch.version);
        if !follows {
            self.recent_patches.clear();
            self.recent_patches_bytes = 0;
        }
        self.recent_patches_bytes += patch.patch.len();
        self.recent_patches.push_back(patch);
        while self.recent_patches.len() > RECENT_PATCHES_MAX
            || self.recent_patches_bytes > RECENT_PATCHES_BYTES_MAX
        {
            let Some(dropped) = self.recent_patches.pop_front() else { break };
            self.recent_patches_bytes -= dropped.patch.len();
        }
    }

    fn latest_patch(&self) -> Option<&VersionedPatch> {
        self.recent_patches.back().filter(|patch| patch.version == self.version())
    }

    /// Body of a push: the latest patch, or only the version in the header.
    pub(crate) fn push_body(&self) -> Body {
        match self.latest_patch() {
            Some(patch) if patch.patch.len() <= PUSH_BYTES_MAX => {
                Body::Patches(vec![patch.clone()])
            }
            _ => Body::Gossip,
        }
    }

    /// Reply to a peer that named an older version: the missing patches if they are few, so that it need
    /// not ask. A whole document is sent only on request, because the peer may be receiving it already.
    pub(crate) fn reply_to_older_version(&self, have: ConfigVersion) -> Body {
        if have >= self.version() {
            return Body::Gossip;
        }
        match self.fetch_reply(have) {
            Body::Patches(list)
                if list.iter().map(|p| p.patch.len()).sum::<usize>() <= PUSH_BYTES_MAX =>
            {
                Body::Patches(list)
            }
            _ => Body::Gossip,
        }
    }

    /// Answer to a peer that has version `have`: the missing patches, or the whole document.
    pub(crate) fn fetch_reply(&self, have: ConfigVersion) -> Body {
        let Some(document) = self.accepted.as_ref().filter(|doc| doc.version > have) else {
            return Body::Gossip;
        };
        let missing: Vec<_> =
            self.recent_patches.iter().filter(|p| p.version > have).cloned().collect();
        let starts_at_next = missing.first().is_some_and(|p| p.version == have + 1);
        let is_current = missing.last().is_some_and(|p| p.version == document.version);
        let bytes: usize = missing.iter().map(|p| p.patch.len()).sum();
        if starts_at_next && is_current && bytes <= FETCH_REPLY_PATCH_BYTES_MAX {
            Body::Patches(missing)
        } else {
            Body::Whole(document.raw().to_string())
        }
    }

    /// Applies patches that follow the accepted version; returns how many did.
    fn apply_patches(&mut self, patches: &[VersionedPatch]) -> usize {
        let mut applied = 0;
        for patch in patches {
            if patch.version != self.version() + 1 {
                continue;
            }
            let Ok(value) = serde_json::from_str(&patch.patch) else { break };
            let next = match &self.accepted {
                Some(base) => base.patched(base.version, &value),
                None => Document::empty().patched(0, &value),
            };
            let Ok(next) = next else { break };
            if self.install(next) {
                self.retain_patch(patch.clone());
                applied += 1;
            }
        }
        applied
    }
}

impl Member {
    /// The configuration in force here.
    ///
    /// ```
    /// use lw_member::{Member, Options, config::InForce};
    /// let now = std::time::Duration::ZERO;
    /// let options = Options::new("vm-1", "10.0.0.1:7400".parse().unwrap(), "kochi-1", 1);
    /// assert!(matches!(Member::new(now, options).config(), InForce::None));
    /// ```
    #[must_use]
    pub fn config(&self) -> InForce<'_> {
        self.config.in_force()
    }

    /// The last patches known here, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &VersionedPatch> {
        self.config.recent_patches.iter()
    }

    pub(crate) fn tick_config(&mut self, now: Now, out: &mut Vec<Action>) {
        let config = &mut self.config;
        let is_past_wait = now >= config.started_at + self.options.timings.bootstrap_after;
        let is_due = is_past_wait && config.accepted.is_none() && config.bootstrap.is_some();
        if is_due && !config.is_provisional {
            config.is_provisional = true;
            out.push(Action::ConfigChanged);
        }
        self.tick_store(now, out);
        self.tick_patches(now, out);
    }

    pub(crate) fn apply_config_message(
        &mut self,
        now: Now,
        message: &Message,
        out: &mut Vec<Action>,
    ) {
        match &message.body {
            Body::Patches(patches) if self.config.apply_patches(patches) > 0 => {
                out.push(Action::ConfigChanged);
                self.push_latest_patch(now, out);
            }
            Body::Whole(text) => {
                let document = Document::from_json(text).ok();
                if document.is_some_and(|document| self.install(document, out)) {
                    self.push_latest_patch(now, out);
                }
            }
            _ => {}
        }
        if message.version > self.config.version() {
            self.fetch_from(now, &message.from, out);
        }
    }

    fn fetch_from(&mut self, now: Now, from: &VmId, out: &mut Vec<Action>) {
        let first = self.options.timings.fetch_retry;
        let pause = match self.config.fetch {
            Some((at, pause)) if now < at + pause => return,
            Some((_, pause)) => (pause * 2).min(FETCH_BACKOFF_MAX),
            None => first,
        };
        if self.view.get(from).is_some() {
            self.config.fetch = Some((now, pause));
            let have = self.config.version();
            self.send_to(now, from, Body::Fetch(have), out);
        }
    }

    fn install(&mut self, document: Document, out: &mut Vec<Action>) -> bool {
        let installed = self.config.install(document);
        if installed {
            out.push(Action::ConfigChanged);
        }
        installed
    }
}
