//! Relays a stream to its caller, and resumes it with another attempt if it breaks.

use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use lw_forward::{events::Splitter, intake, pool::UpstreamAnswerBody};
use lw_place::Ended;

use super::{
    attempt::{Attempt, IncomingAnswer, SendOutcome},
    forward::Driver,
    takeover::{Overlap, SentAttempt, overlap},
};
use crate::{
    answer::{self, AnswerBody, BodyError},
    state::GivenUp,
};

/// A stream that is being relayed to its caller.
pub(super) struct Relay {
    driver: Driver,
    current: Option<(UpstreamAnswerBody, Attempt)>,
    /// An attempt that was sent to resume the stream while the current one was silent.
    successor: Option<SentAttempt>,
    /// Splits the stream at ends of events: it may be resumed after one, and has broken off if it ends within one.
    splitter: Splitter,
    is_resumable: bool,
    status: u16,
    /// Bytes given to the caller.
    relayed_bytes: u64,
    /// Whether another engine has resumed the stream and has not sent an event yet.
    awaits_first_event: bool,
    /// Whether several attempts sent parts of the stream.
    is_resumed: bool,
}

/// What the HTTP library received of a body.
type ReceivedFrame = Result<Frame<Bytes>, <UpstreamAnswerBody as http_body::Body>::Error>;

/// What was received next from the upstream.
enum Received {
    Bytes(Bytes),
    /// The end of the stream.
    End,
    /// The stream broke, for this reason.
    Broken(String),
    /// The upstream is silent, and a successor was sent.
    Superseded,
    /// The deadline passed before the end of the stream.
    DeadlineExceeded,
}

impl Relay {
    pub fn new(driver: Driver, incoming: IncomingAnswer) -> Self {
        let is_resumable = driver.call.route.kind.is_resumable();
        let status = incoming.head.status.as_u16();
        let splitter = Splitter::after(driver.call.head.last_event);
        Self {
            driver,
            current: Some((incoming.body, incoming.attempt)),
            successor: None,
            splitter,
            is_resumable,
            status,
            relayed_bytes: 0,
            awaits_first_event: false,
            is_resumed: false,
        }
    }

    pub fn into_body(self) -> AnswerBody {
        // One subscription for all chunks.
        let given_up = self.driver.edge.watch_given_up();
        answer::stream_body((self, given_up), |(mut relay, mut given_up)| async move {
            let next = tokio::select! {
                next = relay.next() => next,
                _ = given_up.wait_for(|given_up| *given_up >= GivenUp::Streams) => {
                    Err(relay.give_up())
                }
            };
            Ok(next?.map(|bytes| (bytes, (relay, given_up))))
        })
    }

    /// Ends the stream since the process is about to end.
    fn give_up(&mut self) -> BodyError {
        let why = "this VM ends before the stream";
        if let Some((_, attempt)) = self.current.take() {
            attempt.end(Ended::Cancelled, why);
        }
        self.driver.record.record_broken_stream(why, self.relayed_bytes);
        why.into()
    }

    /// Returns the next bytes for the caller, or none at the end of the stream.
    ///
    /// # Errors
    ///
    /// When the stream broke and cannot be resumed.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let mut received = self.receive().await;
            if received.is_none() {
                received = self.take_over().await;
            }
            let Some(received) = received else { continue };
            match received {
                Received::Bytes(bytes) => match self.splitter.push(&bytes) {
                    Ok(Some(ready)) => {
                        self.awaits_first_event = false;
                        self.bind_to_software();
                        let ready = self.hold_events(ready).await?;
                        self.driver.record.record_chunk();
                        self.relayed_bytes += u64::try_from(ready.len()).unwrap_or(u64::MAX);
                        return Ok(Some(ready));
                    }
                    Ok(None) => {}
                    Err(e) => self.replace_attempt(&e.to_string()).await?,
                },
                Received::End => {
                    if let Some((_, attempt)) = self.current.take() {
                        if let Some(events) = self.whole_events() {
                            attempt.record_output(events);
                        }
                        attempt.end_complete();
                    }
                    self.driver.record.record_answer(self.status);
                    return Ok(None);
                }
                Received::Broken(why) => self.replace_attempt(&why).await?,
                Received::Superseded => {
                    if let Some((_, attempt)) = self.current.take() {
                        self.driver.leave(attempt.placement());
                        attempt.end_silent();
                    }
                    self.resume_or_record("the upstream is silent").await?;
                }
                Received::DeadlineExceeded => {
                    let why = "the deadline passed";
                    if let Some((_, attempt)) = self.current.take() {
                        attempt.end(Ended::Failed, why);
                    }
                    self.resume_or_record(why).await?;
                }
            }
        }
    }

    /// Binds the stream to the software version of the current attempt, which the caller gets the first events of.
    fn bind_to_software(&mut self) {
        let is_unbound = self.is_resumable && self.relayed_bytes == 0;
        if let Some((_, attempt)) = self.current.as_ref().filter(|_| is_unbound) {
            self.driver.bind_to(&attempt.placement().upstream.software);
        }
    }

    /// Accounts for events until the caller's socket has them.
    ///
    /// # Errors
    ///
    /// When there is no room for them until the deadline. The upstream did nothing wrong.
    async fn hold_events(&mut self, events: Bytes) -> Result<Bytes, BodyError> {
        let left = self.driver.call.due.saturating_sub(self.driver.edge.timer.now());
        let held = intake::hold_events(&self.driver.edge.caller_memory, events, left).await;
        held.map_err(|e| {
            let why = e.to_string();
            if let Some((_, attempt)) = self.current.take() {
                attempt.end(Ended::Cancelled, &why);
            }
            self.driver.record.record_broken_stream(&why, self.relayed_bytes);
            why.into()
        })
    }

    /// Returns the number of events of the answer, if one attempt sent all of them. Ids of events count from 1.
    fn whole_events(&self) -> Option<u64> {
        let is_whole = !self.is_resumed && self.driver.call.head.last_event.is_none();
        self.splitter.last_id().filter(|_| is_whole)
    }

    /// Ends the current attempt, whose stream broke, and resumes the stream with another one.
    async fn replace_attempt(&mut self, why: &str) -> Result<(), BodyError> {
        if let Some((_, attempt)) = self.current.take() {
            attempt.end_broken(why);
        }
        self.resume_or_record(why).await
    }

    async fn resume_or_record(&mut self, why: &str) -> Result<(), BodyError> {
        let resumed = self.resume(why).await;
        resumed.inspect_err(|e| {
            self.driver.record.record_broken_stream(&e.to_string(), self.relayed_bytes);
        })
    }

    /// Returns what the upstream sends next, or `None` if it is reported as silent.
    async fn receive(&mut self) -> Option<Received> {
        let Some((body, attempt)) = &mut self.current else {
            return Some(Received::Broken("no attempt".into()));
        };
        let left = self.driver.call.due.saturating_sub(self.driver.edge.timer.now());
        let frame = async {
            tokio::select! {
                biased;
                frame = body.frame() => Some(frame),
                () = attempt.upstream_silent() => None,
            }
        };
        match tokio::time::timeout(left, frame).await {
            Err(_) => Some(Received::DeadlineExceeded),
            Ok(None) => None,
            Ok(Some(frame)) => Some(self.check_frame(frame)),
        }
    }

    /// Checks what the upstream of the current attempt sent.
    fn check_frame(&mut self, frame: Option<ReceivedFrame>) -> Received {
        match frame {
            None if self.splitter.incomplete_bytes() > 0 => {
                Received::Broken("the stream ended within an event".into())
            }
            // An engine that answers with no event at all may have failed as well.
            None if self.awaits_first_event => {
                Received::Broken("the resumed stream ended without an event".into())
            }
            None => Received::End,
            Some(Err(e)) => Received::Broken(e.to_string()),
            Some(Ok(frame)) => {
                if let Some((_, attempt)) = &mut self.current {
                    attempt.on_bytes();
                }
                Received::Bytes(frame.into_data().unwrap_or_default())
            }
        }
    }

    /// Sends an attempt that resumes the stream while the upstream of the current one is silent. Returns what the current one
    /// sends, or why the other one is to go on instead, or `None` if the current one is kept and still silent.
    async fn take_over(&mut self) -> Option<Received> {
        let (body, _) = self.current.as_mut()?;
        let last_event = self.splitter.last_id();
        let second = tokio::select! {
            biased;
            frame = body.frame() => return Some(self.check_frame(frame)),
            second = self.driver.take_over(last_event) => second,
        };
        let mut second = second?;
        match overlap(body.frame(), &mut second).await {
            Overlap::First(frame) => {
                let received = self.check_frame(frame);
                if matches!(received, Received::Broken(_)) {
                    self.successor = Some(second);
                }
                Some(received)
            }
            Overlap::Second(outcome) => {
                let answer = self.driver.success(outcome)?;
                self.successor = Some(SentAttempt::answered(answer));
                Some(Received::Superseded)
            }
            Overlap::SecondSilent => {
                self.driver.leave(&second.placement);
                None
            }
            Overlap::TimeOver => {
                self.successor = Some(second);
                Some(Received::Superseded)
            }
        }
    }

    /// Resumes the stream at another engine after the last complete event. `why` is the reason for which it broke.
    async fn resume(&mut self, why: &str) -> Result<(), BodyError> {
        if !self.is_resumable {
            return Err(why.into());
        }
        self.splitter.discard_incomplete();
        let last_event = self.splitter.last_id();
        while self.driver.call.due > self.driver.edge.timer.now() + Duration::from_millis(50) {
            let sent = match self.successor.take() {
                Some(sent) => sent,
                None => self.driver.next_attempt().await.map_err(|e| e.message)?.send(last_event),
            };
            match self.driver.outcome(sent, last_event).await {
                SendOutcome::Answer(mut incoming) if incoming.head.status.is_success() => {
                    incoming.attempt.on_stream_started();
                    self.current = Some((incoming.body, incoming.attempt));
                    self.awaits_first_event = true;
                    self.is_resumed = true;
                    return Ok(());
                }
                SendOutcome::Answer(incoming) => {
                    let why = format!("it answered {} to the resume request", incoming.head.status);
                    incoming.attempt.end(Ended::Complete, &why);
                }
                SendOutcome::Unreachable => self.driver.on_unreachable(),
                SendOutcome::NotRun | SendOutcome::OutcomeUnknown(_) => {}
                SendOutcome::DeadlineExceeded => break,
            }
        }
        Err(why.into())
    }
}
