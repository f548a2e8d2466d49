//! Guards against configuration documents with references to undefined names, and against patches that are applied
//! incompletely or to another version.

use lw_config::document::{Document, PatchError, UpstreamKind};
use lw_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use serde_json::{Value, json};

const EXAMPLE: &str = include_str!("../../../examples/configuration.yaml");

fn example_patch() -> Value {
    serde_saphyr::from_str(EXAMPLE).expect("the example is YAML")
}

fn example_document() -> Document {
    Document::empty().patched(0, &example_patch()).expect("the example is valid")
}

/// Returns the keys of the errors of a patch against the example.
fn invalid_keys(patch: &Value) -> Vec<String> {
    match example_document().patched(1, patch) {
        Err(PatchError::Invalid(error)) => error.field_errors.into_iter().map(|e| e.key).collect(),
        other => panic!("{patch}: {other:?}"),
    }
}

#[test]
fn example_patch_creates_version_1() {
    let document = example_document();
    assert_eq!(document.version, 1);
    assert_eq!(
        (document.workspaces.len(), document.models.len(), document.services.len()),
        (3, 2, 2)
    );
    assert_eq!(document.role_for("inspectors", Class::Bulk, "inspection"), Some("dossiers"));
    assert_eq!(document.role_for("clerks", Class::Standard, "inspection"), Some("inspection"));
    let registry = &document.services["certificate-registry"];
    assert!(!registry.may_repeat("POST", "/issuances") && registry.may_repeat("GET", "/status"));
    // Every role that requests may need has an engine, and every service an instance.
    let roles = document.models.values().map(|model| &model.role);
    for role in roles.chain(document.rules.iter().map(|rule| &rule.role)) {
        let engine = UpstreamKind::Engine { role: role.clone() };
        assert!(document.upstreams.values().any(|upstream| upstream.kind == engine), "{role}");
    }
    for service in document.services.keys() {
        let kind = UpstreamKind::Service { service: service.clone() };
        assert!(document.upstreams.values().any(|upstream| upstream.kind == kind), "{service}");
    }
    let decoded = Document::from_json(&document.as_json().to_string())
        .expect("the JSON sent to peers is valid");
    assert_eq!(decoded.as_json(), document.as_json());
}

#[test]
fn errors_and_undefined_references_name_their_key() {
    let cases = [
        (json!({ "colour": 1 }), "colour"),
        (json!({ "workspaces": [] }), "workspaces"),
        (json!({ "workspaces": { "clerks": 1 } }), "workspaces.clerks"),
        (json!({ "workspaces": { "clerks": { "share": 0 } } }), "workspaces.clerks.share"),
        (json!({ "workspaces": { "clerks": { "class": "urgent" } } }), "workspaces.clerks.class"),
        (json!({ "workspaces": { "clerks": { "deadline": 5 } } }), "workspaces.clerks.deadline"),
        (
            json!({ "workspaces": { "clerks": { "key_digests": ["x"] } } }),
            "workspaces.clerks.key_digests",
        ),
        (json!({ "workspaces": { "clerks": { "allowed": ["x"] } } }), "workspaces.clerks.allowed"),
        (json!({ "models": { "assistant": { "version": 1 } } }), "models.assistant.version"),
        (
            json!({ "models": { "assistant": { "adapters": { "a": 1 } } } }),
            "models.assistant.adapters.a",
        ),
        (
            json!({ "services": { "request-desk": { "not_repeatable": ["bookings"] } } }),
            "services.request-desk.not_repeatable",
        ),
        (json!({ "services": { "request-desk": null } }), "workspaces.kochi-morning-show.allowed"),
        (
            json!({ "upstreams": { "assistant-1": { "address": "here" } } }),
            "upstreams.assistant-1.address",
        ),
        (
            json!({ "upstreams": { "assistant-1": { "service": "request-desk" } } }),
            "upstreams.assistant-1.role",
        ),
        (
            json!({ "upstreams": { "request-desk-1": { "service": "x" } } }),
            "upstreams.request-desk-1.service",
        ),
        (json!({ "rules": {} }), "rules"),
        (json!({ "rules": [{ "workspace": "x", "role": "dossiers" }] }), "rules[0].workspace"),
        (json!({ "rules": [{ "model": "x", "role": "dossiers" }] }), "rules[0].model"),
        (json!({ "rules": [{ "class": "bulk" }] }), "rules[0].role"),
    ];
    let mut combined = json!({});
    for (patch, key) in &cases {
        assert!(
            invalid_keys(patch).contains(&(*key).to_owned()),
            "{patch}: {:?}",
            invalid_keys(patch)
        );
        json_patch::merge(&mut combined, patch);
    }
    // Later patches replace some values of earlier ones, so not all keys remain.
    let found_keys = invalid_keys(&combined);
    for key in ["colour", "workspaces.clerks", "models.assistant.version", "rules[0].role"] {
        assert!(
            found_keys.iter().any(|found| found.starts_with(key)),
            "{key} is not among {found_keys:?}"
        );
    }
}

#[test]
fn rejected_patches_change_nothing() {
    let document = example_document();
    let before = document.as_json().clone();
    for base in [0, 2, u64::MAX] {
        let rejected = document.patched(base, &json!({}));
        assert!(
            matches!(rejected, Err(PatchError::Stale { current: 1, .. })),
            "{base}: {rejected:?}"
        );
    }
    for patch in
        [json!(null), json!([]), json!("text"), json!({ "version": 9 }), json!({ "rules": 1 })]
    {
        assert!(matches!(document.patched(1, &patch), Err(PatchError::Invalid(_))), "{patch}");
    }
    assert_eq!((document.as_json(), document.version), (&before, 1));
    let removed = document.patched(1, &json!({ "upstreams": { "assistant-2": null } }));
    let removed = removed.expect("an upstream can be removed");
    assert_eq!((removed.version, removed.upstreams.len()), (2, document.upstreams.len() - 1));
}

#[test]
fn error_for_a_key_digest_does_not_show_the_key() {
    let patch = json!({ "workspaces": { "clerks": { "key_digests": ["the-key-itself"] } } });
    let error = example_document().patched(1, &patch).expect_err("not a digest").to_string();
    assert!(error.contains("key_digests") && !error.contains("the-key-itself"), "{error}");
}

/// Generates JSON values nested a few levels deep, with keys that documents use.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "(|a|live|1s|127.0.0.1:1|POST /|\\PC{0,8})".prop_map(Value::from),
    ];
    let key =
        "(version|workspaces|models|services|upstreams|rules|a|role|address|service|allowed|class)";
    leaf.prop_recursive(5, 64, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(key, inner, 0..6)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(32),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// Guards against a panic, and against a patch that does not raise the version by one.
    #[test]
    fn any_document_and_patch_are_accepted_or_rejected(value in any_json(), patch in any_json(), text in "\\PC{0,100}") {
        let _ = Document::from_json(&text);
        let read = Document::from_json(&value.to_string());
        for document in [Some(example_document()), Some(Document::empty()), read.ok()].into_iter().flatten() {
            if let Ok(next) = document.patched(document.version, &patch) {
                prop_assert_eq!(next.version, document.version + 1);
            }
        }
    }
}

/// Guards against a document whose version cannot be raised, since no patch against it could be accepted.
#[test]
fn largest_version_is_rejected() {
    let newest = json!({ "version": u64::MAX - 1 }).to_string();
    assert!(
        Document::from_json(&newest).is_ok_and(|document| document.patched(0, &json!({})).is_err())
    );
    assert!(Document::from_json(&json!({ "version": u64::MAX }).to_string()).is_err());
}

/// Guards against one API key in two workspaces, where the order of the names would decide which workspace a call
/// belongs to.
#[test]
fn one_key_belongs_to_one_workspace() {
    let digest = "a".repeat(64);
    let workspace = json!({ "key_digests": [digest] });
    let document = json!({ "version": 1, "workspaces": { "one": workspace, "two": workspace } });
    let error = Document::from_value(document).expect_err("a shared key");
    assert_eq!(error.field_errors.len(), 1, "{error}");
    assert_eq!(error.field_errors[0].key, "workspaces.two.key_digests");
}
