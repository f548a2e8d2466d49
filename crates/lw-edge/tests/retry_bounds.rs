//! Guards against retry budgets that begin anew when their bounds are read again.

mod common;

use common::ms;
use lw_catalog::{VmSettings, settings::Bounds};
use lw_edge::state::Edge;
use lw_limit::retry::{AttemptContext, Kind};
use lw_standin::hosted::store::Store;

/// Spends retries until the budget refuses one, and returns how many it allowed.
fn spend_all(edge: &Edge) -> u64 {
    let now = edge.timer.now();
    let context = AttemptContext::received(now, 0, ms(5_000));
    let spend = || edge.with_retry_budget("llm", |budget| budget.spend(now, Kind::Retry, context));
    (0..1_000).take_while(|_| spend().is_ok()).map(|_| 1).sum()
}

/// Guards against a window with twice the retries that are allowed, since a reload of the settings begins it anew.
#[tokio::test]
async fn retries_before_new_bounds_count_in_the_same_window() {
    let store = Store::start().await.unwrap();
    let settings = common::settings("vm-1", &store, common::bounds());
    let edge = Edge::new(settings.clone(), common::logs());
    let before = spend_all(&edge);
    let bounds = Bounds { retry_ratio: 0.21, ..settings.bounds };
    edge.reconfigure(&VmSettings { bounds, ..settings.clone() }).unwrap();
    let after = spend_all(&edge);
    let allowed = settings.bounds.retry_floor;
    assert!(
        before + after <= allowed,
        "{before} and {after} retries in a window, allowed {allowed}"
    );
}
