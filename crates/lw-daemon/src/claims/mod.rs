//! Runs the at-most-once claims: performs the actions of `lw_claim` and returns their results to it.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use lw_claim::{
    bucket,
    executor::{self, CallDecision, Executor},
    message::{Reply, Request},
    options::Options,
    owner::{self, EventTime, Owner, StoreResult},
    record::{BodyDigest, ClaimKey, Outcome},
};
use lw_protocol::platform::PutRequest;
use lw_transport::store;
use lw_types::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{members, tables::Tables};

/// Path of claim messages at the peer interface.
pub const PEER_PATH: &str = "/peer/claim";
/// Resolution of the timeouts of claims.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// A message about claims between two VMs. Both kinds are separate calls: a reply is not the response to a request.
#[derive(Debug, Serialize, Deserialize)]
pub enum Message {
    /// Sent to the owner of a bucket.
    Request(Request),
    /// Sent to the executing VM.
    Reply(Reply),
}

/// The claims of this VM and the calls that wait for them.
#[derive(Debug)]
pub struct Claims {
    executor: Executor,
    owner: Owner,
    waiting_calls: HashMap<u64, oneshot::Sender<CallDecision>>,
}

impl Claims {
    /// Starts without claims.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation, retention: Duration) -> Self {
        let options = Options { retention, ..Options::default() };
        Self {
            executor: Executor::new(options.clone(), vm, incarnation),
            owner: Owner::new(options),
            waiting_calls: HashMap::new(),
        }
    }

    /// Number of claims whose outcome is not recorded yet.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.executor.pending_count()
    }
}

/// A claim that was requested. Dropping it before [`Claim::try_start`] cancels it.
pub struct Claim {
    tables: Arc<Tables>,
    seq: u64,
    is_finished: bool,
}

impl Claim {
    /// Starts the call and returns whether it may be sent. To be called directly before the call is sent.
    #[must_use]
    pub fn try_start(&self) -> bool {
        self.tables.claims().executor.try_start(self.tables.timer.now(), self.seq)
    }

    /// Records how the call ended.
    pub fn finish(mut self, outcome: Outcome) {
        self.is_finished = true;
        let now = self.tables.timer.now();
        let actions = self.tables.claims().executor.finish(now, self.seq, outcome);
        perform_executor_actions(&self.tables, actions);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.is_finished {
            let now = self.tables.timer.now();
            let actions = self.tables.claims().executor.cancel(now, self.seq);
            perform_executor_actions(&self.tables, actions);
        }
    }
}

/// Requests the claim of a call and waits for the decision, which arrives within the claim timeout.
pub async fn request_claim(
    tables: &Arc<Tables>,
    key: ClaimKey,
    digest: BodyDigest,
) -> (Claim, CallDecision) {
    let (tx, rx) = oneshot::channel();
    let (seq, actions) = {
        let mut claims = tables.claims();
        let (seq, actions) = claims.executor.request_claim(tables.timer.now(), key, digest);
        claims.waiting_calls.insert(seq, tx);
        (seq, actions)
    };
    let claim = Claim { tables: Arc::clone(tables), seq, is_finished: false };
    perform_executor_actions(tables, actions);
    let decision = rx.await.unwrap_or(CallDecision::NotRun);
    (claim, decision)
}

/// Ticks the claims and performs their actions until the process ends.
pub async fn run(tables: Arc<Tables>) {
    let mut ticks = tables.timer.subscribe(TICK_INTERVAL);
    loop {
        let now = ticks.tick().await;
        let members = members::incarnations(&tables);
        let (executor, owner) = {
            let mut claims = tables.claims();
            claims.executor.set_members(members);
            (claims.executor.tick(now), claims.owner.tick(event_time(&tables)))
        };
        perform_executor_actions(&tables, executor);
        perform_owner_actions(&tables, owner);
    }
}

/// Handles a message of a peer.
pub fn on_message(tables: &Arc<Tables>, message: Message) {
    match message {
        Message::Request(request) => {
            let actions = tables.claims().owner.on_request(event_time(tables), request);
            perform_owner_actions(tables, actions);
        }
        Message::Reply(reply) => {
            let actions = tables.claims().executor.on_reply(tables.timer.now(), reply);
            perform_executor_actions(tables, actions);
        }
    }
}

fn event_time(tables: &Tables) -> EventTime {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    EventTime { now: tables.timer.now(), unix }
}

fn perform_executor_actions(tables: &Arc<Tables>, actions: Vec<executor::Action>) {
    for action in actions {
        match action {
            executor::Action::Send(vm, request) => {
                send_message(tables, &vm, Message::Request(request));
            }
            executor::Action::Notify(seq, decision) => {
                let waiting = tables.claims().waiting_calls.remove(&seq);
                if let Some(tx) = waiting {
                    // The caller may have disconnected; dropping its claim then cancels it.
                    let _ = tx.send(decision);
                }
            }
        }
    }
}

fn perform_owner_actions(tables: &Arc<Tables>, actions: Vec<owner::Action>) {
    for action in actions {
        match action {
            owner::Action::Reply(reply) => {
                let vm = reply.attempt.vm.clone();
                send_message(tables, &vm, Message::Reply(reply));
            }
            owner::Action::Get { op, bucket } => {
                let tables = Arc::clone(tables);
                tokio::spawn(async move {
                    let result = read_bucket(&tables, bucket).await;
                    on_store_result(&tables, op, result);
                });
            }
            owner::Action::Put { op, bucket, prev, value } => {
                let tables = Arc::clone(tables);
                tokio::spawn(async move {
                    let result = write_bucket(&tables, bucket, prev, &value).await;
                    on_store_result(&tables, op, result);
                });
            }
        }
    }
}

fn on_store_result(tables: &Arc<Tables>, op: u64, result: StoreResult) {
    let actions = tables.claims().owner.on_store_result(event_time(tables), op, result);
    perform_owner_actions(tables, actions);
}

async fn read_bucket(tables: &Tables, bucket: u32) -> StoreResult {
    match tables.store.get(&bucket::store_key(bucket)).await {
        Ok(found) => match STANDARD.decode(&found.value) {
            Ok(bytes) => StoreResult::Value(found.revision, Some(bytes)),
            Err(e) => {
                log::error!("claim: unreadable value of bucket {bucket}: {e}");
                StoreResult::Failed
            }
        },
        Err(store::Error::Absent) => StoreResult::Value(0, None),
        Err(store::Error::Unavailable(_)) => StoreResult::Failed,
        Err(_) => StoreResult::Lost,
    }
}

async fn write_bucket(tables: &Tables, bucket: u32, prev: Revision, value: &[u8]) -> StoreResult {
    let put = PutRequest { value: STANDARD.encode(value), prev: Some(prev), lease: None };
    match tables.store.put(&bucket::store_key(bucket), &put).await {
        Ok(answer) => StoreResult::Written(answer.revision),
        Err(store::Error::Conflict { .. }) => StoreResult::Conflict,
        Err(store::Error::Unavailable(_)) => StoreResult::Failed,
        Err(_) => StoreResult::Lost,
    }
}

/// Sends a message to a VM. The executor sends requests again if messages are lost.
fn send_message(tables: &Arc<Tables>, vm: &str, message: Message) {
    if vm == tables.settings.vm {
        on_message(tables, message);
        return;
    }
    let Some(to) = tables.members().member.peer(vm).map(|peer| peer.address) else { return };
    let tables = Arc::clone(tables);
    tokio::spawn(async move {
        let call = members::new_peer_call(&tables, to, PEER_PATH);
        let sent: Result<(), _> = tables.clients.msgpack(call, &message).await;
        if let Err(e) = sent {
            log::debug!("claim: message to {to} failed: {e}");
        }
    });
}

/// Returns the outcome of a call that the service has answered.
#[must_use]
pub fn done_outcome(status: u16, body: &Bytes) -> Outcome {
    Outcome::Done { status, body: body.to_vec() }
}
