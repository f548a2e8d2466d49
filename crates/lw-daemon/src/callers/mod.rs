//! HTTP interface for callers.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use lw_config::document::Workspace;
use lw_forward::intake::{self as forward_intake, Hold, leaves_body_unread};
use lw_protocol::caller::{CLASS_HEADER, DEADLINE_HEADER, Endpoint, Failure, REQUEST_ID_HEADER};
use lw_transport::{auth, server};
use lw_types::prelude::*;
use serde_json::json;
use volo_http::{body::Body, request::Request, response::Response};

use crate::{
    intake, services,
    tables::{ActiveConfig, Tables},
};

mod completion;
pub mod rollout;

const DEADLINE_MAX_MS: u64 = 600_000;
const SERVICES_PREFIX: &str = "/v1/services/";

/// The caller of a request and the settings that apply to the request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Request id.
    pub request_id: RequestId,
    /// Configuration that the request uses to its end, also if another one becomes active.
    pub active: Arc<ActiveConfig>,
    /// Workspace that the API key belongs to.
    pub workspace: WorkspaceId,
    /// Class from the request's header, or else from the workspace.
    pub class: Class,
    /// Longest time allowed from arrival to the first token.
    pub deadline: Duration,
    /// When the request arrived.
    pub arrived: Now,
    /// Connection of the caller.
    pub connection: forward_intake::Caller,
    /// Memory of the head of the request.
    _head: Arc<Hold>,
}

impl Caller {
    /// Returns the configuration of the workspace.
    #[must_use]
    pub fn workspace_config(&self) -> &Workspace {
        &self.active.document.workspaces[&self.workspace]
    }

    /// Whether the workspace may use this model or service.
    #[must_use]
    pub fn may_use(&self, name: &str) -> bool {
        let allowed = &self.workspace_config().allowed;
        allowed.is_empty() || allowed.iter().any(|item| item == name)
    }
}

/// Answers one request of a caller.
pub async fn serve(tables: Arc<Tables>, req: Request) -> Response {
    let id = tables.next_request_id();
    let mut response = match (req.method().as_str(), req.uri().path()) {
        ("GET", "/healthz") => text(StatusCode::OK, "ok"),
        ("GET", "/readyz") => readiness(&tables),
        _ => respond(&tables, req, &id).await,
    };
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

async fn respond(tables: &Arc<Tables>, req: Request, id: &str) -> Response {
    let guard = tables.track_request();
    route(tables, req, id, guard).await.unwrap_or_else(|failure| {
        let (number, name) = (failure.code.number(), failure.code.name());
        tables.record_step("http", id, &format!("answered {number} {name}: {}", failure.message));
        tables.statsd.count_result(failure.code);
        let mut response = server::failure(&failure);
        // A connection that stays in use would keep a leaving VM from ending.
        if failure.code == ResultCode::Draining || leaves_body_unread(failure.code) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    })
}

/// Refuses requests that arrive late in a drain.
fn check_accepting(tables: &Tables) -> Result<(), Failure> {
    if tables.is_refusing_requests() {
        return Err(Failure::new(ResultCode::Draining, "this VM is shutting down"));
    }
    Ok(())
}

async fn route(
    tables: &Arc<Tables>,
    req: Request,
    id: &str,
    guard: crate::tables::InFlightGuard,
) -> Result<Response, Failure> {
    let (mut parts, body) = req.into_parts();
    let caller = match identify(tables, &mut parts, id) {
        Ok(caller) => caller,
        Err(failure) => {
            server::discard(body).await;
            return Err(failure);
        }
    };
    let path = parts.uri.path();
    match (&parts.method, path) {
        (&Method::POST, "/v1/chat/completions") => {
            completion::serve(tables, caller, Endpoint::Chat, body, guard).await
        }
        (&Method::POST, "/v1/completions") => {
            completion::serve(tables, caller, Endpoint::Text, body, guard).await
        }
        (&Method::GET, "/v1/models") => Ok(list_models(&caller)),
        _ => {
            if let Some(target) = path.strip_prefix(SERVICES_PREFIX) {
                let target =
                    parts.uri.query().map_or(target.to_owned(), |q| format!("{target}?{q}"));
                let call = services::IncomingCall {
                    method: parts.method,
                    target,
                    headers: parts.headers,
                    body,
                };
                services::serve(tables, &caller, call).await
            } else {
                server::discard(body).await;
                let text = format!("no such path: {} {path}", parts.method);
                Err(Failure::new(ResultCode::UnknownPath, text))
            }
        }
    }
}

/// Returns the caller of a request that this VM accepts.
fn identify(
    tables: &Arc<Tables>,
    parts: &mut http::request::Parts,
    id: &str,
) -> Result<Caller, Failure> {
    check_accepting(tables)?;
    let connection = parts.extensions.remove::<forward_intake::Caller>();
    let connection = connection
        .ok_or_else(|| Failure::new(ResultCode::Internal, "the request has no connection"))?;
    let head = intake::hold_head(&connection, &tables.statsd, id, &parts.headers)?;
    authenticate(tables, &parts.headers, id, connection, head)
}

fn authenticate(
    tables: &Arc<Tables>,
    headers: &HeaderMap,
    id: &str,
    connection: forward_intake::Caller,
    head: Hold,
) -> Result<Caller, Failure> {
    let active = tables.active_config().ok_or_else(|| {
        Failure::new(ResultCode::NotReady, "no configuration has been received yet")
    })?;
    let unknown = || Failure::new(ResultCode::UnknownKey, "the API key is missing or unknown");
    let key = auth::bearer_token(headers).ok_or_else(unknown)?;
    let workspace = active.workspace_by_key(key).ok_or_else(unknown)?.clone();
    let workspace_config = &active.document.workspaces[&workspace];
    let class = match header_text(headers, CLASS_HEADER)? {
        Some(text) => {
            text.parse().map_err(|e: String| Failure::new(ResultCode::InvalidField, e))?
        }
        None => workspace_config.class,
    };
    let deadline = match header_text(headers, DEADLINE_HEADER)? {
        Some(text) => parse_deadline(text)?,
        None => workspace_config.deadline,
    };
    Ok(Caller {
        request_id: id.to_owned(),
        workspace,
        class,
        deadline,
        arrived: tables.timer.now(),
        active,
        connection,
        _head: Arc::new(head),
    })
}

/// Returns the value of a header as text, if the header is present.
pub(crate) fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Failure> {
    headers
        .get(name)
        .map(|value| {
            value.to_str().map_err(|_| {
                Failure::new(ResultCode::InvalidField, format!("header {name} is not ASCII text"))
            })
        })
        .transpose()
}

fn parse_deadline(text: &str) -> Result<Duration, Failure> {
    if let Ok(ms @ 1..=DEADLINE_MAX_MS) = text.parse() {
        Ok(Duration::from_millis(ms))
    } else {
        let text = format!("{DEADLINE_HEADER} is {text:?}, allowed: 1 to {DEADLINE_MAX_MS}");
        Err(Failure::new(ResultCode::InvalidField, text))
    }
}

fn readiness(tables: &Tables) -> Response {
    if tables.is_leaving() {
        return text(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    }
    match tables.active_config() {
        Some(_) => text(StatusCode::OK, "ready"),
        None => text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
    }
}

fn list_models(caller: &Caller) -> Response {
    let mut data = Vec::new();
    for (name, model) in &caller.active.document.models {
        if !caller.may_use(name) {
            continue;
        }
        data.push(json!({ "id": name, "object": "model", "owned_by": "lavenderwood" }));
        for adapter in model.adapters.keys() {
            let id = format!("{name}:{adapter}");
            data.push(json!({ "id": id, "object": "model", "owned_by": "lavenderwood" }));
        }
    }
    server::json(StatusCode::OK, &json!({ "object": "list", "data": data }))
}

fn text(status: StatusCode, body: &'static str) -> Response {
    server::respond(status, "text/plain", Body::from(body))
}
