//! Tests the engine's interface.

mod support;

use std::{collections::BTreeMap, time::Duration};

use lw_protocol::upstream::{
    Adapter, CacheChange, CacheEvents, EngineOrder, EngineRefusal, GenerateRequest, KvBlocks,
    KvExport, LoadReport, OrderRequest, RefusalReason, Resume,
};
use lw_standin::{
    engine::{Faults, LogEntry, Options, answer_text, start},
    serve::Handle,
};
use support::{client, complete, generate, get, open, post, request, set_faults, wait_until};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Returns options with short times.
fn quick() -> Options {
    Options {
        incarnation: Some(7),
        token_time: MS(1),
        prefill_per_block: MS(1),
        load_time: MS(1),
        ..Options::default()
    }
}

fn engine(options: Options) -> Handle {
    start(options).expect("engine")
}

fn load_order(fence: u64, version: &str) -> OrderRequest {
    let order = EngineOrder::LoadModel { model: "m".to_owned(), version: version.to_owned() };
    OrderRequest { fence, order }
}

async fn log(engine: &Handle) -> Vec<LogEntry> {
    get(&client(), engine.address(), "/log").await
}

async fn load(engine: &Handle) -> LoadReport {
    get(&client(), engine.address(), "/load").await
}

/// Guards against answers that differ between engines, which would make a resumed answer wrong.
#[tokio::test]
async fn answer_depends_on_prompt_and_position_only() {
    let (a, b) = (engine(quick()), engine(Options { incarnation: Some(9), ..quick() }));
    let mut req = request("r1");
    let (text, _) = complete(&client(), a.address(), &req).await;
    assert_eq!(text, answer_text(&req.prompt, 4));
    req.resume = Some(Resume { from: 3, text: answer_text(&req.prompt, 3) });
    let (remaining, _) = complete(&client(), b.address(), &req).await;
    assert_eq!(answer_text(&req.prompt, 3) + &remaining, text);
    assert_eq!(log(&b).await[0].tokens, 1);
}

/// Guards against a resume that continues the text of another answer.
#[tokio::test]
async fn resume_of_another_text_fails() {
    let engine = engine(quick());
    let resume = Some(Resume { from: 2, text: "something else".to_owned() });
    let req = GenerateRequest { resume, ..request("r1") };
    let (events, _) = generate(&client(), engine.address(), &req).await;
    assert!(format!("{events:?}").starts_with("[Error"), "{events:?}");
    assert!(!log(&engine).await[0].began);
}

/// Guards against refusals after a request has started to run, and against a run by the wrong incarnation or weights.
#[tokio::test]
async fn refused_requests_do_not_run() {
    type Change = fn(&mut GenerateRequest);
    let adapter = |version: &str| Adapter { name: "a".to_owned(), version: version.to_owned() };
    let adapters = BTreeMap::from([("a".to_owned(), "1".to_owned())]);
    let refuse = |reason| Faults { refuse: Some(reason), ..Faults::default() };
    let leaving = Faults { leaving: true, ..Faults::default() };
    let none = Faults::default();
    let cases: [(&str, Faults, usize, Change, RefusalReason); 7] = [
        (
            "old incarnation",
            none.clone(),
            64,
            |r| r.incarnation = Some(6),
            RefusalReason::Incarnation,
        ),
        ("other version", none.clone(), 64, |r| r.version = "2".into(), RefusalReason::Version),
        ("other model", none.clone(), 64, |r| r.model = "n".into(), RefusalReason::Version),
        ("leaving", leaving, 64, |_| {}, RefusalReason::Leaving),
        ("full queue", none.clone(), 0, |_| {}, RefusalReason::Busy),
        ("by switch", refuse(RefusalReason::Busy), 64, |_| {}, RefusalReason::Busy),
        ("other adapter", none, 64, |_| {}, RefusalReason::Version),
    ];
    for (name, faults, queue_max, change, reason) in cases {
        let engine = engine(Options { faults, queue_max, adapters: adapters.clone(), ..quick() });
        let mut req = request("r1");
        req.adapter = Some(adapter(if name == "other adapter" { "2" } else { "1" }));
        change(&mut req);
        let answer = post(&client(), engine.address(), "/generate", &req, 409).await;
        let refusal: EngineRefusal = answer.json().expect(name);
        assert_eq!(refusal, EngineRefusal { reason, incarnation: 7 }, "{name}");
        let log = log(&engine).await;
        assert!(log.iter().all(|entry| !entry.began), "{name}: {log:?}");
    }
}

/// Guards against cached blocks that are shared between scopes or versions, and against a cache above its capacity.
#[tokio::test]
async fn prefix_cache_is_keyed_and_bounded() {
    let engine = engine(Options { cache_blocks: 3, ..quick() });
    let long = |scope: &str, version: &str, blocks: &[u64]| {
        let mut req = request("r");
        (req.scope, req.version) = (scope.to_owned(), version.to_owned());
        (req.prompt, req.blocks) = ("p".repeat(3 * 4096), blocks.to_vec());
        req
    };
    let cases = [
        ("first", "s", "1", &[1, 2][..], 0),
        ("same prefix", "s", "1", &[1, 2, 3], 2048),
        ("prefix breaks at the second block", "s", "1", &[1, 9], 1024),
        ("the end of the longest prefix was evicted", "s", "1", &[1, 2, 3], 2048),
        ("another scope", "t", "1", &[1], 0),
        ("another version", "s", "2", &[1, 2], 0),
    ];
    for (name, scope, version, blocks, cached) in cases {
        if version == "2" {
            post(&client(), engine.address(), "/orders", &load_order(1, "2"), 200).await;
            wait_until("loaded", || async { load(&engine).await.models["m"] == "2" }).await;
        }
        let req = long(scope, version, blocks);
        assert_eq!(complete(&client(), engine.address(), &req).await.1, cached, "{name}");
    }
}

/// Guards against cache events that are omitted without a gap in their numbers, or that don't wake a waiting call.
#[tokio::test]
async fn cache_events_are_numbered_and_awaited() {
    let engine = engine(Options { cache_blocks: 2, events_wait: MS(50), ..quick() });
    let at = engine.address();
    let waiting = tokio::spawn(async move {
        let mut events: CacheEvents = get(&client(), at, "/cache-events?after=0").await;
        while events.events.is_empty() {
            events = get(&client(), at, "/cache-events?after=0").await;
        }
        events
    });
    let mut req = request("r");
    (req.prompt, req.blocks) = ("p".repeat(3 * 4096), vec![1, 2, 3]);
    complete(&client(), at, &req).await;
    assert_eq!(waiting.await.expect("events").events[0].seq, 1);
    let all: CacheEvents = get(&client(), at, "/cache-events?after=0").await;
    let seen: Vec<_> = all.events.iter().map(|e| (e.seq, e.change, e.block)).collect();
    let stored = CacheChange::Stored;
    let expected = [(1, stored, 1), (2, stored, 2), (3, stored, 3), (4, CacheChange::Evicted, 1)];
    assert_eq!((all.incarnation, &seen[..]), (7, &expected[..]));
    let old: CacheEvents = get(&client(), at, "/cache-events?after=99").await;
    assert_eq!((old.incarnation, old.events.len()), (7, 0), "number of an older incarnation");

    set_faults(at, &Faults { event_gap_every: 2, ..Faults::default() }).await;
    req.blocks = vec![4];
    complete(&client(), at, &req).await;
    let gap: CacheEvents = get(&client(), at, "/cache-events?after=4").await;
    assert_eq!(gap.events.iter().map(|e| e.seq).collect::<Vec<_>>(), [5]);
}

/// Guards against more running requests than the limit, and against urgent requests that wait behind others.
#[tokio::test]
async fn running_requests_are_bounded_and_ordered_by_priority() {
    let engine = engine(Options { running_max: 1, ..quick() });
    let at = engine.address();
    let mut first = request("first");
    first.max_tokens = 10_000;
    let running = open(&client(), at, &first).await;
    wait_until("first runs", || async { load(&engine).await.running == 1 }).await;
    let mut waiting = Vec::new();
    for (id, priority) in [("bulk", 2), ("live", 0), ("standard", 1)] {
        let mut req = request(id);
        req.priority = priority;
        req.max_tokens = 1;
        waiting.push(tokio::spawn(async move { complete(&client(), at, &req).await }));
    }
    wait_until("three wait", || async { load(&engine).await.queued == 3 }).await;
    assert_eq!(load(&engine).await.running, 1);
    set_faults(at, &Faults { slow_percent: 20_000, ..Faults::default() }).await;
    drop(running);
    let outcome = |log: &[LogEntry], id: &str| {
        log.iter().find(|e| e.request == id).map(|e| e.outcome.clone()).unwrap_or_default()
    };
    for (next, later) in [("live", "standard"), ("standard", "bulk")] {
        wait_until(next, || async {
            let log = log(&engine).await;
            outcome(&log, next) == "running" && outcome(&log, later) == "waiting"
        })
        .await;
    }
    for task in waiting {
        task.await.expect("answer");
    }
    assert_eq!(outcome(&log(&engine).await, "first"), "cancelled");
    wait_until("idle", || async { load(&engine).await.queued_tokens == 0 }).await;
}

/// Guards against orders of a replaced issuer, and against answers from weights that are being replaced.
#[tokio::test]
async fn orders_are_fenced_where_fencing_is_checked() {
    for (is_fencing_checked, status) in [(true, 409), (false, 200)] {
        let engine = engine(Options { is_fencing_checked, load_time: MS(500), ..quick() });
        let at = engine.address();
        post(&client(), at, "/orders", &load_order(5, "2"), 200).await;
        assert!(load(&engine).await.loading);
        post(&client(), at, "/generate", &request("while loading"), 409).await;
        wait_until("loaded", || async { load(&engine).await.models["m"] == "2" }).await;
        assert!(!load(&engine).await.loading);
        post(&client(), at, "/orders", &load_order(5, "2"), 200).await;
        assert!(!load(&engine).await.loading, "a repeated order does nothing");
        post(&client(), at, "/orders", &load_order(4, "1"), status).await;
        assert_eq!(load(&engine).await.loading, !is_fencing_checked);
        let role = EngineOrder::SetRole { role: "spare".to_owned() };
        post(&client(), at, "/orders", &OrderRequest { fence: 6, order: role }, 200).await;
        assert_eq!(load(&engine).await.role, "spare");
    }
}

/// Guards against imported blocks that serve another scope or other weights.
#[tokio::test]
async fn imported_blocks_keep_scope_and_version() {
    let (a, b) = (engine(quick()), engine(quick()));
    let mut req = request("r");
    (req.prompt, req.blocks) = ("p".repeat(2 * 4096), vec![1, 2]);
    complete(&client(), a.address(), &req).await;
    let export = KvExport { blocks: vec![1, 2, 3] };
    let mut exported: KvBlocks =
        post(&client(), a.address(), "/kv/export", &export, 200).await.json().expect("blocks");
    assert_eq!((exported.scope.as_str(), exported.blocks.as_slice()), ("scope", &[1, 2][..]));
    post(&client(), b.address(), "/kv/import", &exported, 204).await;
    assert_eq!(complete(&client(), b.address(), &req).await.1, 2048);
    req.scope = "other".to_owned();
    assert_eq!(complete(&client(), b.address(), &req).await.1, 0);
    exported.version = "2".to_owned();
    post(&client(), b.address(), "/kv/import", &exported, 409).await;
    post(&client(), b.address(), "/kv/export", &KvExport { blocks: vec![77] }, 404).await;
}

/// Guards against load reports that are more recent than the lag or that state another age.
#[tokio::test]
async fn load_reports_have_the_set_age() {
    let engine = engine(quick());
    let lag = |ms| Faults { load_lag_ms: Some(ms), ..Faults::default() };
    set_faults(engine.address(), &lag(60_000)).await;
    complete(&client(), engine.address(), &request("r")).await;
    let report = load(&engine).await;
    assert_eq!((report.seq, report.age_ms), (0, Some(60_000)));
    set_faults(engine.address(), &lag(20)).await;
    wait_until("the report is old enough", || async { load(&engine).await.seq > 0 }).await;
}
