//! The interface of model engines.

use std::{borrow::Cow, collections::BTreeMap};

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

mod convert;

/// Body of `POST /generate`.
///
/// The engine refuses with status 409 and an [`EngineRefusal`], before it does any work, when its incarnation or
/// loaded version differs from what is expected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Request id, repeated in each event of the answer.
    pub request: RequestId,
    /// Attempt number, repeated in each event of the answer.
    pub attempt: Attempt,
    /// Model name.
    pub model: ModelId,
    /// Version of the weights that must be loaded.
    pub version: String,
    /// Adapter and its version, if one is to be used.
    pub adapter: Option<Adapter>,
    /// Cache salt: blocks of different scopes are never shared.
    pub scope: String,
    /// The whole prompt.
    pub prompt: String,
    /// Ids of the prompt's prefix blocks, shortest prefix first; cache events name them.
    pub blocks: Vec<BlockHash>,
    /// Most tokens to generate, counted from the start of the answer.
    pub max_tokens: u32,
    /// Where to continue an answer that another engine began.
    pub resume: Option<Resume>,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// Incarnation that must answer, if the sender relies on one.
    pub incarnation: Option<Incarnation>,
    /// Time left until the first token is due, in milliseconds.
    pub deadline_ms: u64,
}

/// An adapter and its version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Adapter {
    /// Name of the adapter.
    pub name: String,
    /// Version of the adapter.
    pub version: String,
}

/// Continuation of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Index of the next token to generate.
    pub from: TokenIndex,
    /// The text generated so far.
    pub text: String,
}

/// Data of one server-sent event of a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum GenerateEvent {
    /// One token.
    Token {
        /// Request id.
        request: RequestId,
        /// Attempt number.
        attempt: Attempt,
        /// Incarnation of the engine.
        incarnation: Incarnation,
        /// Version of the weights that produced it.
        version: String,
        /// Position in the answer.
        index: TokenIndex,
        /// Text of the token.
        text: String,
    },
    /// The generation is complete.
    End {
        /// Request id.
        request: RequestId,
        /// Attempt number.
        attempt: Attempt,
        /// Incarnation of the engine.
        incarnation: Incarnation,
        /// Version of the weights.
        version: String,
        /// Tokens of the whole answer, including those before a resume.
        tokens: TokenIndex,
        /// Why it ended: `stop` or `length`.
        finish: String,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Prompt tokens that came from the prefix cache.
        cached_tokens: u64,
        /// Load of the engine at the end of this answer.
        load: LoadReport,
    },
    /// The generation failed at the engine.
    Error {
        /// Request id.
        request: RequestId,
        /// Attempt number.
        attempt: Attempt,
        /// What went wrong.
        message: String,
    },
}

/// A token event that borrows from the text it was parsed from.
#[derive(Debug, PartialEq, Eq, Deserialize)]
pub struct TokenRef<'a> {
    /// Request id.
    #[serde(borrow)]
    pub request: Cow<'a, str>,
    /// Attempt number.
    pub attempt: Attempt,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Version of the weights.
    #[serde(borrow)]
    pub version: Cow<'a, str>,
    /// Position in the answer.
    pub index: TokenIndex,
    /// Text of the token.
    pub text: String,
}

/// An event of a generation, parsed with little copying where it matters.
#[derive(Debug, PartialEq, Eq)]
pub enum EventRef<'a> {
    /// A token, by far the most frequent event.
    Token(TokenRef<'a>),
    /// Any event, in the general form.
    Other(Box<GenerateEvent>),
}

impl<'a> EventRef<'a> {
    /// Parses the data of one event.
    ///
    /// Tokens whose `kind` comes first skip the general decoder, which buffers each event to find its kind.
    ///
    /// # Errors
    ///
    /// When the data is not an event.
    ///
    /// ```
    /// use lw_protocol::upstream::EventRef;
    /// let data = r#"{"kind":"token","request":"r","attempt":0,"incarnation":1,"version":"1","index":0,"text":"a"}"#;
    /// assert!(matches!(EventRef::parse(data), Ok(EventRef::Token(token)) if token.text == "a"));
    /// ```
    pub fn parse(data: &'a str) -> Result<Self, serde_json::Error> {
        const TOKEN: &str = r#"{"kind":"token","#;
        if data.starts_with(TOKEN) {
            return serde_json::from_str(data).map(Self::Token);
        }
        serde_json::from_str(data).map(|event| Self::Other(Box::new(event)))
    }
}

/// Body of a refusal by the engine; nothing ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// Why the engine refused.
    pub reason: RefusalReason,
    /// Current incarnation of the engine.
    pub incarnation: Incarnation,
}

/// Why an engine refused a request or an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The expected incarnation is not the current one.
    Incarnation,
    /// The expected model or adapter version is not loaded.
    Version,
    /// The engine's queue is full.
    Busy,
    /// The engine is leaving.
    Leaving,
    /// The order's fencing number is older than one already seen.
    Fence,
}

/// Body of `GET /load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Number of the report; it only grows within an incarnation.
    pub seq: u64,
    /// Requests that are generating.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_tokens: u64,
    /// Role of the engine.
    pub role: String,
    /// Loaded version by model.
    pub models: BTreeMap<ModelId, String>,
    /// Loaded version by adapter name.
    pub adapters: BTreeMap<String, String>,
    /// Whether weights are being loaded.
    pub loading: bool,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Milliseconds since the figures were measured, if the engine knows.
    #[serde(default)]
    pub age_ms: Option<u64>,
}

/// Body of the answer to `GET /cache-events?after=SEQ`, which waits until there are events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation of the engine; sequence numbers start at 1 in each.
    pub incarnation: Incarnation,
    /// Events in the order of their numbers, possibly with gaps.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub seq: u64,
    /// Whether the block was stored or evicted.
    pub change: CacheChange,
    /// Id of the block.
    pub block: BlockHash,
}

/// What happened to a cached block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// The block is now cached.
    Stored,
    /// The block is no longer cached.
    Evicted,
}

/// Body of `POST /orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fencing number of the issuer.
    pub fence: u64,
    /// What to do.
    pub order: EngineOrder,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load this version of a model.
    LoadModel {
        /// Model name.
        model: ModelId,
        /// Version of the weights.
        version: String,
    },
    /// Load this version of an adapter.
    LoadAdapter {
        /// The adapter and its version.
        adapter: Adapter,
    },
    /// Take this role.
    SetRole {
        /// Role name.
        role: String,
    },
}

/// Body of `POST /kv/export`; the answer is [`KvBlocks`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Blocks to export, shortest prefix first.
    pub blocks: Vec<BlockHash>,
}

/// Exported cache; also the body of `POST /kv/import`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlocks {
    /// Model whose cache this is.
    pub model: ModelId,
    /// Version of the weights that computed it; an engine with another version refuses it.
    pub version: String,
    /// Cache salt of the blocks; an import keeps them apart from those of other scopes.
    pub scope: String,
    /// The blocks that the exporting engine held.
    pub blocks: Vec<BlockHash>,
}
