//! Wire types of the interface of model engines.

use std::{borrow::Cow, collections::BTreeMap};

use lw_types::prelude::*;
use serde::{Deserialize, Serialize};

mod convert;

/// Body of `POST /generate`.
///
/// The engine refuses the request with status 409 and an [`EngineRefusal`], before it starts any work, when its
/// incarnation or loaded version differs from the expected one.
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
    /// Adapter to use, if any.
    pub adapter: Option<Adapter>,
    /// Cache salt: cached blocks are never shared between different scopes.
    pub scope: String,
    /// The complete prompt.
    pub prompt: String,
    /// Ids of the prompt's prefix blocks, shortest prefix first; cache events use the same ids.
    pub blocks: Vec<BlockHash>,
    /// Largest number of tokens of the answer, including those before a resume.
    pub max_tokens: u32,
    /// Where to resume an answer that another engine began.
    pub resume: Option<Resume>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Incarnation that the engine must have, if the sender expects one.
    pub incarnation: Option<Incarnation>,
    /// Remaining time until the first token is due, in milliseconds.
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

/// Position at which to resume an answer.
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
        /// Number of tokens of the complete answer, including those before a resume.
        tokens: TokenIndex,
        /// Finish reason: `stop` or `length`.
        finish: String,
        /// Number of tokens of the prompt.
        prompt_tokens: u64,
        /// Number of prompt tokens taken from the prefix cache.
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
        /// Error message of the engine.
        message: String,
    },
}

/// A token event that borrows from its JSON text.
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

/// An event of a generation, parsed with little copying when it is a token.
#[derive(Debug, PartialEq, Eq)]
pub enum EventRef<'a> {
    /// A token, which is by far the most frequent event.
    Token(TokenRef<'a>),
    /// An event parsed by the general decoder. A token is possible too, when its `kind` does not come first.
    Other(Box<GenerateEvent>),
}

impl<'a> EventRef<'a> {
    /// Parses the data of one event.
    ///
    /// A token whose `kind` comes first is not parsed by the general decoder, which buffers each event to find its
    /// kind.
    ///
    /// # Errors
    ///
    /// When the data is not a valid event.
    ///
    /// ```
    /// use lw_protocol::upstream::EventRef;
    /// let data = r#"{"kind":"token","request":"r","attempt":0,"incarnation":1,"version":"1","index":0,"text":"a"}"#;
    /// assert!(matches!(EventRef::parse(data), Ok(EventRef::Token(token)) if token.text == "a"));
    /// ```
    pub fn parse(data: &'a str) -> Result<Self, serde_json::Error> {
        const TOKEN_PREFIX: &str = r#"{"kind":"token","#;
        if data.starts_with(TOKEN_PREFIX) {
            return serde_json::from_str(data).map(Self::Token);
        }
        serde_json::from_str(data).map(|event| Self::Other(Box::new(event)))
    }
}

/// Body of an engine's refusal. The engine has not run the request.
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
    /// The order's fencing number is less than one received before.
    Fence,
}

/// Body of `GET /load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Sequence number of the report, which increases within an incarnation.
    pub seq: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of prompt tokens queued for prefill.
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
    /// Milliseconds since the values were measured, if the engine reports it.
    #[serde(default)]
    pub age_ms: Option<u64>,
}

/// Body of the answer to `GET /cache-events?after=SEQ`, which waits until there are events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Incarnation of the engine; sequence numbers start at 1 in each.
    pub incarnation: Incarnation,
    /// Events in the order of their sequence numbers, possibly with gaps.
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

/// Kind of change of a cached block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// Body of `POST /orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fencing number of the issuer.
    pub fence: u64,
    /// The order.
    pub order: EngineOrder,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Loads this version of a model.
    LoadModel {
        /// Model name.
        model: ModelId,
        /// Version of the weights.
        version: String,
    },
    /// Loads this version of an adapter.
    LoadAdapter {
        /// The adapter and its version.
        adapter: Adapter,
    },
    /// Sets the role of the engine.
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

/// Exported cache blocks; also the body of `POST /kv/import`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlocks {
    /// Model whose cache this is.
    pub model: ModelId,
    /// Version of the weights that computed it; an engine with another version refuses it.
    pub version: String,
    /// Cache salt of the blocks; imported blocks are not shared with other scopes.
    pub scope: String,
    /// The requested blocks that the exporting engine had cached.
    pub blocks: Vec<BlockHash>,
}
