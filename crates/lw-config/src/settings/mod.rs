//! Settings of one VM process, read from YAML at start.

use std::{net::SocketAddr, time::Duration};

use lw_types::prelude::*;
use serde_json::Value;

use crate::fields::{Error, FieldError, Fields};

/// Settings of one VM.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this VM, unique in the fleet.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub failure_domain: Domain,
    /// Worker threads.
    pub workers: usize,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Addresses of the peers that the VM contacts at start.
    pub peers: Vec<SocketAddr>,
    /// Shared key that authenticates calls between peers.
    pub peer_key: Secret,
    /// Bearer token of the operator interface.
    pub operator_token: Secret,
    /// File with a configuration document that is used while neither the store nor peers answer.
    pub bootstrap: Option<String>,
    /// Address that receives statsd metrics over UDP.
    pub statsd: Option<SocketAddr>,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Timeouts of connections and calls.
    pub timeouts: Timeouts,
    /// Settings for claims of calls that may not be repeated.
    pub claims: ClaimSettings,
    /// Cost of KV cache moves between engines; if it is missing, no cache is moved.
    pub kv_move: Option<KvMoveSettings>,
}

/// Listening addresses.
#[derive(Debug, Clone)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

/// Limits on callers' requests.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest request body in bytes.
    pub body_max: usize,
    /// Limit on all bytes that are held for callers.
    pub memory: usize,
    /// Largest number of headers of a request.
    pub headers_max: usize,
    /// Largest number of open connections of callers; further ones are closed at once.
    pub connections_max: usize,
    /// Number of entries that the decision log for `explain` retains.
    pub decision_log: usize,
    /// Retries and resumes allowed per 10 s regardless of the number of requests; above it, 9 % of the requests.
    pub min_retries: u64,
}

/// Timeouts of connections and calls.
#[derive(Debug, Clone)]
pub struct Timeouts {
    /// To establish a connection to an upstream, the platform or a peer.
    pub connect: Duration,
    /// For one complete call to the platform.
    pub platform: Duration,
    /// For one complete call to a peer.
    pub peer: Duration,
    /// For a caller to send the head of its first request on a connection.
    pub head: Duration,
    /// For a caller to send its body.
    pub body: Duration,
    /// For a caller to read anything of an answer that waits for it.
    pub unread: Duration,
    /// For the next event of an engine's stream after the previous one.
    pub stream_silence: Duration,
    /// Idle time after which a pooled connection is closed.
    pub pool_idle: Duration,
}

/// Settings for claims of calls that may not be repeated.
#[derive(Debug, Clone)]
pub struct ClaimSettings {
    /// Time for which the claim of an idempotency key is retained.
    pub retention: Duration,
}

/// Cost of KV cache moves between engines.
#[derive(Debug, Clone)]
pub struct KvMoveSettings {
    /// Size of the cache of one token in bytes.
    pub bytes_per_token: u64,
    /// Transfer rate of one move in MB/s.
    pub megabytes_per_second: u64,
    /// Fixed time of a move, in addition to the transfer.
    pub setup: Duration,
}

/// A string that its `Debug` output hides, so that it does not get into logs.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    #[must_use]
    pub fn new(secret: String) -> Self {
        Self(secret)
    }

    /// Returns the secret in clear, for comparison and signing only.
    #[must_use]
    pub fn expose_secret(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("(secret)")
    }
}

impl Settings {
    /// Reads settings from YAML text.
    ///
    /// # Errors
    ///
    /// Lists every wrong key, type, unit and range, not only the first.
    ///
    /// ```
    /// let error = lw_config::settings::Settings::from_yaml("vm: a\ncolour: red").unwrap_err();
    /// assert!(error.field_errors.iter().any(|e| e.key == "colour"));
    /// assert!(error.field_errors.iter().any(|e| e.key == "failure_domain"));
    /// ```
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        let value: Value =
            serde_saphyr::from_str(text).map_err(|e| syntax_error(&e.to_string()))?;
        let mut fields = Fields::new("", &value);
        let settings = Self::read(&mut fields);
        let field_errors = fields.finish();
        match settings {
            Some(settings) if field_errors.is_empty() => Ok(settings),
            _ => Err(Error { field_errors }),
        }
    }

    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let vm = fields.string("vm", None);
        let failure_domain = fields.string("failure_domain", None);
        let workers = usize::try_from(fields.uint("workers", 2, 1..=256)).unwrap_or(2);
        let listen = read_section(fields, "listen", Listen::read);
        let platform = read_address(fields, "platform");
        let peers = read_addresses(fields, "peers");
        let peer_key = read_secret(fields, "peer_key");
        let operator_token = read_secret(fields, "operator_token");
        let bootstrap = fields.optional_string("bootstrap");
        let statsd =
            fields.get("statsd").is_some().then(|| read_address(fields, "statsd")).flatten();
        let limits = read_section(fields, "limits", Limits::read);
        let timeouts = read_section(fields, "timeouts", Timeouts::read);
        let claims = read_section(fields, "claims", ClaimSettings::read);
        let has_kv_move = fields.get("kv_move").is_some();
        let kv_move = has_kv_move.then(|| read_section(fields, "kv_move", KvMoveSettings::read));
        Some(Self {
            vm,
            failure_domain,
            workers,
            listen: listen?,
            platform: platform?,
            peers,
            peer_key,
            operator_token,
            bootstrap,
            statsd,
            limits,
            timeouts,
            claims,
            kv_move,
        })
    }
}

/// Returns the error for text that is not YAML. Only the first line of the message is kept, which has position and
/// reason; the further lines quote the text there, which may be a secret.
fn syntax_error(message: &str) -> Error {
    let line = message.lines().next().unwrap_or_default();
    Error::single("(document)", line.strip_prefix("error: ").unwrap_or(line), "valid YAML")
}

const ADDRESS_FORMAT: &str = "an IP address with port, for instance 10.0.0.1:8080";
const SECRET_MIN_CHARS: usize = 16;

fn read_address(fields: &mut Fields<'_>, key: &'static str) -> Option<SocketAddr> {
    fields.parsed(key, None, ADDRESS_FORMAT)
}

fn read_addresses(fields: &mut Fields<'_>, key: &'static str) -> Vec<SocketAddr> {
    let texts = fields.strings(key);
    let parsed: Vec<_> = texts.iter().filter_map(|text| text.parse().ok()).collect();
    if parsed.len() < texts.len() {
        fields.record_error(key, "a list of IP addresses with port");
    }
    parsed
}

fn read_secret(fields: &mut Fields<'_>, key: &'static str) -> Secret {
    let text = match fields.get(key) {
        Some(Value::String(text)) => text.clone(),
        _ => String::new(),
    };
    if text.len() < SECRET_MIN_CHARS {
        // Errors are logged, so this one must not contain the value.
        let error = FieldError {
            key: key.to_owned(),
            value: "(hidden)".to_owned(),
            allowed: format!("a string of at least {SECRET_MIN_CHARS} characters"),
        };
        fields.add_errors(vec![error]);
    }
    Secret::new(text)
}

fn read_section<'a, T>(
    fields: &mut Fields<'a>,
    key: &'static str,
    read: impl FnOnce(&mut Fields<'a>) -> T,
) -> T {
    static EMPTY: std::sync::LazyLock<Value> =
        std::sync::LazyLock::new(|| Value::Object(serde_json::Map::new()));
    let value = fields.get(key).unwrap_or(&EMPTY);
    let mut inner = Fields::new(key, value);
    let out = read(&mut inner);
    fields.add_errors(inner.finish());
    out
}

impl Listen {
    fn read(fields: &mut Fields<'_>) -> Option<Self> {
        let callers = read_address(fields, "callers");
        let operators = read_address(fields, "operators");
        let peers = read_address(fields, "peers");
        Some(Self { callers: callers?, operators: operators?, peers: peers? })
    }
}

impl Limits {
    fn read(fields: &mut Fields<'_>) -> Self {
        const KIB: usize = 1 << 10;
        const MIB: usize = 1 << 20;
        let body_max = fields.size("body_max", 2 * MIB, KIB..=64 * MIB);
        // Half of the memory is for large requests. With 17,000 tokens and two copies each, 960 prompts run at a time.
        let memory_default = (8 * body_max).max(256 * MIB);
        Self {
            body_max,
            memory: fields.size("memory", memory_default, 4 * body_max..=64 << 30),
            headers_max: usize::try_from(fields.uint("headers_max", 64, 16..=1000)).unwrap_or(64),
            connections_max: usize::try_from(fields.uint("connections_max", 4096, 1..=1_000_000))
                .unwrap_or(4096),
            decision_log: usize::try_from(fields.uint("decision_log", 4096, 16..=65_536))
                .unwrap_or(4096),
            min_retries: fields.uint("min_retries", 10, 0..=100_000),
        }
    }
}

impl ClaimSettings {
    fn read(fields: &mut Fields<'_>) -> Self {
        const MINUTES: fn(u64) -> Duration = |minutes| Duration::from_secs(60 * minutes);
        let retention = fields.duration("retention", MINUTES(1440), MINUTES(10)..=MINUTES(10_080));
        Self { retention }
    }
}

impl KvMoveSettings {
    fn read(fields: &mut Fields<'_>) -> Self {
        const MILLIS: fn(u64) -> Duration = Duration::from_millis;
        Self {
            bytes_per_token: fields.uint("bytes_per_token", 131_072, 1..=1 << 30),
            megabytes_per_second: fields.uint("megabytes_per_second", 1000, 1..=1_000_000),
            setup: fields.duration("setup", MILLIS(20), MILLIS(0)..=MILLIS(10_000)),
        }
    }
}

impl Timeouts {
    fn read(fields: &mut Fields<'_>) -> Self {
        const MILLIS: fn(u64) -> Duration = Duration::from_millis;
        Self {
            connect: fields.duration("connect", MILLIS(300), MILLIS(10)..=MILLIS(10_000)),
            platform: fields.duration("platform", MILLIS(1000), MILLIS(10)..=MILLIS(30_000)),
            peer: fields.duration("peer", MILLIS(500), MILLIS(10)..=MILLIS(10_000)),
            head: fields.duration("head", MILLIS(10_000), MILLIS(100)..=MILLIS(300_000)),
            body: fields.duration("body", MILLIS(10_000), MILLIS(100)..=MILLIS(300_000)),
            unread: fields.duration("unread", MILLIS(75_000), MILLIS(100)..=MILLIS(300_000)),
            stream_silence: fields.duration(
                "stream_silence",
                MILLIS(2000),
                MILLIS(100)..=MILLIS(60_000),
            ),
            pool_idle: fields.duration("pool_idle", MILLIS(5000), MILLIS(100)..=MILLIS(60_000)),
        }
    }
}
