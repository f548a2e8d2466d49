//! The operators' configuration: one versioned document that merge patches change.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use derive_more::{Display, Error, From};
use lw_types::prelude::*;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::fields;

mod read;

/// A validated configuration of one version.
#[derive(Debug, Clone)]
pub struct Document {
    /// The version, which each accepted patch raises by one.
    pub version: ConfigVersion,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// Models by name.
    pub models: BTreeMap<ModelId, Model>,
    /// Plain services by name.
    pub services: BTreeMap<String, Service>,
    /// Engines and service instances by name.
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Routing rules; the first match wins.
    pub rules: Vec<Rule>,
    json: Value,
}

/// One workspace: its API keys, the models and services it may use, and its limits.
#[derive(Debug, Clone)]
pub struct Workspace {
    /// SHA-256 digests of the API keys, lowercase hex.
    pub key_digests: Vec<String>,
    /// Class of its requests without a class header.
    pub class: Class,
    /// Time to first token allowed for its requests without a deadline header.
    pub deadline: Duration,
    /// Weight of its share of the capacity under load pressure.
    pub share: u64,
    /// Requests per second over all VMs; 0 means no limit.
    pub requests_per_second: u64,
    /// Prompt tokens per second over all VMs; 0 means no limit.
    pub tokens_per_second: u64,
    /// Models and services that it may use; empty means all.
    pub allowed: Vec<String>,
}

/// One model and its versions.
#[derive(Debug, Clone)]
pub struct Model {
    /// Version of the weights to use.
    pub version: String,
    /// Versions of its adapters by name.
    pub adapters: BTreeMap<String, String>,
    /// Longest prompt in tokens.
    pub max_prompt_tokens: u64,
    /// Role of the engines that serve it.
    pub role: String,
    /// Engines that must keep serving during a roll-out.
    pub min_engines: u64,
}

/// One plain service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Calls that may not be repeated, as `METHOD /path/prefix`.
    pub not_repeatable: Vec<CallPattern>,
}

/// Method and path prefix of calls to a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPattern {
    /// HTTP method in upper case.
    pub method: String,
    /// Prefix of the path within the service.
    pub path: String,
}

/// Kind of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine with the role that routing rules and models name.
    Engine {
        /// Role, for instance `assistant`.
        role: String,
    },
    /// An instance of the plain service of this name.
    Service {
        /// Name of the service.
        service: String,
    },
}

/// One model engine or service instance.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Whether it is an engine or an instance of a service.
    pub kind: UpstreamKind,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: Domain,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it is leaving and must get no new work.
    pub is_leaving: bool,
}

/// A routing rule: requests that match use the engines of `role`.
#[derive(Debug, Clone)]
pub struct Rule {
    /// Workspace to match; `None` matches any.
    pub workspace: Option<WorkspaceId>,
    /// Class to match; `None` matches any.
    pub class: Option<Class>,
    /// Model to match; `None` matches any.
    pub model: Option<ModelId>,
    /// Role of the engines to use.
    pub role: String,
}

/// Why a patch was not accepted.
#[derive(Debug, Display, Error, From)]
pub enum PatchError {
    /// The patch was made against another version than the current one.
    #[display("the patch was made against version {base}, the current version is {current}")]
    #[from(skip)]
    Stale {
        /// Version that the patch was made against.
        base: ConfigVersion,
        /// Current version.
        current: ConfigVersion,
    },
    /// The patched document is not valid.
    #[display("{_0}")]
    Invalid(fields::Error),
}

impl Document {
    /// Returns the empty configuration, version 0.
    #[must_use]
    pub fn empty() -> Self {
        Self::from_value(json!({ "version": 0 })).unwrap_or_else(|e| unreachable!("{e}"))
    }

    /// Validates a complete document.
    ///
    /// # Errors
    ///
    /// Lists all errors of the document, not only the first.
    ///
    /// ```
    /// use lw_config::document::Document;
    /// let doc = Document::from_value(serde_json::json!({ "version": 3 })).unwrap();
    /// assert_eq!(doc.version, 3);
    /// ```
    pub fn from_value(value: Value) -> Result<Self, fields::Error> {
        read::read_document(value)
    }

    /// Parses and validates JSON text.
    ///
    /// # Errors
    ///
    /// As [`Document::from_value`], and for text that is not JSON.
    pub fn from_json(text: &str) -> Result<Self, fields::Error> {
        let value = serde_json::from_str(text)
            .map_err(|e| fields::Error::single("(document)", &e.to_string(), "valid JSON"))?;
        Self::from_value(value)
    }

    /// Returns the document as JSON, with its version.
    #[must_use]
    pub fn as_json(&self) -> &Value {
        &self.json
    }

    /// Returns the document after applying a JSON merge patch (RFC 7396) made against version `base`, if the complete
    /// result is valid.
    ///
    /// # Errors
    ///
    /// [`PatchError::Stale`] when `base` is not this version, [`PatchError::Invalid`] with all errors of the result.
    ///
    /// ```
    /// use lw_config::document::Document;
    /// let patch = serde_json::json!({ "workspaces": { "station": { "share": 2 } } });
    /// let next = Document::empty().patched(0, &patch).unwrap();
    /// assert_eq!(next.version, 1);
    /// assert!(next.patched(0, &patch).is_err());
    /// ```
    pub fn patched(&self, base: ConfigVersion, patch: &Value) -> Result<Self, PatchError> {
        if base != self.version {
            return Err(PatchError::Stale { base, current: self.version });
        }
        if !patch.is_object() {
            return Err(fields::Error::single("(patch)", &patch.to_string(), "a mapping").into());
        }
        if let Some(version) = patch.get("version") {
            let allowed = "no version; it is assigned on acceptance";
            return Err(fields::Error::single("version", &version.to_string(), allowed).into());
        }
        let mut patched = self.json.clone();
        json_patch::merge(&mut patched, patch);
        patched["version"] = json!(self.version + 1);
        Ok(Self::from_value(patched)?)
    }

    /// Returns the role of the engines for a request: that of the first matching rule, else that of the model.
    #[must_use]
    pub fn role_for(&self, workspace: &str, class: Class, model: &str) -> Option<&str> {
        let rule = self.rules.iter().find(|rule| {
            rule.workspace.as_deref().is_none_or(|name| name == workspace)
                && rule.class.is_none_or(|wanted| wanted == class)
                && rule.model.as_deref().is_none_or(|name| name == model)
        });
        match rule {
            Some(rule) => Some(&rule.role),
            None => self.models.get(model).map(|model| model.role.as_str()),
        }
    }
}

impl Service {
    /// Whether a call may be run more than once, which is so unless a pattern of the configuration matches it.
    #[must_use]
    pub fn may_repeat(&self, method: &str, path: &str) -> bool {
        !self
            .not_repeatable
            .iter()
            .any(|call| call.method == method && path.starts_with(&call.path))
    }
}

/// Returns the digest of an API key as the configuration stores it: SHA-256 in lowercase hex.
///
/// ```
/// assert!(lw_config::document::key_digest("abc").starts_with("ba7816bf"));
/// ```
#[must_use]
pub fn key_digest(key: &str) -> String {
    use std::fmt::Write as _;
    Sha256::digest(key.as_bytes()).iter().fold(String::with_capacity(64), |mut hex, byte| {
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}
