//! A stream of events from one or more attempts to a caller.

use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use lw_catalog::RouteKind;
use lw_forward::{events::Splitter, pool::AnswerBody};
use lw_place::Ended;

use super::{
    answer::{BodyError, OutBody},
    attempt::{Attempt, Running, Sent},
    forward::Driver,
};

/// A stream that is being passed on.
pub(super) struct Relay {
    driver: Driver,
    current: Option<(AnswerBody, Attempt)>,
    /// Only for streams that may be resumed: the others are passed on byte by byte.
    splitter: Option<Splitter>,
    status: u16,
    /// Bytes that the caller was given.
    passed_on: u64,
}

enum Step {
    Bytes(Bytes),
    Complete,
    Broken(String),
}

impl Relay {
    pub fn new(driver: Driver, running: Running) -> Self {
        let is_resumable = driver.call.route.kind == RouteKind::Stream { resumable: true };
        let splitter = is_resumable.then(Splitter::default);
        let status = running.head.status.as_u16();
        Self {
            driver,
            current: Some((running.body, running.attempt)),
            splitter,
            status,
            passed_on: 0,
        }
    }

    pub fn into_body(self) -> OutBody {
        let frames = futures::stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(e) => Some((Err(e), None)),
            }
        });
        BodyExt::boxed_unsync(StreamBody::new(frames))
    }

    /// The next bytes for the caller, none at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.step().await {
                Step::Bytes(bytes) => {
                    let ready = match &mut self.splitter {
                        Some(splitter) => splitter.push(&bytes),
                        None => Ok(Some(bytes)),
                    };
                    match ready {
                        Ok(Some(ready)) => {
                            self.driver.record.piece();
                            self.passed_on += u64::try_from(ready.len()).unwrap_or(u64::MAX);
                            return Ok(Some(ready));
                        }
                        Ok(None) => {}
                        Err(e) => self.go_on(&e.to_string()).await?,
                    }
                }
                Step::Complete => {
                    if let Some((_, attempt)) = self.current.take() {
                        attempt.end(Ended::Complete, "");
                    }
                    self.driver.record.answered(self.status);
                    return Ok(None);
                }
                Step::Broken(why) => self.go_on(&why).await?,
            }
        }
    }

    /// Ends the attempt, whose stream broke, and goes on with another one.
    async fn go_on(&mut self, why: &str) -> Result<(), BodyError> {
        if let Some((_, attempt)) = self.current.take() {
            attempt.end(Ended::Failed, why);
        }
        let resumed = self.resume(why).await;
        resumed.inspect_err(|e| self.driver.record.broke(&e.to_string(), self.passed_on))
    }

    async fn step(&mut self) -> Step {
        let Some((body, attempt)) = &mut self.current else {
            return Step::Broken("no attempt".into());
        };
        let left = self.driver.call.due.saturating_sub(self.driver.edge.timer.now());
        let frame = async {
            tokio::select! {
                frame = body.frame() => Ok(frame),
                () = attempt.silenced() => Err(Step::Broken("the engine is silent".into())),
            }
        };
        let frame = match tokio::time::timeout(left, frame).await {
            Err(_) => return Step::Broken("the deadline passed".into()),
            Ok(Err(step)) => return step,
            Ok(Ok(frame)) => frame,
        };
        match frame {
            None if self
                .splitter
                .as_ref()
                .is_some_and(|splitter| splitter.incomplete_bytes() > 0) =>
            {
                Step::Broken("the stream ended within an event".into())
            }
            None => Step::Complete,
            Some(Err(e)) => Step::Broken(e.to_string()),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => Step::Bytes(bytes),
                Err(_) => Step::Bytes(Bytes::new()),
            },
        }
    }

    /// Goes on at another engine after the last whole event.
    async fn resume(&mut self, why: &str) -> Result<(), BodyError> {
        let Some(splitter) = &mut self.splitter else { return Err(why.into()) };
        splitter.discard_incomplete();
        let last_event = splitter.last_id();
        while self.driver.call.due > self.driver.edge.timer.now() + Duration::from_millis(50) {
            let attempt = self.driver.next_attempt().map_err(|e| e.message)?;
            match attempt.send(last_event).await {
                Sent::Answer(running) if running.head.status.is_success() => {
                    running.attempt.started();
                    self.current = Some((running.body, running.attempt));
                    return Ok(());
                }
                Sent::Answer(running) => {
                    let why = format!("it answered {} to a resume", running.head.status);
                    running.attempt.end(Ended::Complete, &why);
                }
                Sent::Unreached => self.driver.unreached(),
                Sent::NotRun | Sent::Unknown(_) => {}
                Sent::Late => break,
            }
        }
        Err(why.into())
    }
}
