//! Stand-ins for plain services and model engines.

use std::{
    collections::VecDeque,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde_json::{Value, json};

use super::http::{Request, Server, Step, answer, chunk, chunked_head, head, serve};
use super::limit::LimitHistory;
use super::raw::RawAnswer;

/// How an upstream handles a request.
#[derive(Debug, Clone, Default)]
pub enum Behaviour {
    /// It answers with the body `ok`, or with a stream of five events.
    #[default]
    Normal,
    /// It answers after a delay.
    Slow(Duration),
    /// It states that it did not run the request.
    Reject,
    /// It states that it did not run the request, with a `retry-after` of this many seconds.
    RejectFor(u32),
    /// It states after a delay that it did not run the request.
    RejectAfter(Duration),
    /// It answers and states that it is leaving.
    Leaving,
    /// It sends this head, then repeats these bytes until the caller closes the connection.
    Endless(&'static str, &'static [u8]),
    /// It runs the request and answers with this status.
    Status(u16),
    /// It does not answer.
    NoAnswer,
    /// It resets the connection without an answer.
    Reset,
    /// It crashes, and is down for this time.
    Crash(Duration),
    /// It answers nothing, calls for its events included, for the first time, then crashes and is down for the second.
    HangThenCrash(Duration, Duration),
    /// It sends this many events and the start of another, or of the last one, then resets the connection.
    ResetInEvent(u64),
    /// It sends this many events, resets the connection after this time, and so breaks off the stream.
    ResetAfter(u64, Duration),
    /// It sends events with a pause before each.
    DelayedEvents(Duration),
    /// It starts a stream and sends one byte after each pause, but never completes an event.
    SlowBytes(Duration),
    /// It sends this many bytes of its answer, head included, and closes the connection.
    CloseAfterBytes(usize),
    /// It runs the request and answers, but sends a refusal first, as a faulty engine repeats an earlier one on a kept
    /// connection.
    RefuseAfterRun(RefusalId),
    /// It answers a resumed stream with status 200 and these bytes, and sends others in full.
    ResumeWith(&'static [u8]),
    /// It sends this many events of a stream without a length, then these bytes, and closes the connection.
    EventsThen(u64, &'static [u8]),
    /// It sends the answer of another request.
    AnswerOfOtherRequest,
    /// It answers without its authentication code.
    Unsigned,
    /// It answers twice.
    AnswerTwice,
    /// It sends an answer without a length and ends it by closing the connection.
    NoLength,
    /// It sends this many bytes of the events of a stream without a length and closes the connection.
    StreamWithoutLength(usize),
    /// It sends an answer without a length and resets the connection instead of closing it.
    NoLengthReset,
    /// It sends a body shorter than its `content-length` and closes the connection.
    Truncated,
    /// It sends bytes that are not an HTTP answer.
    InvalidBytes,
    /// It sends this answer.
    Raw(Box<RawAnswer>),
}

/// The id that a refusal carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalId {
    /// None.
    Missing,
    /// That of an earlier request.
    Earlier,
}

/// A request that an upstream received.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// The request.
    pub request: Request,
    /// Whether the upstream ran it.
    pub is_executed: bool,
    /// How the upstream handled it.
    pub behaviour: Behaviour,
    /// When it was received.
    pub at: tokio::time::Instant,
}

/// An order that an engine accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedOrder {
    /// Name of the VM that issued it.
    pub issuer: String,
    /// Its fencing number.
    pub fence: u64,
    /// Version of the weights.
    pub version: u64,
    /// When it was accepted.
    pub at: tokio::time::Instant,
}

#[derive(Debug, Default)]
struct State {
    queue: BehaviourQueue,
    behaviour: Behaviour,
    /// How it answers calls for its report and its cache events, unless as it should.
    internal_behaviour: Option<Behaviour>,
    received: Vec<ReceivedRequest>,
    /// Version of its software.
    software: String,
    /// Times that it has started again.
    restarts: u64,
    version: u64,
    loading: Option<(u64, tokio::time::Instant)>,
    orders: Vec<AcceptedOrder>,
    load_time: Duration,
    /// Segment of prompts that crashes this engine, and for how long.
    deadly_segment: Option<(&'static str, Duration)>,
    crashes: Vec<tokio::time::Instant>,
    /// `server-limit` of its answers, if it names one.
    limit: Option<String>,
    /// `server-brittle` of its answers, if it states one.
    brittle: Option<String>,
    /// When it began to name each limit, and ceased to.
    limits: Vec<(tokio::time::Instant, Option<f64>)>,
    /// When all calls arrived, those for reports, orders and cache events included.
    calls: Vec<tokio::time::Instant>,
}

/// Behaviours for the next requests, in order, whichever of the upstreams that share this queue receives them.
#[derive(Debug, Clone, Default)]
pub struct BehaviourQueue(Arc<Mutex<VecDeque<Behaviour>>>);

impl BehaviourQueue {
    /// Adds the behaviour for one further request.
    pub fn push(&self, behaviour: Behaviour) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push_back(behaviour);
    }

    /// Removes all queued behaviours.
    pub fn clear(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn pop(&self) -> Option<Behaviour> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).pop_front()
    }
}

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Id of the upstream.
    pub id: String,
    state: Arc<Mutex<State>>,
    server: Server,
}

/// Model that the engines serve.
pub const MODEL: &str = "m";
/// Path of the health check, which callers' requests do not use.
const HEALTH_PATH: &str = "/health";
/// Version of the software of an upstream, unless another is set.
pub const SOFTWARE: &str = "v1";
/// When an upstream started first, in milliseconds since the Unix epoch.
const FIRST_START_MS: u64 = 1_700_000_000_000;
/// Time to load weights, unless another is set.
const LOAD_TIME: Duration = Duration::from_millis(200);
/// Time from the head of an answer to the crash that its request causes.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Bytes of [`Behaviour::SlowBytes`]; any deadline ends the answer before the last one.
const SLOW_BYTES_MAX: usize = 1000;
/// Time from a repeated refusal to the answer that follows it.
const REPEATED_REFUSAL_DELAY: Duration = Duration::from_millis(100);
/// Query parameter of a request with the pause before each event of its stream, in milliseconds.
const EVENT_PAUSE_PARAMETER: &str = "pause-ms";
/// Number of events of one stream.
pub const STREAM_EVENTS: u64 = 5;

impl Upstream {
    /// Starts an upstream with this id that serves version 1 of [`MODEL`].
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(id: &str) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            software: SOFTWARE.into(),
            version: 1,
            load_time: LOAD_TIME,
            ..State::default()
        }));
        let (handler_state, name) = (Arc::clone(&state), id.to_owned());
        let server = serve(move |request| {
            let steps = handle_call(&handler_state, &name, &request);
            async move { steps }
        });
        Ok(Self { id: id.to_owned(), state, server: server.await? })
    }

    /// Returns the address of the upstream.
    #[must_use]
    pub fn addr(&self) -> std::net::SocketAddr {
        self.server.addr
    }

    /// Returns its registry entry.
    #[must_use]
    pub fn registry_entry(&self, service: &str, zone: &str) -> Value {
        let version = self.version();
        let born = lock(&self.state).born();
        json!({
            "Service": service,
            "Address": self.addr().to_string(),
            "Zone": zone,
            "Version": self.software(),
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Stage": "colocated",
            "Models": [{ "Name": MODEL, "Version": version, "Adapters": [] }],
            "Seq": 1,
            "born": born,
        })
    }

    /// Returns the version of its software.
    #[must_use]
    pub fn software(&self) -> String {
        lock(&self.state).software.clone()
    }

    /// Sets the version of its software, which its registry entry names from now on.
    pub fn set_software(&self, version: &str) {
        version.clone_into(&mut lock(&self.state).software);
    }

    /// Lets it start again under its id, as another version of its software.
    pub fn restart_as(&self, version: &str) {
        let mut state = lock(&self.state);
        version.clone_into(&mut state.software);
        state.restarts += 1;
    }

    /// Sets how it handles requests for which the queue has no behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Sets how it answers calls for its report and its cache events.
    pub fn set_internal_behaviour(&self, behaviour: Option<Behaviour>) {
        lock(&self.state).internal_behaviour = behaviour;
    }

    /// Lets it stand still for this time: it keeps its connections, but reads and sends nothing.
    pub fn stall(&self, time: Duration) {
        self.server.stall(time);
    }

    /// Sets the queue of behaviours, which other upstreams can share.
    pub fn set_queue(&self, queue: &BehaviourQueue) {
        lock(&self.state).queue = queue.clone();
    }

    /// Returns the number of bytes that it sent in answers without end.
    #[must_use]
    pub fn endless_bytes(&self) -> u64 {
        self.server.endless_bytes()
    }

    /// Returns the number of requests that it is answering.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.server.open_requests()
    }

    /// Returns the number of callers' requests that it is answering.
    #[must_use]
    pub fn open_caller_requests(&self) -> usize {
        self.server.open_caller_requests()
    }

    /// Returns the callers' requests that it received.
    #[must_use]
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.state).received.clone()
    }

    /// Lets each request whose prompt has this segment, except as its last one, crash the engine for a while as it
    /// begins to answer.
    pub fn set_deadly_segment(&self, segment: &'static str, down: Duration) {
        lock(&self.state).deadly_segment = Some((segment, down));
    }

    /// Returns when it crashed.
    #[must_use]
    pub fn crashes(&self) -> Vec<tokio::time::Instant> {
        lock(&self.state).crashes.clone()
    }

    /// Sets the `server-brittle` that its answers to requests state from now on.
    pub fn set_brittle(&self, rejections_max: Option<u32>) {
        lock(&self.state).brittle = rejections_max.map(|max| max.to_string());
    }

    /// Sets the `server-limit` that its answers to requests name from now on.
    pub fn set_limit(&self, limit: Option<&str>) {
        let mut state = lock(&self.state);
        let number = limit.and_then(|limit| limit.parse().ok());
        state.limits.push((tokio::time::Instant::now(), number));
        state.limit = limit.map(str::to_owned);
    }

    /// Returns the limits that its answers named, by the time since `start`.
    #[must_use]
    pub fn limit_history(&self, start: tokio::time::Instant) -> LimitHistory {
        let mut history = LimitHistory::default();
        for (at, limit) in &lock(&self.state).limits {
            history.set(at.saturating_duration_since(start), *limit);
        }
        history
    }

    /// Returns when calls arrived: requests of callers, and those for reports, orders and cache events.
    #[must_use]
    pub fn calls(&self) -> Vec<tokio::time::Instant> {
        lock(&self.state).calls.clone()
    }

    /// Returns the orders that it accepted.
    #[must_use]
    pub fn accepted_orders(&self) -> Vec<AcceptedOrder> {
        lock(&self.state).orders.clone()
    }

    /// Sets the time that later loads of weights take.
    pub fn set_load_time(&self, time: Duration) {
        lock(&self.state).load_time = time;
    }

    /// Whether it is loading weights.
    #[must_use]
    pub fn is_loading(&self) -> bool {
        let mut state = lock(&self.state);
        state.update_version();
        state.loading.is_some()
    }

    /// Returns the version of the weights that it serves.
    #[must_use]
    pub fn version(&self) -> u64 {
        lock(&self.state).update_version()
    }
}

impl State {
    /// Returns when its process started.
    fn born(&self) -> u64 {
        FIRST_START_MS + 1000 * self.restarts
    }

    /// Completes a load whose time is over, and returns the version that is served.
    fn update_version(&mut self) -> u64 {
        if let Some((version, done)) = self.loading
            && tokio::time::Instant::now() >= done
        {
            self.version = version;
            self.loading = None;
        }
        self.version
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handle_call(state: &Arc<Mutex<State>>, id: &str, request: &Request) -> Vec<Step> {
    lock(state).calls.push(tokio::time::Instant::now());
    let expected = request.header("x-expect-instance");
    if expected.is_some_and(|expected| expected != id) {
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        return answer(421, &[("x-attempt-id", attempt), ("x-instance-id", id)], b"");
    }
    let internal = lock(state).internal_behaviour.clone();
    match (request.method.as_str(), request.path(), internal) {
        ("GET", "/api/report" | "/api/kv-events" | HEALTH_PATH, Some(behaviour)) => {
            answer_steps(&behaviour, &[], request)
        }
        ("GET", HEALTH_PATH, _) => answer(200, &[("x-instance-id", id)], b""),
        ("GET", "/api/report", _) => handle_report(state),
        ("POST", "/api/order", _) => handle_order(state, request),
        ("GET", "/api/kv-events", _) => {
            let body = json!({ "BootEpoch": 1, "NextToken": 1, "Lost": false, "Events": [] });
            // The calls to different engines do not end at the same time.
            let number: u64 = id.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            let mut steps = vec![Step::Wait(Duration::from_millis(200 + number * 6 % 48))];
            steps.extend(answer(200, &[], body.to_string().as_bytes()));
            steps
        }
        _ => handle_request(state, id, request),
    }
}

fn handle_report(state: &Mutex<State>) -> Vec<Step> {
    let mut state = lock(state);
    let version = state.update_version();
    let body = json!({
        "Models": [{ "Name": MODEL, "Version": version, "Adapters": [] }],
        "Busy": state.loading.is_some(),
        "Seq": state.orders.len(),
        "born": state.born(),
    });
    answer(200, &[], body.to_string().as_bytes())
}

fn handle_order(state: &Mutex<State>, request: &Request) -> Vec<Step> {
    let mut state = lock(state);
    state.update_version();
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let number = |name: &str| body[name].as_u64().unwrap_or(0);
    let order = AcceptedOrder {
        issuer: body["Holder"].as_str().unwrap_or_default().to_owned(),
        fence: number("FencingToken"),
        version: number("Version"),
        at: tokio::time::Instant::now(),
    };
    if state.orders.iter().any(|accepted| accepted.fence > order.fence) {
        return answer(412, &[], b"");
    }
    let accepted = u64::try_from(state.orders.len()).unwrap_or(u64::MAX);
    if state.loading.is_some() || number("Expected") != accepted {
        return answer(409, &[], b"");
    }
    let done = tokio::time::Instant::now() + state.load_time;
    state.loading = Some((order.version, done));
    state.orders.push(order);
    answer(202, &[], b"")
}

/// Whether the prompt of a request has this segment, except as its last one.
fn shares_segment(request: &Request, segment: &str) -> bool {
    let segments = request.header("x-prompt-prefix").unwrap_or_default();
    let (shared, _) = segments.rsplit_once(',').unwrap_or_default();
    shared.split(',').any(|entry| entry.split(':').next() == Some(segment))
}

fn handle_request(shared_state: &Arc<Mutex<State>>, id: &str, request: &Request) -> Vec<Step> {
    let mut state = lock(shared_state);
    let version = state.update_version();
    let behaviour = state.queue.pop().unwrap_or_else(|| state.behaviour.clone());
    let expected = request.header("x-expect-version").and_then(|text| text.parse().ok());
    let is_rejected = expected.is_some_and(|expected: u64| expected != version)
        || state.loading.is_some()
        || matches!(
            behaviour,
            Behaviour::Reject | Behaviour::RejectFor(_) | Behaviour::RejectAfter(_)
        );
    let is_raw_rejection = matches!(&behaviour, Behaviour::Raw(raw) if !raw.is_executed());
    state.received.push(ReceivedRequest {
        request: request.clone(),
        is_executed: !is_rejected && !is_raw_rejection,
        behaviour: behaviour.clone(),
        at: tokio::time::Instant::now(),
    });
    let deadly = state.deadly_segment;
    let (limit, brittle) = (state.limit.clone(), state.brittle.clone());
    if let Behaviour::HangThenCrash(hang, down) = behaviour {
        state.internal_behaviour = Some(Behaviour::NoAnswer);
        let hung = Arc::clone(shared_state);
        tokio::spawn(async move {
            tokio::time::sleep(hang + down).await;
            lock(&hung).internal_behaviour = None;
        });
    }
    drop(state);
    let limit = limit.iter().map(|limit| ("server-limit", limit.as_str()));
    let limit = limit.chain(brittle.iter().map(|max| ("server-brittle", max.as_str())));
    let attempt = request.header("x-attempt-id").unwrap_or_default();
    if is_rejected {
        let mut headers = vec![("x-attempt-id", attempt), ("x-not-executed", "1")];
        headers.extend(limit);
        let seconds = match behaviour {
            Behaviour::RejectFor(seconds) => Some(seconds.to_string()),
            _ => None,
        };
        headers.extend(seconds.iter().map(|seconds| ("retry-after", seconds.as_str())));
        let mut steps = Vec::new();
        if let Behaviour::RejectAfter(time) = behaviour {
            steps.push(Step::Wait(time));
        }
        steps.extend(answer(503, &headers, b""));
        return steps;
    }
    let version = version.to_string();
    let mut headers =
        vec![("x-attempt-id", attempt), ("x-response-seal", id), ("x-weight-versions", &version)];
    headers.extend(limit);
    if let Some((_, down)) = deadly.filter(|(segment, _)| shares_segment(request, segment)) {
        lock(shared_state).crashes.push(tokio::time::Instant::now());
        return vec![chunked_head(200, &headers), Step::Wait(CRASH_DELAY), Step::Crash(down)];
    }
    answer_steps(&behaviour, &headers, request)
}

fn answer_steps(behaviour: &Behaviour, headers: &[(&str, &str)], request: &Request) -> Vec<Step> {
    let normal = || normal_answer(headers, request);
    match behaviour {
        Behaviour::Normal
        | Behaviour::Reject
        | Behaviour::RejectFor(_)
        | Behaviour::RejectAfter(_) => normal(),
        Behaviour::Leaving => {
            normal_answer(&[headers, &[("server-leaving", "1")]].concat(), request)
        }
        Behaviour::Endless(head, bytes) => {
            let headers = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
            let head = head.replace("HEADERS\r\n", &headers.collect::<String>());
            vec![Step::Send(head.into_bytes()), Step::Repeat(bytes)]
        }
        Behaviour::Slow(time) => [vec![Step::Wait(*time)], normal()].concat(),
        Behaviour::Status(status) => answer(*status, headers, b"failed"),
        Behaviour::NoAnswer => vec![Step::Wait(Duration::from_secs(60))],
        Behaviour::Reset => vec![Step::Reset],
        Behaviour::Crash(down) => vec![Step::Crash(*down)],
        Behaviour::HangThenCrash(hang, down) => vec![Step::Wait(*hang), Step::Crash(*down)],
        Behaviour::ResetInEvent(events) => reset_in_event(*events, headers, request),
        Behaviour::ResetAfter(events, time) => {
            let first = first_event(request);
            let events = (first..first + events).map(|id| chunk(&event(id)));
            let end = [Step::Wait(*time), Step::Reset];
            [chunked_head(200, headers)].into_iter().chain(events).chain(end).collect()
        }
        Behaviour::DelayedEvents(pause) => stream(headers, request, *pause),
        Behaviour::SlowBytes(pause) => {
            let bytes = (0..SLOW_BYTES_MAX).flat_map(|_| [Step::Wait(*pause), chunk(b"a")]);
            [chunked_head(200, headers)].into_iter().chain(bytes).collect()
        }
        Behaviour::CloseAfterBytes(bytes) => {
            let mut sent: Vec<u8> = Vec::new();
            for step in normal() {
                if let Step::Send(bytes) = step {
                    sent.extend(bytes);
                }
            }
            sent.truncate(*bytes);
            vec![Step::Send(sent), Step::Close]
        }
        Behaviour::AnswerOfOtherRequest => {
            let mut other = vec![("x-attempt-id", "another"), ("x-response-seal", "another")];
            other.extend(headers.iter().filter(|(name, _)| *name == "server-limit"));
            answer(200, &other, b"another")
        }
        Behaviour::Unsigned => {
            let unsigned = headers.iter().filter(|(name, _)| *name != "x-response-seal");
            normal_answer(&unsigned.copied().collect::<Vec<_>>(), request)
        }
        Behaviour::RefuseAfterRun(id) => {
            let mut refusal = vec![("x-not-executed", "1")];
            refusal.extend((*id == RefusalId::Earlier).then_some(("x-attempt-id", "earlier")));
            let delay = vec![Step::Wait(REPEATED_REFUSAL_DELAY)];
            [answer(503, &refusal, b""), delay, normal()].concat()
        }
        Behaviour::ResumeWith(bytes) => match request.header("last-event-id") {
            Some(_) => answer(200, headers, bytes),
            None => normal(),
        },
        Behaviour::EventsThen(events, bytes) => {
            let first = first_event(request);
            let events: Vec<u8> = (first..first + events).flat_map(event).collect();
            let head = head(200, "connection: close", headers);
            vec![Step::Send([&head, &events, *bytes].concat()), Step::Close]
        }
        Behaviour::AnswerTwice => [normal(), normal()].concat(),
        Behaviour::NoLength => answer_without_length(headers, Step::Close),
        Behaviour::StreamWithoutLength(bytes) => {
            let mut events: Vec<u8> =
                (first_event(request)..=STREAM_EVENTS).flat_map(event).collect();
            events.truncate(*bytes);
            let head = head(200, "connection: close", headers);
            vec![Step::Send([head, events].concat()), Step::Close]
        }
        Behaviour::NoLengthReset => [
            answer_without_length(headers, Step::Wait(Duration::from_millis(30))),
            vec![Step::Reset],
        ]
        .concat(),
        Behaviour::Truncated => {
            let mut steps = answer(200, headers, b"whole answer");
            if let Some(Step::Send(bytes)) = steps.first_mut() {
                bytes.truncate(bytes.len() - 3);
            }
            steps.push(Step::Close);
            steps
        }
        Behaviour::Raw(raw) => raw.steps(request),
        Behaviour::InvalidBytes => vec![Step::Send(b"\x00\x01 no answer\r\n\r\n".to_vec())],
    }
}

pub(super) fn is_stream(request: &Request) -> bool {
    request.header("x-model").is_some()
}

fn normal_answer(headers: &[(&str, &str)], request: &Request) -> Vec<Step> {
    if is_stream(request) {
        let pause_ms = request.query(EVENT_PAUSE_PARAMETER).and_then(|text| text.parse().ok());
        return stream(headers, request, Duration::from_millis(pause_ms.unwrap_or(0)));
    }
    answer(200, headers, b"ok")
}

fn answer_without_length(headers: &[(&str, &str)], last: Step) -> Vec<Step> {
    let head = head(200, "connection: close", headers);
    vec![Step::Send([&head[..], b"ok"].concat()), last]
}

/// Returns the event of a stream with this id.
#[must_use]
pub fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: piece {id}\n\n").into_bytes()
}

pub(super) fn first_event(request: &Request) -> u64 {
    request.header("last-event-id").and_then(|text| text.parse::<u64>().ok()).map_or(1, |id| id + 1)
}

fn stream(headers: &[(&str, &str)], request: &Request, pause: Duration) -> Vec<Step> {
    let mut steps = vec![chunked_head(200, headers)];
    for id in first_event(request)..=STREAM_EVENTS {
        steps.push(Step::Wait(pause));
        steps.push(chunk(&event(id)));
    }
    steps.push(chunk(b""));
    steps
}

fn reset_in_event(events: u64, headers: &[(&str, &str)], request: &Request) -> Vec<Step> {
    let first = first_event(request);
    let broken = (first + events).min(STREAM_EVENTS);
    let mut steps = vec![chunked_head(200, headers)];
    steps.extend((first..broken).map(|id| chunk(&event(id))));
    if first <= broken {
        steps.push(chunk(&event(broken)[..7]));
    }
    steps.push(Step::Wait(Duration::from_millis(30)));
    steps.push(Step::Reset);
    steps
}
