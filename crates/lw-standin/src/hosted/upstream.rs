//! Stand-ins of plain services and model engines.

use std::{
    collections::VecDeque,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde_json::{Value, json};

use super::http::{Request, Server, Step, answer, chunk, chunked_head, head, serve};

/// What an upstream does with a request.
#[derive(Debug, Clone, Default)]
pub enum Behaviour {
    /// It answers with the body `ok`, or with a stream of five events.
    #[default]
    Normal,
    /// It answers after a time.
    Slow(Duration),
    /// It states that it did not run the request.
    Reject,
    /// It states that it did not run the request, and wants nothing for this many seconds.
    RejectFor(u32),
    /// It answers and says that it is leaving.
    Leaving,
    /// It sends this head and then these bytes again and again until the caller closes.
    Endless(&'static str, &'static [u8]),
    /// It answers with this status and runs the request.
    Status(u16),
    /// It does not answer.
    NoAnswer,
    /// It resets the connection without an answer.
    Reset,
    /// It sends this many events, then half of one, and resets the connection.
    ResetInEvent(u64),
    /// It sends events with a pause before each.
    DelayedEvents(Duration),
    /// It begins a stream and sends one byte after each pause, without the end of an event.
    SlowBytes(Duration),
    /// It sends this many bytes of its answer and closes the connection.
    CloseAfterBytes(usize),
    /// It sends an answer of another request.
    AnswerOfOtherRequest,
    /// It answers twice.
    AnswerTwice,
    /// It sends an answer without a length and ends it by closing the connection.
    NoLength,
    /// It sends an answer without a length and resets the connection in the middle.
    NoLengthReset,
    /// It sends less than it announced.
    Truncated,
    /// It sends bytes that are no answer.
    InvalidBytes,
}

/// A request that an upstream got.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// The request.
    pub request: Request,
    /// Whether it ran.
    pub is_executed: bool,
    /// When it came.
    pub at: tokio::time::Instant,
}

/// An order that an engine accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedOrder {
    /// The VM that gave it.
    pub issuer: String,
    /// Its fencing number.
    pub fence: u64,
    /// Version of the weights.
    pub version: u64,
    /// When it came.
    pub at: tokio::time::Instant,
}

#[derive(Debug, Default)]
struct State {
    faults: BehaviourQueue,
    always: Behaviour,
    received: Vec<ReceivedRequest>,
    version: u64,
    pending: Option<(u64, tokio::time::Instant)>,
    orders: Vec<AcceptedOrder>,
    load_time: Duration,
}

/// What is done with the next requests, whichever of the upstreams that share this gets them.
#[derive(Debug, Clone, Default)]
pub struct BehaviourQueue(Arc<Mutex<VecDeque<Behaviour>>>);

impl BehaviourQueue {
    /// What is done with one further request.
    pub fn push(&self, behaviour: Behaviour) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push_back(behaviour);
    }

    /// Nothing more is done.
    pub fn clear(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn take(&self) -> Option<Behaviour> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).pop_front()
    }
}

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its id.
    pub id: String,
    state: Arc<Mutex<State>>,
    server: Server,
}

/// Model that the stand-ins of engines serve.
pub const MODEL: &str = "m";
/// Time of a load of weights, unless another is set.
const LOAD_TIME: Duration = Duration::from_millis(200);
/// Bytes of [`Behaviour::SlowBytes`]; far more than any deadline lets through.
const DRIP_MAX: usize = 1000;
/// Events of one stream.
pub const STREAM_EVENTS: u64 = 5;

impl Upstream {
    /// Starts an upstream with this id that serves version 1 of [`MODEL`].
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(id: &str) -> io::Result<Self> {
        let state =
            Arc::new(Mutex::new(State { version: 1, load_time: LOAD_TIME, ..State::default() }));
        let (app, name) = (Arc::clone(&state), id.to_owned());
        let server = serve(move |request| {
            let steps = call(&app, &name, &request);
            async move { steps }
        });
        Ok(Self { id: id.to_owned(), state, server: server.await? })
    }

    /// Its address.
    #[must_use]
    pub fn addr(&self) -> std::net::SocketAddr {
        self.server.addr
    }

    /// Its entry in the registry.
    #[must_use]
    pub fn registry_entry(&self, service: &str, zone: &str) -> Value {
        let version = self.version();
        json!({
            "Service": service,
            "Address": self.addr().to_string(),
            "Zone": zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Stage": "colocated",
            "Models": [{ "Name": MODEL, "Version": version, "Adapters": [] }],
            "Seq": 1,
            "born": 1_700_000_000_000_u64,
        })
    }

    /// What it does with all requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        lock(&self.state).always = behaviour;
    }

    /// Shares what is done with the next requests with other upstreams.
    pub fn set_queue(&self, faults: &BehaviourQueue) {
        lock(&self.state).faults = faults.clone();
    }

    /// Requests that it is answering.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.server.open_requests()
    }

    /// The callers' requests that it got.
    #[must_use]
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.state).received.clone()
    }

    /// The orders that it accepted.
    #[must_use]
    pub fn accepted_orders(&self) -> Vec<AcceptedOrder> {
        lock(&self.state).orders.clone()
    }

    /// Sets the time of its further loads of weights.
    pub fn set_load_time(&self, time: Duration) {
        lock(&self.state).load_time = time;
    }

    /// Whether it is loading weights.
    #[must_use]
    pub fn is_loading(&self) -> bool {
        let mut state = lock(&self.state);
        state.now();
        state.pending.is_some()
    }

    /// Version of the weights that it serves.
    #[must_use]
    pub fn version(&self) -> u64 {
        lock(&self.state).now()
    }
}

impl State {
    /// Ends a load whose time is over, and returns the version that is served.
    fn now(&mut self) -> u64 {
        if let Some((version, done)) = self.pending
            && tokio::time::Instant::now() >= done
        {
            self.version = version;
            self.pending = None;
        }
        self.version
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn call(state: &Mutex<State>, id: &str, request: &Request) -> Vec<Step> {
    let expected = request.header("x-expect-instance");
    if expected.is_some_and(|expected| expected != id) {
        return answer(421, &[("x-instance-id", id)], b"");
    }
    match (request.method.as_str(), request.path()) {
        ("GET", "/api/report") => report(state),
        ("POST", "/api/order") => order(state, request),
        ("GET", "/api/kv-events") => {
            let body = json!({ "BootEpoch": 1, "NextToken": 1, "Lost": false, "Events": [] });
            let mut steps = vec![Step::Wait(Duration::from_millis(200))];
            steps.extend(answer(200, &[], body.to_string().as_bytes()));
            steps
        }
        _ => run(state, id, request),
    }
}

fn report(state: &Mutex<State>) -> Vec<Step> {
    let mut state = lock(state);
    let version = state.now();
    let body = json!({
        "Models": [{ "Name": MODEL, "Version": version, "Adapters": [] }],
        "Busy": state.pending.is_some(),
        "Seq": state.orders.len(),
    });
    answer(200, &[], body.to_string().as_bytes())
}

fn order(state: &Mutex<State>, request: &Request) -> Vec<Step> {
    let mut state = lock(state);
    state.now();
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
    if state.pending.is_some() || number("Expected") != accepted {
        return answer(409, &[], b"");
    }
    let done = tokio::time::Instant::now() + state.load_time;
    state.pending = Some((order.version, done));
    state.orders.push(order);
    answer(202, &[], b"")
}

fn run(state: &Mutex<State>, id: &str, request: &Request) -> Vec<Step> {
    let mut state = lock(state);
    let version = state.now();
    let behaviour = state.faults.take().unwrap_or_else(|| state.always.clone());
    let expected = request.header("x-expect-version").and_then(|text| text.parse().ok());
    let is_rejected = expected.is_some_and(|expected: u64| expected != version)
        || state.pending.is_some()
        || matches!(behaviour, Behaviour::Reject | Behaviour::RejectFor(_));
    state.received.push(ReceivedRequest {
        request: request.clone(),
        is_executed: !is_rejected,
        at: tokio::time::Instant::now(),
    });
    drop(state);
    if is_rejected {
        let not_run = ("x-not-executed", "1");
        if let Behaviour::RejectFor(seconds) = behaviour {
            return answer(503, &[not_run, ("retry-after", &seconds.to_string())], b"");
        }
        return answer(503, &[not_run], b"");
    }
    let attempt = request.header("x-attempt-id").unwrap_or_default();
    let version = version.to_string();
    let headers =
        [("x-attempt-id", attempt), ("x-response-seal", id), ("x-weight-versions", &version)];
    behave(&behaviour, &headers, request)
}

fn behave(behaviour: &Behaviour, headers: &[(&str, &str)], request: &Request) -> Vec<Step> {
    let sound = || whole(headers, request);
    match behaviour {
        Behaviour::Normal | Behaviour::Reject | Behaviour::RejectFor(_) => sound(),
        Behaviour::Leaving => whole(&[headers, &[("server-leaving", "1")]].concat(), request),
        Behaviour::Endless(head, bytes) => {
            let headers = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
            let head = head.replace("HEADERS\r\n", &headers.collect::<String>());
            vec![Step::Send(head.into_bytes()), Step::Repeat(bytes)]
        }
        Behaviour::Slow(time) => [vec![Step::Wait(*time)], sound()].concat(),
        Behaviour::Status(status) => answer(*status, headers, b"failed"),
        Behaviour::NoAnswer => vec![Step::Wait(Duration::from_secs(60))],
        Behaviour::Reset => vec![Step::Reset],
        Behaviour::ResetInEvent(events) => torn(*events, headers, request),
        Behaviour::DelayedEvents(pause) => stream(headers, request, *pause),
        Behaviour::SlowBytes(pause) => {
            let drops = (0..DRIP_MAX).flat_map(|_| [Step::Wait(*pause), chunk(b"a")]);
            [chunked_head(200, headers)].into_iter().chain(drops).collect()
        }
        Behaviour::CloseAfterBytes(bytes) => {
            let mut sent: Vec<u8> = Vec::new();
            for step in sound() {
                if let Step::Send(bytes) = step {
                    sent.extend(bytes);
                }
            }
            sent.truncate(*bytes);
            vec![Step::Send(sent), Step::Close]
        }
        Behaviour::AnswerOfOtherRequest => {
            let other = [("x-attempt-id", "another"), ("x-response-seal", "another")];
            answer(200, &other, b"another")
        }
        Behaviour::AnswerTwice => [sound(), sound()].concat(),
        Behaviour::NoLength => unframed(headers, Step::Close),
        Behaviour::NoLengthReset => {
            [unframed(headers, Step::Wait(Duration::from_millis(30))), vec![Step::Reset]].concat()
        }
        Behaviour::Truncated => {
            let mut steps = answer(200, headers, b"whole answer");
            if let Some(Step::Send(bytes)) = steps.first_mut() {
                bytes.truncate(bytes.len() - 3);
            }
            steps.push(Step::Close);
            steps
        }
        Behaviour::InvalidBytes => vec![Step::Send(b"\x00\x01 no answer\r\n\r\n".to_vec())],
    }
}

fn is_stream(request: &Request) -> bool {
    request.header("x-model").is_some()
}

fn whole(headers: &[(&str, &str)], request: &Request) -> Vec<Step> {
    if is_stream(request) {
        return stream(headers, request, Duration::ZERO);
    }
    answer(200, headers, b"ok")
}

fn unframed(headers: &[(&str, &str)], last: Step) -> Vec<Step> {
    let head = head(200, "connection: close", headers);
    vec![Step::Send([&head[..], b"ok"].concat()), last]
}

/// An event of a stream.
#[must_use]
pub fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: piece {id}\n\n").into_bytes()
}

fn first_event(request: &Request) -> u64 {
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

fn torn(events: u64, headers: &[(&str, &str)], request: &Request) -> Vec<Step> {
    let first = first_event(request);
    let mut steps = vec![chunked_head(200, headers)];
    steps.extend((first..first + events).map(|id| chunk(&event(id))));
    steps.push(chunk(&event(first + events)[..7]));
    steps.push(Step::Wait(Duration::from_millis(30)));
    steps.push(Step::Reset);
    steps
}
