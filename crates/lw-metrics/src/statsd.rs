//! Client that sends metrics to a statsd server over UDP.

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

/// Error while opening the statsd client.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The local socket could not be opened.
    #[display("cannot open the local statsd socket: {_0}")]
    Socket(std::io::Error),
    /// The client library rejected the statsd address.
    #[display("cannot use the statsd address: {_0}")]
    Sink(cadence::MetricError),
}

/// Client for a statsd server. Its methods do not block and ignore lost metrics.
#[derive(Debug)]
pub struct Statsd {
    client: StatsdClient,
}

impl Statsd {
    /// Creates a client for the server at `addr`, or one that discards all metrics if there is no address.
    ///
    /// # Errors
    ///
    /// [`Error::Socket`] if the local socket cannot be opened, [`Error::Sink`] if the address cannot be used.
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
        // A buffered sink would delay metrics until a packet is full.
        let sink = QueuingMetricSink::from(UdpMetricSink::from(addr, socket)?);
        Ok(Self { client: StatsdClient::from_sink(PREFIX, sink) })
    }

    /// Adds `amount` to a counter.
    pub fn count(&self, name: &str, amount: i64) {
        let _ = self.client.count(name, amount);
    }

    /// Counts one result, tagged with the name of its code.
    pub fn count_result(&self, code: ResultCode) {
        self.client.incr_with_tags("results").with_tag("code", code.name()).send();
    }

    /// Sets the value of a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a time, sent in milliseconds.
    pub fn time(&self, name: &str, time: Duration) {
        let _ = self.client.time(name, time);
    }
}
