//! Settings of one daemon, read from YAML at start.

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
    /// Peer addresses for the first contact.
    pub peers: Vec<SocketAddr>,
    /// Key that authenticates calls between peers.
    pub peer_key: Secret,
    /// Bearer token of the operator interface.
    pub operator_token: Secret,
    /// File with a configuration document to serve from while neither store nor peers answer.
    pub bootstrap: Option<String>,
    /// Address that receives statsd metrics over UDP.
    pub statsd: Option<SocketAddr>,
    /// Bounds on callers' requests.
    pub limits: Limits,
    /// Time bounds of connections.
    pub timeouts: Timeouts,
    /// Claims of calls that may not be repeated.
    pub claims: ClaimSettings,
    /// Cost of KV cache moves between engines; without it nothing is moved.
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

/// Bounds on callers' requests.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest request body in bytes.
    pub body_max: usize,
    /// Most headers of a request.
    pub headers_max: usize,
    /// Most open connections of callers; further ones are closed at once.
    pub connections_max: usize,
    /// Entries of the decision log that `explain` reads.
    pub decision_log: usize,
    /// Retries and resumes allowed in 10 s whatever the number of requests; above it, 9 % of the requests.
    pub min_retries: u64,
}

/// Time bounds of connections.
#[derive(Debug, Clone)]
pub struct Timeouts {
    /// To establish a connection to an upstream, the platform or a peer.
    pub connect: Duration,
    /// For the whole of one call to the platform.
    pub platform: Duration,
    /// For the whole of one call to a peer.
    pub peer: Duration,
    /// For a caller to send the head of its first request on a connection.
    pub head: Duration,
    /// For a caller to send its body.
    pub body: Duration,
    /// Between two events of an engine's stream.
    pub stream_silence: Duration,
    /// Age at which an idle pooled connection is closed.
    pub pool_idle: Duration,
}

/// Claims of calls that may not be repeated.
#[derive(Debug, Clone)]
pub struct ClaimSettings {
    /// Time for which an idempotency key is remembered.
    pub retention: Duration,
}

/// Cost of KV cache moves between engines.
#[derive(Debug, Clone)]
pub struct KvMoveSettings {
    /// Size of the cache of one token in bytes.
    pub bytes_per_token: u64,
    /// Speed of one move in MB/s.
    pub megabytes_per_second: u64,
    /// Time of a move without any data.
    pub setup: Duration,
}

/// A text that is never shown in logs.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    #[must_use]
    pub fn new(secret: String) -> Self {
        Self(secret)
    }

    /// The secret itself, for comparison and signing only.
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
    /// Names every wrong key, type, unit and range at once.
    ///
    /// ```
    /// let error = lw_config::settings::Settings::from_yaml("vm: a\ncolour: red").unwrap_err();
    /// assert!(error.field_errors.iter().any(|fault| fault.key == "colour"));
    /// assert!(error.field_errors.iter().any(|fault| fault.key == "failure_domain"));
    /// ```
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        let value: Value = serde_saphyr::from_str(text).map_err(|e| syntax(&e.to_string()))?;
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
        let listen = nested(fields, "listen", Listen::read);
        let platform = address(fields, "platform");
        let peers = addresses(fields, "peers");
        let peer_key = secret(fields, "peer_key");
        let operator_token = secret(fields, "operator_token");
        let bootstrap = fields.optional_string("bootstrap");
        let statsd = fields.get("statsd").is_some().then(|| address(fields, "statsd")).flatten();
        let limits = nested(fields, "limits", Limits::read);
        let timeouts = nested(fields, "timeouts", Timeouts::read);
        let claims = nested(fields, "claims", ClaimSettings::read);
        let kv_move = fields.get("kv_move").is_some();
        let kv_move = kv_move.then(|| nested(fields, "kv_move", KvMoveSettings::read));
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

/// The first line has the place and the reason; further ones quote the text around it, which may be a secret.
fn syntax(message: &str) -> Error {
    let line = message.lines().next().unwrap_or_default();
    Error::single("(document)", line.strip_prefix("error: ").unwrap_or(line), "valid YAML")
}

const ADDRESS: &str = "an IP address with port, for instance 10.0.0.1:8080";
const SECRET_MIN_CHARS: usize = 16;

fn address(fields: &mut Fields<'_>, key: &'static str) -> Option<SocketAddr> {
    fields.parsed(key, None, ADDRESS)
}

fn addresses(fields: &mut Fields<'_>, key: &'static str) -> Vec<SocketAddr> {
    let texts = fields.strings(key);
    let parsed: Vec<_> = texts.iter().filter_map(|text| text.parse().ok()).collect();
    if parsed.len() < texts.len() {
        fields.record_error(key, "a list of IP addresses with port");
    }
    parsed
}

fn secret(fields: &mut Fields<'_>, key: &'static str) -> Secret {
    let text = match fields.get(key) {
        Some(Value::String(text)) => text.clone(),
        _ => String::new(),
    };
    if text.len() < SECRET_MIN_CHARS {
        // The fault must not show the value, since errors are logged.
        let fault = FieldError {
            key: key.to_owned(),
            value: "(hidden)".to_owned(),
            allowed: format!("a text of at least {SECRET_MIN_CHARS} characters"),
        };
        fields.add_errors(vec![fault]);
    }
    Secret::new(text)
}

fn nested<'a, T>(
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
        let callers = address(fields, "callers");
        let operators = address(fields, "operators");
        let peers = address(fields, "peers");
        Some(Self { callers: callers?, operators: operators?, peers: peers? })
    }
}

impl Limits {
    fn read(fields: &mut Fields<'_>) -> Self {
        const KIB: usize = 1 << 10;
        const MIB: usize = 1 << 20;
        Self {
            body_max: fields.size("body_max", 2 * MIB, KIB..=64 * MIB),
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
        const MS: fn(u64) -> Duration = Duration::from_millis;
        Self {
            bytes_per_token: fields.uint("bytes_per_token", 131_072, 1..=1 << 30),
            megabytes_per_second: fields.uint("megabytes_per_second", 1000, 1..=1_000_000),
            setup: fields.duration("setup", MS(20), MS(0)..=MS(10_000)),
        }
    }
}

impl Timeouts {
    fn read(fields: &mut Fields<'_>) -> Self {
        const MS: fn(u64) -> Duration = Duration::from_millis;
        Self {
            connect: fields.duration("connect", MS(300), MS(10)..=MS(10_000)),
            platform: fields.duration("platform", MS(1000), MS(10)..=MS(30_000)),
            peer: fields.duration("peer", MS(500), MS(10)..=MS(10_000)),
            head: fields.duration("head", MS(10_000), MS(100)..=MS(300_000)),
            body: fields.duration("body", MS(10_000), MS(100)..=MS(300_000)),
            stream_silence: fields.duration("stream_silence", MS(2000), MS(100)..=MS(60_000)),
            pool_idle: fields.duration("pool_idle", MS(5000), MS(100)..=MS(60_000)),
        }
    }
}
