//! Runs the at-most-once claims: performs the actions of `lw_claim` and reports back.

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
/// Resolution of the claims' time-outs.
const TICK: Duration = Duration::from_millis(25);

/// A message between the claims of two VMs. Neither direction has an answer in the same call.
#[derive(Debug, Serialize, Deserialize)]
pub enum Message {
    /// To the owner of a bucket.
    Request(Request),
    /// To the executing VM.
    Reply(Reply),
}

/// The claims of this VM and the calls that wait for them.
#[derive(Debug)]
pub struct Claims {
    executor: Executor,
    owner: Owner,
    waiting: HashMap<u64, oneshot::Sender<CallDecision>>,
}

impl Claims {
    /// No claims yet.
    #[must_use]
    pub fn new(vm: VmId, incarnation: Incarnation, retention: Duration) -> Self {
        let options = Options { retention, ..Options::default() };
        Self {
            executor: Executor::new(options.clone(), vm, incarnation),
            owner: Owner::new(options),
            waiting: HashMap::new(),
        }
    }

    /// Claims whose outcome is not recorded yet.
    #[must_use]
    pub fn open(&self) -> usize {
        self.executor.pending_count()
    }
}

/// A claim that was asked for. Dropping it before [`Claim::start`] gives it up.
pub struct Claim {
    tables: Arc<Tables>,
    seq: u64,
    is_settled: bool,
}

impl Claim {
    /// Whether the call may be sent now; to be called directly before it is sent.
    #[must_use]
    pub fn start(&self) -> bool {
        self.tables.claims().executor.try_start(self.tables.timer.now(), self.seq)
    }

    /// Records how the call ended.
    pub fn finish(mut self, outcome: Outcome) {
        self.is_settled = true;
        let now = self.tables.timer.now();
        let actions = self.tables.claims().executor.finish(now, self.seq, outcome);
        perform(&self.tables, actions);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !self.is_settled {
            let now = self.tables.timer.now();
            let actions = self.tables.claims().executor.cancel(now, self.seq);
            perform(&self.tables, actions);
        }
    }
}

/// Asks for the claim of a call and waits for the verdict, which comes within the claim time-out.
pub async fn ask(tables: &Arc<Tables>, key: ClaimKey, digest: BodyDigest) -> (Claim, CallDecision) {
    let (tx, rx) = oneshot::channel();
    let (seq, actions) = {
        let mut claims = tables.claims();
        let (seq, actions) = claims.executor.request_claim(tables.timer.now(), key, digest);
        claims.waiting.insert(seq, tx);
        (seq, actions)
    };
    let claim = Claim { tables: Arc::clone(tables), seq, is_settled: false };
    perform(tables, actions);
    let verdict = rx.await.unwrap_or(CallDecision::NotRun);
    (claim, verdict)
}

/// Ticks the claims until the process ends.
pub async fn run(tables: Arc<Tables>) {
    let mut ticks = tables.timer.subscribe(TICK);
    loop {
        let now = ticks.tick().await;
        let members = members::incarnations(&tables);
        let (executor, owner) = {
            let mut claims = tables.claims();
            claims.executor.set_members(members);
            (claims.executor.tick(now), claims.owner.tick(clock(&tables)))
        };
        perform(&tables, executor);
        perform_owner(&tables, owner);
    }
}

/// Takes a message of a peer.
pub fn receive(tables: &Arc<Tables>, message: Message) {
    match message {
        Message::Request(request) => {
            let actions = tables.claims().owner.on_request(clock(tables), request);
            perform_owner(tables, actions);
        }
        Message::Reply(reply) => {
            let actions = tables.claims().executor.on_reply(tables.timer.now(), reply);
            perform(tables, actions);
        }
    }
}

fn clock(tables: &Tables) -> EventTime {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    EventTime { now: tables.timer.now(), unix }
}

fn perform(tables: &Arc<Tables>, actions: Vec<executor::Action>) {
    for action in actions {
        match action {
            executor::Action::Send(vm, request) => {
                deliver(tables, &vm, Message::Request(request));
            }
            executor::Action::Notify(seq, verdict) => {
                let waiting = tables.claims().waiting.remove(&seq);
                if let Some(tx) = waiting {
                    // The caller may have left; the claim is then given up by its drop.
                    let _ = tx.send(verdict);
                }
            }
        }
    }
}

fn perform_owner(tables: &Arc<Tables>, actions: Vec<owner::Action>) {
    for action in actions {
        match action {
            owner::Action::Reply(reply) => {
                let vm = reply.attempt.vm.clone();
                deliver(tables, &vm, Message::Reply(reply));
            }
            owner::Action::Get { op, bucket } => {
                let tables = Arc::clone(tables);
                tokio::spawn(async move {
                    let result = read(&tables, bucket).await;
                    settle(&tables, op, result);
                });
            }
            owner::Action::Put { op, bucket, prev, value } => {
                let tables = Arc::clone(tables);
                tokio::spawn(async move {
                    let result = write(&tables, bucket, prev, &value).await;
                    settle(&tables, op, result);
                });
            }
        }
    }
}

fn settle(tables: &Arc<Tables>, op: u64, result: StoreResult) {
    let actions = tables.claims().owner.on_store_result(clock(tables), op, result);
    perform_owner(tables, actions);
}

async fn read(tables: &Tables, bucket: u32) -> StoreResult {
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

async fn write(tables: &Tables, bucket: u32, prev: Revision, value: &[u8]) -> StoreResult {
    let put = PutRequest { value: STANDARD.encode(value), prev: Some(prev), lease: None };
    match tables.store.put(&bucket::store_key(bucket), &put).await {
        Ok(answer) => StoreResult::Written(answer.revision),
        Err(store::Error::Conflict { .. }) => StoreResult::Conflict,
        Err(store::Error::Unavailable(_)) => StoreResult::Failed,
        Err(_) => StoreResult::Lost,
    }
}

/// Hands a message to a VM. Lost messages are repeated by the claims themselves.
fn deliver(tables: &Arc<Tables>, vm: &str, message: Message) {
    if vm == tables.settings.vm {
        receive(tables, message);
        return;
    }
    let Some(to) = tables.members().member.peer(vm).map(|peer| peer.address) else { return };
    let tables = Arc::clone(tables);
    tokio::spawn(async move {
        let call = members::peer_call(&tables, to, PEER_PATH);
        let sent: Result<(), _> = tables.clients.msgpack(call, &message).await;
        if let Err(e) = sent {
            log::debug!("claim: message to {to} failed: {e}");
        }
    });
}

/// The outcome of a call that the service answered.
#[must_use]
pub fn answered(status: u16, body: &Bytes) -> Outcome {
    Outcome::Done { status, body: body.to_vec() }
}
