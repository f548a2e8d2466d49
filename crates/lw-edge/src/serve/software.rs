//! The software version whose engines may serve a stream that callers can take up again.

use std::time::Duration;

use lw_catalog::upstreams::Upstream;
use lw_forward::pool::HostKey;
use lw_protocol::caller::Failure;
use lw_types::prelude::*;
use tokio::time::timeout;

use super::{
    RETRY_AFTER_UNREADY,
    forward::{Driver, Purpose},
    place::Placed,
};
use crate::software::{self, OriginError, Relayer, StreamId};

/// Age up to which a view of the store is taken as current: registered engines write to the store more often.
const CURRENT_TIME: Duration = Duration::from_millis(300);
/// Longest wait for an engine's report on itself.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

impl Driver {
    /// Binds a request that resumes a stream to the version that began it.
    ///
    /// # Errors
    ///
    /// When that version is not known, or none of its engines is left.
    pub async fn bind_to_origin(&mut self) -> Result<(), Failure> {
        let Some(resumption) = self.call.resumption else { return Ok(()) };
        let service = &self.call.service;
        let origin = software::find_origin(&self.edge, service, resumption.origin).await;
        let origin = origin.map_err(|e| {
            let failure = Failure::new(ResultCode::OriginUnknown, e.to_string());
            match e {
                OriginError::Ambiguous => failure,
                OriginError::Unreadable(_) => failure.retry_after(RETRY_AFTER_UNREADY),
            }
        })?;
        if !software::is_in_service(&self.edge, service, &origin) {
            if software::has_been_in_service(&self.edge, service, &origin) {
                return Err(version_gone(&origin));
            }
            let text = format!("no engine of the software version {origin} is known yet");
            let failure = Failure::new(ResultCode::NotReady, text);
            return Err(failure.retry_after(RETRY_AFTER_UNREADY));
        }
        self.software = Some(origin);
        Ok(())
    }

    /// Returns the only version whose engines may serve the next attempt, or none if any may.
    pub fn software(&self) -> Result<Option<SoftwareVersion>, Failure> {
        if self.software.is_some() || !self.call.route.kind.is_resumable() {
            return Ok(self.software.clone());
        }
        let version = software::version_for(&self.edge, &self.call.service, self.call.id_hash);
        version.map(Some).ok_or_else(|| {
            let text = "it is not known yet which software versions are in service";
            Failure::new(ResultCode::NotReady, text).retry_after(RETRY_AFTER_UNREADY)
        })
    }

    /// Selects the upstream of the next attempt, like [`Driver::place_in_turn`]. It may have started again under its id as another
    /// version, of which this VM has not heard yet; then another one is selected.
    pub async fn place_as_registered(&mut self, purpose: Purpose) -> Result<Placed, Failure> {
        let mut confirmed: Vec<UpstreamId> = Vec::new();
        loop {
            let placed = self.place_in_turn(purpose).await?;
            let upstream = &placed.placement.upstream;
            if confirmed.contains(&upstream.id) || !self.needs_confirmation(upstream) {
                return Ok(placed);
            }
            // Limits and isolations may have changed during the call, so that the attempt is placed again.
            if self.is_as_registered(upstream).await {
                confirmed.push(upstream.id.clone());
                continue;
            }
            self.tried.push(upstream.id.clone());
            if purpose == Purpose::Return {
                return Err(self.refusal("the upstream that the request left has started again"));
            }
        }
    }

    /// Whether to ask an engine if it is the process that registered. One whose connections are open has not started again, and a VM
    /// whose view is current hears of it.
    fn needs_confirmation(&self, upstream: &Upstream) -> bool {
        if self.software.is_some() {
            return true;
        }
        if !self.call.route.kind.is_resumable() {
            return false;
        }
        let now = self.edge.timer.now_including_suspend();
        let is_current = self.edge.store_view().age(now).is_some_and(|age| age <= CURRENT_TIME);
        let key: HostKey = (upstream.addr, upstream.id.as_str().into());
        !is_current && !self.edge.connection_pool.is_connected(&key)
    }

    /// Whether an engine states that it is the process that registered under its id. One that states nothing may begin a stream, but
    /// not go on with one.
    async fn is_as_registered(&self, upstream: &Upstream) -> bool {
        let report = self.edge.engines.fetch_report(upstream.addr, &upstream.id);
        let report = match timeout(REPORT_TIMEOUT, report).await {
            Ok(report) => report.map_err(|e| e.to_string()),
            Err(_) => Err("no report in time".to_owned()),
        };
        let is_same = match &report {
            Ok(report) => report.incarnation.is_none_or(|stated| stated == upstream.incarnation),
            Err(_) => self.software.is_none(),
        };
        if !is_same {
            let why = report.err().unwrap_or_else(|| "it has started again".to_owned());
            log::info!(target: "route", request = self.call.head.request.as_str(),
                upstream = upstream.id.as_str(), why = why;
                "the stream does not go to the upstream");
        }
        is_same
    }

    /// Binds the stream to the version whose first bytes go to the caller now. Other VMs are told if the id of the stream does not
    /// tell its version.
    pub fn bind_to(&mut self, software: &str) {
        self.software = Some(software.to_owned());
        let (service, edge) = (&self.call.service, &self.edge);
        let stream = StreamId::new(service, self.call.stream_hash);
        let now = edge.timer.now_including_suspend();
        if edge.software.remember(now, stream, software, Relayer::Own)
            && software::is_mixed(edge, service)
        {
            edge.software.tell(stream, software);
        }
    }
}

/// Returns the failure of a stream that cannot go on, since no engine of its version is left.
pub(super) fn version_gone(software: &str) -> Failure {
    let text = format!("no engine of the software version {software} is left");
    Failure::new(ResultCode::VersionGone, text)
}
