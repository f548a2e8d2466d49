//! HTTP interface for operators.

use std::sync::Arc;

use http::{Method, StatusCode};
use lw_config::document::{Upstream, UpstreamKind};
use lw_member::PatchOutcome;
use lw_protocol::{
    caller::Failure,
    operator::{
        AcceptedPatch, ConfigAnswer, Histogram, History, PatchRefusal, PeerStatus, Status,
        UpstreamStatus,
    },
};
use lw_transport::{auth, server};
use lw_types::prelude::*;
use serde_json::Value;
use volo_http::{request::Request, response::Response};

use crate::{
    members, run,
    tables::{ActiveConfig, Tables},
};

const EXPLAIN_PREFIX: &str = "/op/explain/";

/// Answers one request of an operator.
pub async fn serve(tables: Arc<Tables>, req: Request) -> Response {
    let token = auth::bearer_token(req.headers()).unwrap_or_default();
    if !auth::is_equal(token, tables.settings.operator_token.expose_secret()) {
        let text = "the operator token is missing or wrong";
        return server::failure(&Failure::new(ResultCode::OperatorDenied, text));
    }
    route(&tables, req).await.unwrap_or_else(|failure| server::failure(&failure))
}

async fn route(tables: &Arc<Tables>, req: Request) -> Result<Response, Failure> {
    let (parts, body) = req.into_parts();
    let path = parts.uri.path();
    match (&parts.method, path) {
        (&Method::GET, "/op/config") => Ok(server::json(StatusCode::OK, &config_answer(tables)?)),
        (&Method::PATCH, "/op/config") => {
            let base = base_version(parts.uri.query())?;
            let limits = &tables.settings.limits;
            let timeout = tables.settings.timeouts.body;
            let bytes = server::read_body(body, limits.body_max, timeout).await?;
            let change: Value = serde_json::from_slice(&bytes)
                .map_err(|e| Failure::new(ResultCode::MalformedBody, e.to_string()))?;
            apply_patch(tables, base, &change).await
        }
        (&Method::GET, "/op/history") => Ok(server::json(StatusCode::OK, &history(tables))),
        (&Method::GET, "/op/status") => Ok(server::json(StatusCode::OK, &status(tables))),
        (&Method::GET, "/op/histograms") => Ok(server::json(StatusCode::OK, &histograms(tables))),
        (&Method::POST, "/op/drain") => {
            run::leave(tables);
            Ok(server::json(StatusCode::OK, &status(tables)))
        }
        (&Method::GET, _) if path.starts_with(EXPLAIN_PREFIX) => {
            let request = &path[EXPLAIN_PREFIX.len()..];
            let explanation = tables.decision_log().explain(request).ok_or_else(|| {
                let text = format!("this VM has no decisions of request {request} in its log");
                Failure::new(ResultCode::UnknownRequest, text)
            })?;
            Ok(server::json(StatusCode::OK, &explanation))
        }
        _ => {
            let text = format!("no such path: {} {path}", parts.method);
            Err(Failure::new(ResultCode::UnknownPath, text))
        }
    }
}

fn base_version(query: Option<&str>) -> Result<ConfigVersion, Failure> {
    query
        .into_iter()
        .flat_map(|query| query.split('&'))
        .find_map(|pair| pair.strip_prefix("base="))
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| Failure::new(ResultCode::InvalidField, "base must be a version number"))
}

fn config_answer(tables: &Tables) -> Result<ConfigAnswer, Failure> {
    let active = tables.active_config().ok_or_else(|| {
        Failure::new(ResultCode::NotReady, "no configuration has been received yet")
    })?;
    Ok(ConfigAnswer {
        version: accepted_version(&active),
        provisional: active.is_provisional,
        document: active.document.as_json().clone(),
    })
}

/// Returns the version that an operator accepted; 0 for a provisional document, which has none.
fn accepted_version(active: &ActiveConfig) -> ConfigVersion {
    if active.is_provisional { 0 } else { active.document.version }
}

async fn apply_patch(
    tables: &Arc<Tables>,
    base: ConfigVersion,
    patch: &Value,
) -> Result<Response, Failure> {
    let outcome = members::apply_patch(tables, base, patch).await;
    let code = outcome.code();
    let (version, faults) = match outcome {
        PatchOutcome::Accepted(_) => {
            return Ok(server::json(StatusCode::OK, &config_answer(tables)?));
        }
        PatchOutcome::Stale { current } => {
            (current, vec![format!("the patch is against version {base}, not {current}")])
        }
        PatchOutcome::Invalid(faults) => (base, faults.lines().map(str::to_owned).collect()),
        PatchOutcome::Unavailable => {
            return Err(Failure::new(code, "the store is not available; nothing changed"));
        }
        PatchOutcome::Unknown => {
            return Err(Failure::new(code, "the store did not confirm the change"));
        }
    };
    let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_REQUEST);
    let name = code.name().to_owned();
    let refusal = PatchRefusal { number: code.number(), code: name, version, faults };
    Ok(server::json(status, &refusal))
}

fn history(tables: &Tables) -> History {
    let members = tables.members();
    let mut patches: Vec<_> = members
        .member
        .history()
        .map(|patch| AcceptedPatch {
            version: patch.version,
            patch: serde_json::from_str(&patch.patch).unwrap_or_default(),
        })
        .collect();
    patches.reverse();
    History { patches }
}

fn peers(tables: &Tables) -> Vec<PeerStatus> {
    let members = tables.members();
    let others = members.member.peers().filter(|peer| peer.id != tables.settings.vm);
    others
        .map(|peer| PeerStatus {
            vm: peer.id.clone(),
            failure_domain: peer.domain.clone(),
            state: format!("{:?}", peer.state).to_lowercase(),
            version: peer.version,
        })
        .collect()
}

fn status(tables: &Tables) -> Status {
    let active = tables.active_config();
    let state = match (&active, tables.is_leaving()) {
        (_, true) => "leaving",
        (None, false) => "starting",
        (Some(_), false) => "serving",
    };
    Status {
        vm: tables.settings.vm.clone(),
        failure_domain: tables.settings.failure_domain.clone(),
        state: state.to_owned(),
        version: active.as_deref().map_or(0, accepted_version),
        provisional: active.as_ref().is_some_and(|active| active.is_provisional),
        in_flight: tables.in_flight(),
        peers: peers(tables),
        upstreams: active.as_deref().map(|active| upstreams(tables, active)).unwrap_or_default(),
        histograms: histograms(tables),
        quarantined: Vec::new(),
    }
}

fn upstreams(tables: &Tables, active: &ActiveConfig) -> Vec<UpstreamStatus> {
    let engine_statuses = tables.router().engine_status(tables.timer.now());
    let describe = |(id, upstream): (&UpstreamId, &Upstream)| {
        let engine = engine_statuses.iter().find(|engine| engine.engine == *id);
        let kind = match upstream.kind {
            UpstreamKind::Engine { .. } => "engine",
            UpstreamKind::Service { .. } => "service",
        };
        let is_leaving = upstream.is_leaving || tables.is_listed_leaving(id);
        let (chosen, why) = match engine.map(|engine| engine.exclusion_reason) {
            _ if is_leaving => (false, "leaving".to_owned()),
            Some(Some(why)) => (false, why.to_string()),
            Some(None) => {
                let wait = engine.map_or(0, |engine| engine.wait.as_millis());
                (true, format!("expected wait {wait} ms"))
            }
            None => (true, "configured".to_owned()),
        };
        UpstreamStatus {
            id: id.clone(),
            kind: kind.to_owned(),
            address: upstream.address.to_string(),
            chosen,
            why,
            in_flight: engine.map_or(0, |engine| engine.in_flight as u64),
        }
    };
    active.document.upstreams.iter().map(describe).collect()
}

fn histograms(tables: &Tables) -> Vec<Histogram> {
    const MILLIS: f64 = 1000.0;
    let summaries = tables.histograms.summaries().into_iter();
    summaries
        .map(|summary| Histogram {
            workspace: summary.workspace,
            class: summary.class.name().to_owned(),
            measure: summary.measure.name().to_owned(),
            count: summary.count,
            p50_ms: summary.p50.as_secs_f64() * MILLIS,
            p95_ms: summary.p95.as_secs_f64() * MILLIS,
            p99_ms: summary.p99.as_secs_f64() * MILLIS,
            max_ms: summary.max.as_secs_f64() * MILLIS,
        })
        .collect()
}
