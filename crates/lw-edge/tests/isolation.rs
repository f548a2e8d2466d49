//! Guards against attempts that use what a workspace has cached before it became isolated: the requests were accepted before
//! the configuration changed, and reach an engine afterwards.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use common::{CallerRequest, Simulation, config, ms, request};
use lw_catalog::Catalog;
use lw_place::{CacheScope, salt};
use lw_standin::hosted::{
    caller::{Caller, KEY, OTHER_KEY},
    upstream::{Behaviour, MODEL, ReceivedRequest, Upstream},
};
use tokio::time::Instant;

/// Time from the selection of an engine to the arrival of the request there, on a busy machine.
const ARRIVAL_TIME: Duration = Duration::from_millis(250);

/// Starts with no isolated workspace.
async fn start() -> Simulation {
    let simulation = Simulation::start().await;
    set_isolated(&simulation, 4, [false, false]).await;
    simulation
}

/// Sets which of the two workspaces are isolated, and waits until that is in force.
async fn set_isolated(simulation: &Simulation, version: u64, are_isolated: [bool; 2]) {
    let mut config = config(version);
    for (index, is_isolated) in are_isolated.into_iter().enumerate() {
        config["Tenants"][index]["Isolated"] = is_isolated.into();
    }
    simulation.store.put("op/config", &config);
    let is_in_force = async |simulation: &Simulation| catalog(simulation).version == version;
    simulation.wait_until("the configuration is in force", is_in_force).await;
}

fn catalog(simulation: &Simulation) -> Arc<Catalog> {
    let vm = simulation.vm.as_ref().expect("the VM runs");
    vm.edge.store_view().catalog().expect("a configuration")
}

/// Returns the salts of the attempts of a request, in the order of their arrival.
fn salts(simulation: &Simulation, id: &str) -> Vec<String> {
    let mut received = simulation.received(id);
    received.sort_by_key(|got| got.at);
    received.iter().map(salt_of).collect()
}

fn salt_of(got: &ReceivedRequest) -> String {
    got.request.header("x-cache-salt").expect("a salt").to_owned()
}

/// Returns the salt of new requests of the workspace with this key.
async fn salt_in_force(simulation: &Simulation, key: &'static str) -> String {
    let sent = CallerRequest { key, ..request("new", "/long/x") };
    simulation.send(&sent).await.expect("an answer");
    salt_of(simulation.received("new").last().expect("it arrived"))
}

/// Sends a request whose first attempt ends this way, isolates the other workspace meanwhile, and checks the second attempt.
async fn check_second_attempt(id: &str, first: Behaviour) {
    let simulation = start().await;
    simulation.faults.push(first);
    let sent = request(id, "/long/x");
    let isolate = async {
        tokio::time::sleep(ms(100)).await;
        set_isolated(&simulation, 5, [false, true]).await;
    };
    let (reply, ()) = tokio::join!(simulation.send(&sent), isolate);
    assert!(reply.is_some_and(|reply| reply.is_complete), "{id}");
    let salts = salts(&simulation, id);
    assert_eq!(
        salts.len(),
        2,
        "{id}: the first attempt was before the change, the second after it"
    );
    assert_ne!(salts[0], salts[1], "{id}: the second attempt shares what was cached before");
    assert_eq!(salts[1], salt_in_force(&simulation, KEY).await, "{id}");
}

/// Guards against a stream that is resumed under the salt of before.
#[tokio::test]
async fn a_stream_that_is_resumed_after_a_workspace_became_isolated_shares_nothing_with_it() {
    check_second_attempt("resumed", Behaviour::ResetAfter(2, ms(500))).await;
}

/// Guards against a request that an engine turned away, not run, and that goes to another one under the salt of before.
#[tokio::test]
async fn a_rejected_request_that_is_sent_again_after_a_workspace_became_isolated_shares_nothing() {
    check_second_attempt("rejected", Behaviour::RejectAfter(ms(500))).await;
}

/// Guards against a request whose body arrives after the change and that is sent under the salt of its head.
#[tokio::test]
async fn a_request_whose_body_is_late_is_sent_under_the_isolation_in_force() {
    let simulation = start().await;
    let bytes = request("late-body", "/long/x").bytes();
    let mut caller = Caller::connect(simulation.settings.callers).await.unwrap();
    caller.send_bytes(&bytes[..bytes.len() - 1]).await;
    tokio::time::sleep(ms(100)).await;
    set_isolated(&simulation, 5, [false, true]).await;
    caller.send_bytes(&bytes[bytes.len() - 1..]).await;
    assert_eq!(caller.read_answer().await.expect("an answer").status, 200);
    let got = salt_of(&simulation.received("late-body")[0]);
    assert_eq!(got, salt_in_force(&simulation, KEY).await);
}

/// Guards against a request that waits for the turn of a limited engine and is sent under the salt of before.
#[tokio::test]
async fn a_request_that_waits_for_its_turn_is_sent_under_the_isolation_in_force() {
    let simulation = start().await;
    simulation.engines.iter().for_each(|engine| engine.set_limit(Some("8")));
    let requests: Vec<_> = (0..60).map(|n| request(&format!("turn-{n}"), "/long/x")).collect();
    let replies = (0..).zip(&requests).map(async |(n, request)| {
        tokio::time::sleep(ms(n * 20)).await;
        simulation.send(request).await
    });
    let isolate = async {
        tokio::time::sleep(ms(1_200)).await;
        set_isolated(&simulation, 5, [false, true]).await;
        Instant::now()
    };
    let (_, in_force) = tokio::join!(futures::future::join_all(replies), isolate);
    let received = simulation.engines.iter().flat_map(Upstream::received);
    let waited: Vec<_> = received.filter(|got| got.at > in_force + ms(20)).collect();
    assert!(!waited.is_empty(), "no request waited for its turn across the change");
    let shared = CacheScope::Shared { isolated_set: catalog(&simulation).isolated_set() };
    for got in waited {
        assert_eq!(salt_of(&got), salt(MODEL, 1, &shared));
    }
}

/// Guards against a request of a workspace that has become isolated and still shares what others cached.
#[tokio::test]
async fn an_attempt_of_a_workspace_that_becomes_isolated_uses_its_own_salt() {
    let simulation = start().await;
    simulation.faults.push(Behaviour::RejectAfter(ms(500)));
    let sent = CallerRequest { key: OTHER_KEY, ..request("own", "/long/x") };
    let isolate = async {
        tokio::time::sleep(ms(100)).await;
        set_isolated(&simulation, 5, [false, true]).await;
    };
    tokio::join!(simulation.send(&sent), isolate);
    let salts = salts(&simulation, "own");
    let isolated = salt(MODEL, 1, &CacheScope::Isolated("quiz".into()));
    assert_eq!(salts.last(), Some(&isolated), "{salts:?}");
}

fn any_behaviour(rng: &mut fastrand::Rng) -> Behaviour {
    let time = ms(rng.u64(0..1_000));
    match rng.u8(0..8) {
        0..3 => Behaviour::RejectAfter(time),
        3..6 => Behaviour::ResetAfter(rng.u64(0..4), time),
        6 => Behaviour::DelayedEvents(time / 5),
        _ => Behaviour::Normal,
    }
}

/// Returns the salts of a workspace under a configuration. A workspace may go on as isolated in a request that it sent as such.
fn allowed_salts(catalog: &Catalog, workspace: &str) -> Vec<String> {
    let isolated = salt(MODEL, 1, &CacheScope::Isolated(workspace.into()));
    if catalog.is_isolated(workspace) {
        return vec![isolated];
    }
    let shared = CacheScope::Shared { isolated_set: catalog.isolated_set() };
    vec![isolated, salt(MODEL, 1, &shared)]
}

/// Guards against any wait, second attempt or resumption that carries a salt along. The workspaces become isolated and open
/// again in a random series, while requests wait, are rejected, break off and are resumed, with some seeds at engines that name
/// a limit. `LW_SEED` selects the series.
#[tokio::test]
async fn no_attempt_is_sent_under_the_isolation_of_a_former_configuration() {
    const CALLERS: u64 = 24;
    let seed = std::env::var("LW_SEED").map_or(1, |seed| seed.parse().expect("a number"));
    let mut rng = fastrand::Rng::with_seed(seed);
    let simulation = start().await;
    if rng.bool() {
        simulation.engines.iter().for_each(|engine| engine.set_limit(Some("30")));
    }
    // When each configuration came into force at the latest.
    let mut in_force = vec![(Instant::now(), catalog(&simulation))];
    let is_over = AtomicBool::new(false);
    let caller = async |number: u64, mut rng: fastrand::Rng| {
        for n in 0_u64.. {
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            simulation.faults.push(any_behaviour(&mut rng));
            let key = if rng.bool() { KEY } else { OTHER_KEY };
            let sent = CallerRequest { key, ..request(&format!("c{number}-{n}"), "/long/x") };
            simulation.send(&sent).await;
        }
    };
    let changes = async {
        for version in 5..20 {
            tokio::time::sleep(ms(rng.u64(100..400))).await;
            set_isolated(&simulation, version, [rng.bool(), rng.bool()]).await;
            in_force.push((Instant::now(), catalog(&simulation)));
        }
        is_over.store(true, Ordering::Relaxed);
    };
    let callers = (0..CALLERS).map(|n| caller(n, fastrand::Rng::with_seed(seed ^ (n + 1))));
    tokio::join!(futures::future::join_all(callers), changes);
    let received = simulation.engines.iter().flat_map(Upstream::received);
    let mut checked = 0;
    for got in received.filter(|got| got.at > in_force[0].0) {
        let workspace = got.request.header("x-tenant").expect("a workspace");
        // The configurations that were in force, or about to be, when the engine was selected.
        let selected_since = got.at - ARRIVAL_TIME;
        let first = in_force.iter().rposition(|(at, _)| *at <= selected_since).unwrap_or(0);
        let later = in_force.iter().skip(first);
        let allowed: Vec<_> = later
            .take_while(|(at, _)| *at <= got.at + ARRIVAL_TIME)
            .flat_map(|(_, catalog)| allowed_salts(catalog, workspace))
            .collect();
        let used = salt_of(&got);
        assert!(
            allowed.contains(&used),
            "seed {seed}: {workspace} {used} not in {allowed:?}: {got:?}"
        );
        checked += 1;
    }
    assert!(checked > 100, "seed {seed}: only {checked} attempts");
}
