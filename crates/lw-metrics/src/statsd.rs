//! Metrics sent to a statsd address over UDP, or nowhere.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use cadence::{
    Counted, CountedExt, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
    UdpMetricSink,
};
use derive_more::{Display, Error, From};
use lw_types::prelude::*;

const PREFIX: &str = "lavenderwood";

/// Why the sink could not be opened.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The local socket could not be bound.
    #[display("statsd socket: {_0}")]
    Socket(std::io::Error),
    /// The sink refused the address.
    #[display("statsd sink: {_0}")]
    Sink(cadence::MetricError),
}

/// Sends metrics without blocking the caller; losses are ignored.
#[derive(Debug)]
pub struct Statsd {
    client: StatsdClient,
}

impl Statsd {
    /// Sends to `addr`, or nowhere without one.
    ///
    /// # Errors
    ///
    /// When the local socket cannot be bound.
    ///
    /// ```
    /// let statsd = lw_metrics::statsd::Statsd::open(None).unwrap();
    /// statsd.count("requests", 1);
    /// ```
    pub fn open(addr: Option<SocketAddr>) -> Result<Self, Error> {
        let Some(addr) = addr else {
            return Ok(Self { client: StatsdClient::from_sink(PREFIX, NopMetricSink) });
        };
        let local = if addr.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        // A buffered sink would hold metrics back until a packet is full.
        let sink = QueuingMetricSink::from(UdpMetricSink::from(addr, socket)?);
        Ok(Self { client: StatsdClient::from_sink(PREFIX, sink) })
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, by: i64) {
        let _ = self.client.count(name, by);
    }

    /// Counts one result by its name.
    pub fn count_result(&self, code: ResultCode) {
        self.client.incr_with_tags("results").with_tag("code", code.name()).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a time.
    pub fn time(&self, name: &str, time: Duration) {
        let _ = self.client.time(name, time);
    }
}
