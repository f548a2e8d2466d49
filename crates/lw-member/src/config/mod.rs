//! The configuration in force, its dissemination among peers, and its store.
//!
//! A patch is accepted by exactly one write: the compare-and-swap on `config/current` whose `prev` is the
//! revision at which the base version was read. Each VM installs only documents and patches that such a
//! write has stored, and only versions higher than its own.

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

/// Largest patch that gossip carries. Of a larger one, gossip carries only the version; each VM then fetches it
/// once instead of receiving it several times.
const PUSH_BYTES_MAX: usize = 4 * 1024;
/// Most patches kept in memory for peers with older versions.
const RECENT_PATCHES_MAX: usize = 512;
/// Most bytes of these patches.
const RECENT_PATCHES_BYTES_MAX: usize = 256 * 1024;
/// Most bytes of patches in the reply to a fetch; instead of more, the complete document is sent.
const FETCH_REPLY_PATCH_BYTES_MAX: usize = 64 * 1024;
/// Longest time before a fetch is repeated, for documents that take long to transfer.
const FETCH_BACKOFF_MAX: Duration = Duration::from_secs(5);

/// The configuration in force at a VM.
#[derive(Debug, Clone, Copy)]
pub enum InForce<'a> {
    /// None yet.
    None,
    /// The bootstrap document of the settings. It has no accepted version: no claims and no orders may be
    /// based on it, and it is not disseminated.
    Provisional(&'a Document),
    /// The accepted document.
    Accepted(&'a Document),
}

impl<'a> InForce<'a> {
    /// Returns the document to serve from, accepted or provisional.
    #[must_use]
    pub fn document(self) -> Option<&'a Document> {
        match self {
            Self::None => None,
            Self::Provisional(doc) | Self::Accepted(doc) => Some(doc),
        }
    }

    /// Returns the accepted version; `None` without an accepted document.
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
    /// Time of the last fetch, and the shortest time until the next one.
    last_fetch: Option<(Now, Duration)>,
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
            last_fetch: None,
            store: store::StoreAccess::default(),
        }
    }

    /// Returns the accepted version; 0 if there is none.
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

    /// Installs an accepted document if it has a higher version; returns whether it did.
    fn install(&mut self, document: Document) -> bool {
        let is_newer = document.version > self.version();
        if is_newer {
            self.accepted = Some(document);
            self.last_fetch = None;
        }
        is_newer
    }

    /// Keeps the patch to the accepted version for peers with older versions. Patches that it does not directly
    /// follow are dropped.
    fn retain_patch(&mut self, patch: VersionedPatch) {
        let is_next =
            self.recent_patches.back().is_none_or(|last| last.version + 1 == patch.version);
        if !is_next {
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

    /// Returns the body of a gossip message that announces the accepted version: the latest patch, or none if it
    /// is too large, as each message states the version.
    pub(crate) fn push_body(&self) -> Body {
        match self.latest_patch() {
            Some(patch) if patch.patch.len() <= PUSH_BYTES_MAX => {
                Body::Patches(vec![patch.clone()])
            }
            _ => Body::Gossip,
        }
    }

    /// Returns the reply to a peer whose message states an older version: the missing patches if they are small,
    /// which saves it a fetch. A complete document is sent only on request, because the peer may already be
    /// receiving it.
    pub(crate) fn reply_to_older_version(&self, have_version: ConfigVersion) -> Body {
        if have_version >= self.version() {
            return Body::Gossip;
        }
        match self.fetch_reply(have_version) {
            Body::Patches(list)
                if list.iter().map(|p| p.patch.len()).sum::<usize>() <= PUSH_BYTES_MAX =>
            {
                Body::Patches(list)
            }
            _ => Body::Gossip,
        }
    }

    /// Returns the reply to a fetch by a peer with version `have_version`: the missing patches, or the complete
    /// document.
    pub(crate) fn fetch_reply(&self, have_version: ConfigVersion) -> Body {
        let Some(document) = self.accepted.as_ref().filter(|doc| doc.version > have_version) else {
            return Body::Gossip;
        };
        let missing: Vec<_> =
            self.recent_patches.iter().filter(|p| p.version > have_version).cloned().collect();
        let starts_at_next = missing.first().is_some_and(|p| p.version == have_version + 1);
        let is_current = missing.last().is_some_and(|p| p.version == document.version);
        let bytes: usize = missing.iter().map(|p| p.patch.len()).sum();
        if starts_at_next && is_current && bytes <= FETCH_REPLY_PATCH_BYTES_MAX {
            Body::Patches(missing)
        } else {
            Body::Whole(document.as_json().to_string())
        }
    }

    /// Applies the patches that follow the accepted version; returns their number.
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
    /// Returns the configuration in force at this VM.
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

    /// Iterates over the latest patches that this VM has, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &VersionedPatch> {
        self.config.recent_patches.iter()
    }

    /// Puts the bootstrap document in force if it is due, and continues store calls and patches.
    pub(crate) fn tick_config(&mut self, now: Now, out: &mut Vec<Action>) {
        let config = &mut self.config;
        let is_wait_over = now >= config.started_at + self.options.timings.bootstrap_after;
        let is_due = is_wait_over && config.accepted.is_none() && config.bootstrap.is_some();
        if is_due && !config.is_provisional {
            config.is_provisional = true;
            out.push(Action::ConfigChanged);
        }
        self.tick_store(now, out);
        self.tick_patches(now, out);
    }

    /// Installs what a message carries, and fetches from the sender if it has a higher version.
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
        let pause = match self.config.last_fetch {
            Some((at, pause)) if now < at + pause => return,
            Some((_, pause)) => (pause * 2).min(FETCH_BACKOFF_MAX),
            None => first,
        };
        if self.view.get(from).is_some() {
            self.config.last_fetch = Some((now, pause));
            let have_version = self.config.version();
            self.send_to(now, from, Body::Fetch(have_version), out);
        }
    }

    fn install(&mut self, document: Document, out: &mut Vec<Action>) -> bool {
        let is_installed = self.config.install(document);
        if is_installed {
            out.push(Action::ConfigChanged);
        }
        is_installed
    }
}
