//! Guards against engines that are ordered to load the models of another role, and against orders to leaving engines.

use lw_config::document::Document;
use lw_order::plan::Plan;
use serde_json::json;

#[test]
fn an_engine_loads_the_models_of_its_role_unless_it_is_leaving() {
    let engine = |role: &str, leaving: bool| {
        json!({ "role": role, "address": "10.0.0.1:80",
            "failure_domain": "a", "leaving": leaving })
    };
    let document = Document::from_value(json!({
        "version": 7,
        "models": {
            "m": { "version": "3", "role": "assistant", "min_engines": 2, "adapters": { "x": "1" } },
            "n": { "version": "5", "role": "reader", "min_engines": 1 },
        },
        "upstreams": {
            "e1": engine("assistant", false),
            "e2": engine("reader", false),
            "e3": engine("assistant", true),
        },
    }));
    let plan = Plan::new(&document.unwrap());
    assert_eq!(plan.version, 7);
    assert_eq!(plan.targets.keys().collect::<Vec<_>>(), ["e1", "e2"]);
    assert_eq!(plan.targets["e1"].models["m"].adapters["x"], "1");
    assert!(!plan.targets["e2"].models.contains_key("m"));
    assert_eq!(plan.minimums["assistant"], 2);
}
