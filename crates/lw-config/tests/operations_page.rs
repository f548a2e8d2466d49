//! Guards against a page of operations that misses a setting or names one that the reader does not know, and
//! against a range on the page that the reader does not have.

use std::collections::{BTreeMap, BTreeSet};

use lw_config::{
    document::Document,
    fields::{Error, FieldError},
    settings::Settings,
};
use serde_json::{Map, Value, json};

/// A key that no reader knows; its fault lists the known ones.
const UNKNOWN: &str = "zzz";
const KNOWN_KEYS: &str = "one of the keys ";

fn page(section: &str) -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(path).expect("page of operations");
    let start = page.find(&format!("\n## {section}\n")).expect("section of the page") + 1;
    let end = page[start..].find("\n## ").map_or(page.len(), |end| start + end);
    page[start..end].to_owned()
}

/// Rows of the tables of a section whose first cell is a name in backticks.
fn rows(section: &str) -> BTreeMap<String, String> {
    let mut rows = BTreeMap::new();
    for line in page(section).lines() {
        let Some((name, rest)) = line.strip_prefix("| `").and_then(|line| line.split_once("` |"))
        else {
            continue;
        };
        let before = rows.insert(name.to_owned(), rest.to_owned());
        assert!(before.is_none(), "{name} stands twice on the page");
    }
    rows
}

/// The keys that a fault at the unknown key of `path` lists.
fn known(faults: &[FieldError], path: &str) -> Option<Vec<String>> {
    let key = if path.is_empty() { UNKNOWN.to_owned() } else { format!("{path}.{UNKNOWN}") };
    let fault = faults.iter().find(|fault| fault.key == key)?;
    let keys = fault.allowed.strip_prefix(KNOWN_KEYS)?;
    Some(keys.split(", ").map(str::to_owned).collect())
}

fn settings_faults(value: &Value) -> Vec<FieldError> {
    Settings::from_yaml(&value.to_string()).expect_err("unknown keys").field_errors
}

fn document_faults(value: Value) -> Vec<FieldError> {
    let result: Result<Document, Error> = Document::from_value(value);
    result.expect_err("unknown keys").field_errors
}

fn with_all(keys: &[String], value: &Value) -> Value {
    keys.iter().map(|key| (key.clone(), value.clone())).collect::<Map<_, _>>().into()
}

/// What the reader allows at each setting, from the faults of values of a wrong type.
fn settings() -> BTreeMap<String, String> {
    let unknown = json!({ UNKNOWN: 0 });
    let top = known(&settings_faults(&unknown), "").expect("keys of the settings");
    let faults = settings_faults(&with_all(&top, &unknown));
    let mut names = Vec::new();
    let mut wrong = Map::new();
    for key in &top {
        let inner = known(&faults, key);
        wrong
            .insert(key.clone(), inner.as_ref().map_or(unknown.clone(), |i| with_all(i, &unknown)));
        match inner {
            Some(inner) => names.extend(inner.iter().map(|leaf| format!("{key}.{leaf}"))),
            None => names.push(key.clone()),
        }
    }
    let faults = settings_faults(&wrong.into());
    let allowed = |name: &String| {
        let fault = faults.iter().find(|fault| fault.key == *name);
        fault.unwrap_or_else(|| panic!("{name} takes any value")).allowed.clone()
    };
    names.into_iter().map(|name| (name.clone(), allowed(&name))).collect()
}

/// What the reader allows at each part of a document.
fn document() -> BTreeMap<String, String> {
    let unknown = json!({ UNKNOWN: 0 });
    let top = known(&document_faults(unknown.clone()), "").expect("keys of the document");
    let maps = document_faults(with_all(&top, &json!({ "n": unknown })));
    let lists = document_faults(with_all(&top, &json!([unknown])));
    let mut out = BTreeMap::new();
    for key in &top {
        let (path, shown) = if known(&maps, &format!("{key}.n")).is_some() {
            (format!("{key}.n"), format!("{key}.NAME"))
        } else if known(&lists, &format!("{key}[0]")).is_some() {
            (format!("{key}[0]"), format!("{key}[]"))
        } else {
            let fault = maps.iter().find(|fault| fault.key == *key).expect("a fault");
            out.insert(key.clone(), fault.allowed.clone());
            continue;
        };
        let is_list = path.ends_with(']');
        let inner = known(if is_list { &lists } else { &maps }, &path).expect("keys");
        let wrong = with_all(&inner, &unknown);
        let wrong = if is_list { json!([wrong]) } else { json!({ "n": wrong }) };
        let faults = document_faults(json!({ key: wrong }));
        for leaf in inner {
            let name = format!("{path}.{leaf}");
            let fault = faults.iter().find(|fault| fault.key.starts_with(&name));
            let allowed = fault.map_or(String::new(), |fault| fault.allowed.clone());
            out.insert(format!("{shown}.{leaf}"), allowed);
        }
    }
    out
}

fn compare(section: &str, reader: &BTreeMap<String, String>) {
    let rows = rows(section);
    let on_page: BTreeSet<_> = rows.keys().collect();
    let in_reader: BTreeSet<_> = reader.keys().collect();
    assert_eq!(on_page, in_reader, "names on the page and in the reader");
    for (name, allowed) in reader {
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
    compare("Settings", &settings());
}

#[test]
fn the_page_has_all_parts_of_the_configuration_with_their_ranges() {
    compare("Configuration document", &document());
}

/// Guards against a default on the page that is not the one of the reader.
#[test]
fn the_page_has_the_defaults() {
    let least = r#"{ vm: a, failure_domain: b, platform: "127.0.0.1:1", peer_key: 0123456789abcdef,
        operator_token: 0123456789abcdef,
        listen: { callers: "127.0.0.1:2", operators: "127.0.0.1:3", peers: "127.0.0.1:4" } }"#;
    let settings = Settings::from_yaml(least).expect("valid settings");
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
        ("timeouts.stream_silence", format!("{}s", timeouts.stream_silence.as_secs())),
        ("timeouts.pool_idle", format!("{}s", timeouts.pool_idle.as_secs())),
        ("claims.retention", format!("{}m", settings.claims.retention.as_secs() / 60)),
    ];
    let rows = rows("Settings");
    for (name, default) in defaults {
        assert!(
            rows[name].contains(&format!("| {default} |")),
            "{name}: {default}, {}",
            rows[name]
        );
    }
}
