//! The configuration and the settings file that operators and the platform provide to a VM.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};

use super::{
    caller::{KEY, OTHER_KEY},
    upstream::MODEL,
};

/// Returns a configuration with two routes to a plain service and two to model engines.
#[must_use]
pub fn config(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u64| {
        json!({
            "Name": name, "Host": "desk.example", "Prefix": prefix, "Kind": kind,
            "TimeoutMs": 1500, "TargetLatencyMs": 500, "Priority": 1, "Service": service,
            "MaxAttempts": attempts, "AllowAnonymous": false,
            "Sticky": kind == "streaming", "Resumable": name == "long",
        })
    };
    json!({
        "Version": version,
        "Routes": [
            route("look", "/look/", "idempotent", "desk", 2),
            route("book", "/book/", "non_idempotent", "desk", 2),
            route("long", "/long/", "streaming", "llm", 2),
            route("short", "/short/", "streaming", "llm", 1),
        ],
        "Services": [
            { "Name": "desk", "HealthPath": "/health", "MaxConnections": 100 },
            { "Name": "llm", "HealthPath": "/health", "MaxConnections": 100, "Engine": {
                "Slots": 8, "KvCapacityTokens": 180_000, "KvTokenBytes": 18_432,
                "LinkMbps": 88_000.0, "Stride": 6, "MaxInFlight": 12,
                "Models": [{ "Name": MODEL }],
            } },
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 65_536, "HeaderTimeoutMs": 1000,
            "IdleTimeoutMs": 3000,
        },
        "Tenants": [
            { "Name": "station", "ApiKeys": [KEY], "Priority": 1, "Isolated": false },
            { "Name": "quiz", "ApiKeys": [OTHER_KEY], "Priority": 1, "Isolated": true },
        ],
    })
}

/// Returns the same configuration with the key of the workspace `quiz` removed.
#[must_use]
pub fn revoked_config(version: u64) -> Value {
    let mut config = config(version);
    config["Tenants"][1]["ApiKeys"] = json!([]);
    config
}

/// Values of the settings file of one VM.
#[derive(Debug, Clone)]
pub struct VmOptions {
    /// Name of the VM.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Address on which it listens for callers.
    pub callers: SocketAddr,
    /// Address on which it answers whether it is ready.
    pub readiness: SocketAddr,
    /// Address on which it listens for the other VMs; the next port belongs to it too.
    pub peers: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Time after which a revoked key must be refused.
    pub revoke: Duration,
    /// Time after which an upstream that leaves must not receive requests.
    pub drain: Duration,
}

/// Ports, from that of the address for other VMs on, that a VM uses between VMs.
pub const INTERNAL_PORTS: u16 = 2;

/// Returns the text of the settings file of a VM.
#[must_use]
pub fn settings_file(options: &VmOptions) -> String {
    let VmOptions { vm, failure_domain, callers, readiness, peers, store, revoke, drain } = options;
    let (ip, port) = (peers.ip(), peers.port());
    let (revoke, drain) = (revoke.as_millis(), drain.as_millis());
    format!(
        r#"NodeName = "{vm}"
Role = "router"
Ip = "{ip}"
Zone = "{failure_domain}"
InternalPorts = [{port}, {next}]
Contracts = ["pressure"]
[Listen]
Frontend = "{callers}"
Ready = "{readiness}"
[Limits]
MemoryMb = 110
MaxFds = 4100
[Bounds]
DrainMs = {drain}
GraceS = 8
RevokeMs = {revoke}
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 54
RequireFencing = true
LeaseMs = 3000
VersionMs = 15000
[Platform]
Address = "{store}"
form = "kv"
TtlMinMs = 1000
"#,
        next = port + 1,
    )
}
