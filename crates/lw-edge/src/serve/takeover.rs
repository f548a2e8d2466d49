//! Attempts beside one whose upstream is silent.
//!
//! Silence does not tell a dead upstream from one that stands still for a moment and goes on. So a silent attempt is given up
//! only for another one that was sent already: for a short time both are in flight, and whichever upstream sends first serves
//! the request.

use std::{future::Future, pin::Pin, time::Duration};

use lw_place::Placement;
use tokio::sync::watch;

use super::attempt::{IncomingAnswer, SendOutcome};

/// Longest time for which two attempts of a request are in flight. Within 0.4 s of the start of the second, the upstream of the
/// first must have stopped working on it. It is longer than the connect timeout, so that a silent upstream is not left for one
/// that cannot be reached.
const OVERLAP_TIME: Duration = Duration::from_millis(320);

/// An attempt that was sent and has no answer yet. Dropping it closes its connection.
pub(super) struct SentAttempt {
    pub placement: Placement,
    outcome: Pin<Box<dyn Future<Output = SendOutcome> + Send>>,
    /// Changes with each report that its upstream is silent.
    reports: watch::Receiver<()>,
    give_up: watch::Sender<bool>,
}

/// What an attempt in flight reports to, and hears from, its [`SentAttempt`].
#[derive(Debug)]
pub(super) struct Signals {
    reports: watch::Sender<()>,
    give_up: watch::Receiver<bool>,
}

impl Signals {
    /// Reports that the upstream is silent.
    pub fn report_silence(&self) {
        self.reports.send_replace(());
    }

    /// Waits until the attempt is to be given up.
    pub async fn given_up(&mut self) {
        if self.give_up.wait_for(|is_given_up| *is_given_up).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl SentAttempt {
    /// Returns the attempt that `send` sends when it is polled.
    pub fn new<F>(placement: Placement, send: impl FnOnce(Signals) -> F) -> Self
    where
        F: Future<Output = SendOutcome> + Send + 'static,
    {
        let (reports_tx, reports) = watch::channel(());
        let (give_up, give_up_rx) = watch::channel(false);
        let outcome = Box::pin(send(Signals { reports: reports_tx, give_up: give_up_rx }));
        Self { placement, outcome, reports, give_up }
    }

    /// Returns an attempt that has this answer already.
    pub fn answered(answer: Box<IncomingAnswer>) -> Self {
        let placement = answer.attempt.placement().clone();
        Self::new(placement, |_| std::future::ready(SendOutcome::Answer(answer)))
    }

    /// Waits for the outcome. Must not be called again after it has returned.
    pub async fn outcome(&mut self) -> SendOutcome {
        self.outcome.as_mut().await
    }

    /// Waits for the outcome, or returns `None` at the next report that the upstream is silent.
    pub async fn outcome_or_silence(&mut self) -> Option<SendOutcome> {
        let Self { outcome, reports, .. } = self;
        tokio::select! {
            biased;
            outcome = outcome.as_mut() => Some(outcome),
            () = next_report(reports) => None,
        }
    }

    /// Gives the attempt up, so that it counts as failed, and closes its connection.
    pub async fn give_up(mut self) {
        self.give_up.send_replace(true);
        self.outcome().await;
    }
}

/// Waits for the next report of silence.
async fn next_report(reports: &mut watch::Receiver<()>) {
    if reports.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// How the time in which two attempts of a request were in flight ended.
#[derive(Debug)]
pub(super) enum Overlap<T> {
    /// The first upstream sent something, or its attempt ended.
    First(T),
    /// The second attempt ended.
    Second(SendOutcome),
    /// The second upstream is silent too, so that nothing is gained by leaving the first one.
    SecondSilent,
    /// Both have sent nothing for [`OVERLAP_TIME`].
    TimeOver,
}

/// Waits until one of two attempts of a request is to be given up. `first` completes when the silent upstream sends something.
pub(super) async fn overlap<T>(
    first: impl Future<Output = T>,
    second: &mut SentAttempt,
) -> Overlap<T> {
    tokio::select! {
        biased;
        heard = first => Overlap::First(heard),
        outcome = second.outcome_or_silence() => match outcome {
            Some(outcome) => Overlap::Second(outcome),
            None => Overlap::SecondSilent,
        },
        () = tokio::time::sleep(OVERLAP_TIME) => Overlap::TimeOver,
    }
}
