//! Guards against an operations page that lacks a key, has a key that the parser rejects, or states another range
//! than the parser checks.

use std::collections::{BTreeMap, BTreeSet};

use lw_config::{
    document::Document,
    fields::{Error, FieldError},
    settings::Settings,
};
use serde_json::{Map, Value, json};

/// A key that no section has; the error for it lists the keys that the section has.
const UNKNOWN_KEY: &str = "zzz";
const KNOWN_KEYS_PREFIX: &str = "one of the keys ";

fn page_section(section: &str) -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(path).expect("operations page");
    let start = page.find(&format!("\n## {section}\n")).expect("section of the page") + 1;
    let end = page[start..].find("\n## ").map_or(page.len(), |end| start + end);
    page[start..end].to_owned()
}

/// Returns the table rows of a section whose first cell is a name in backticks, by that name.
fn table_rows(section: &str) -> BTreeMap<String, String> {
    let mut rows = BTreeMap::new();
    for line in page_section(section).lines() {
        let Some((name, rest)) = line.strip_prefix("| `").and_then(|line| line.split_once("` |"))
        else {
            continue;
        };
        let before = rows.insert(name.to_owned(), rest.to_owned());
        assert!(before.is_none(), "{name} is on the page twice");
    }
    rows
}

/// Returns the keys that the error for the unknown key at `path` lists.
fn known_keys(errors: &[FieldError], path: &str) -> Option<Vec<String>> {
    let key =
        if path.is_empty() { UNKNOWN_KEY.to_owned() } else { format!("{path}.{UNKNOWN_KEY}") };
    let error = errors.iter().find(|error| error.key == key)?;
    let keys = error.allowed.strip_prefix(KNOWN_KEYS_PREFIX)?;
    Some(keys.split(", ").map(str::to_owned).collect())
}

fn settings_errors(value: &Value) -> Vec<FieldError> {
    Settings::from_yaml(&value.to_string()).expect_err("unknown keys").field_errors
}

fn document_errors(value: Value) -> Vec<FieldError> {
    let result: Result<Document, Error> = Document::from_value(value);
    result.expect_err("unknown keys").field_errors
}

fn mapping_of(keys: &[String], value: &Value) -> Value {
    keys.iter().map(|key| (key.clone(), value.clone())).collect::<Map<_, _>>().into()
}

/// Returns what the parser allows for each setting, taken from the errors for values of a wrong type.
fn allowed_settings() -> BTreeMap<String, String> {
    let unknown = json!({ UNKNOWN_KEY: 0 });
    let top_keys = known_keys(&settings_errors(&unknown), "").expect("keys of the settings");
    let errors = settings_errors(&mapping_of(&top_keys, &unknown));
    let mut names = Vec::new();
    let mut wrong = Map::new();
    for key in &top_keys {
        let inner = known_keys(&errors, key);
        wrong.insert(
            key.clone(),
            inner.as_ref().map_or(unknown.clone(), |i| mapping_of(i, &unknown)),
        );
        match inner {
            Some(inner) => names.extend(inner.iter().map(|leaf| format!("{key}.{leaf}"))),
            None => names.push(key.clone()),
        }
    }
    let errors = settings_errors(&wrong.into());
    let allowed = |name: &String| {
        let error = errors.iter().find(|error| error.key == *name);
        error.unwrap_or_else(|| panic!("{name} accepts any value")).allowed.clone()
    };
    names.into_iter().map(|name| (name.clone(), allowed(&name))).collect()
}

/// Returns what the parser allows for each key of a document.
fn allowed_document_keys() -> BTreeMap<String, String> {
    let unknown = json!({ UNKNOWN_KEY: 0 });
    let top_keys = known_keys(&document_errors(unknown.clone()), "").expect("keys of the document");
    let maps = document_errors(mapping_of(&top_keys, &json!({ "n": unknown })));
    let lists = document_errors(mapping_of(&top_keys, &json!([unknown])));
    let mut out = BTreeMap::new();
    for key in &top_keys {
        let (path, page_name) = if known_keys(&maps, &format!("{key}.n")).is_some() {
            (format!("{key}.n"), format!("{key}.NAME"))
        } else if known_keys(&lists, &format!("{key}[0]")).is_some() {
            (format!("{key}[0]"), format!("{key}[]"))
        } else {
            let error = maps.iter().find(|error| error.key == *key).expect("an error");
            out.insert(key.clone(), error.allowed.clone());
            continue;
        };
        let is_list = path.ends_with(']');
        let inner = known_keys(if is_list { &lists } else { &maps }, &path).expect("keys");
        let wrong = mapping_of(&inner, &unknown);
        let wrong = if is_list { json!([wrong]) } else { json!({ "n": wrong }) };
        let errors = document_errors(json!({ key: wrong }));
        for leaf in inner {
            let name = format!("{path}.{leaf}");
            let error = errors.iter().find(|error| error.key.starts_with(&name));
            let allowed = error.map_or(String::new(), |error| error.allowed.clone());
            out.insert(format!("{page_name}.{leaf}"), allowed);
        }
    }
    out
}

fn assert_page_matches(section: &str, allowed_by_key: &BTreeMap<String, String>) {
    let rows = table_rows(section);
    let on_page: BTreeSet<_> = rows.keys().collect();
    let in_parser: BTreeSet<_> = allowed_by_key.keys().collect();
    assert_eq!(on_page, in_parser, "names on the page and in the parser");
    for (name, allowed) in allowed_by_key {
        if let Some((_, range)) = allowed.split_once("from ") {
            assert!(
                rows[name].contains(range),
                "{name} allows {range}, the page has {}",
                rows[name]
            );
        }
    }
}

#[test]
fn the_page_has_all_settings_with_their_ranges() {
    assert_page_matches("Settings", &allowed_settings());
}

#[test]
fn the_page_has_all_configuration_keys_with_their_ranges() {
    assert_page_matches("Configuration document", &allowed_document_keys());
}

/// Guards against a default on the page that differs from that of the parser.
#[test]
fn the_page_has_the_defaults() {
    let minimal = r#"{ vm: a, failure_domain: b, platform: "127.0.0.1:1", peer_key: 0123456789abcdef,
        operator_token: 0123456789abcdef,
        listen: { callers: "127.0.0.1:2", operators: "127.0.0.1:3", peers: "127.0.0.1:4" } }"#;
    let settings = Settings::from_yaml(minimal).expect("valid settings");
    let (limits, timeouts) = (settings.limits, settings.timeouts);
    let defaults = [
        ("limits.body_max", format!("{}MiB", limits.body_max >> 20)),
        ("limits.headers_max", limits.headers_max.to_string()),
        ("limits.decision_log", limits.decision_log.to_string()),
        ("limits.min_retries", limits.min_retries.to_string()),
        ("timeouts.connect", format!("{}ms", timeouts.connect.as_millis())),
        ("timeouts.platform", format!("{}ms", timeouts.platform.as_millis())),
        ("timeouts.peer", format!("{}ms", timeouts.peer.as_millis())),
        ("timeouts.body", format!("{}s", timeouts.body.as_secs())),
        ("timeouts.unread", format!("{}s", timeouts.unread.as_secs())),
        ("timeouts.stream_silence", format!("{}s", timeouts.stream_silence.as_secs())),
        ("timeouts.pool_idle", format!("{}s", timeouts.pool_idle.as_secs())),
        ("claims.retention", format!("{}m", settings.claims.retention.as_secs() / 60)),
    ];
    let rows = table_rows("Settings");
    for (name, default) in defaults {
        assert!(
            rows[name].contains(&format!("| {default} |")),
            "{name}: {default}, {}",
            rows[name]
        );
    }
}
