//! HTTP interface between the VMs of the router.

use std::sync::Arc;

use bytes::Bytes;
use lw_protocol::caller::Failure;
use lw_transport::{auth, server};
use lw_types::prelude::*;
use serde::de::DeserializeOwned;
use volo_http::{request::Request, response::Response};

use crate::{claims, limits, members, tables::Tables};

/// Largest message of a peer in bytes: a complete configuration document and its envelope.
const MESSAGE_MAX_BYTES: usize = 2 << 20;

/// Answers one request of a peer.
pub async fn serve(tables: Arc<Tables>, req: Request) -> Response {
    let key = auth::bearer_token(req.headers()).unwrap_or_default();
    if !auth::is_equal(key, tables.settings.peer_key.expose_secret()) {
        let text = "the peer key is missing or wrong";
        return server::failure(&Failure::new(ResultCode::OperatorDenied, text));
    }
    route(&tables, req).await.unwrap_or_else(|failure| server::failure(&failure))
}

async fn route(tables: &Arc<Tables>, req: Request) -> Result<Response, Failure> {
    let (parts, body) = req.into_parts();
    let bytes = server::read_body(body, MESSAGE_MAX_BYTES, tables.settings.timeouts.body).await?;
    match parts.uri.path() {
        members::PEER_PATH => {
            let reply = members::on_message(tables, &decode(&bytes)?);
            Ok(server::msgpack(&reply))
        }
        claims::PEER_PATH => {
            claims::on_message(tables, decode(&bytes)?);
            Ok(server::msgpack(&()))
        }
        limits::GRANT_PATH => {
            let grant = limits::on_demand_report(tables, &decode(&bytes)?);
            Ok(server::msgpack(&grant))
        }
        path => Err(Failure::new(ResultCode::UnknownPath, format!("no such path: {path}"))),
    }
}

fn decode<T: DeserializeOwned>(bytes: &Bytes) -> Result<T, Failure> {
    rmp_serde::from_slice(bytes).map_err(|e| Failure::new(ResultCode::MalformedBody, e.to_string()))
}
