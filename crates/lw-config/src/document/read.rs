//! Reads and validates a configuration document.

use std::{collections::BTreeMap, time::Duration};

use lw_types::prelude::*;
use serde_json::Value;

use super::{CallPattern, Document, Model, Rule, Service, Upstream, UpstreamKind, Workspace};
use crate::fields::{Error, FieldError, Fields};

const DEADLINE_DEFAULT: Duration = Duration::from_millis(1700);
const DEADLINE_MIN: Duration = Duration::from_millis(10);
const DEADLINE_MAX: Duration = Duration::from_secs(600);
/// One below the largest value, since an accepted patch adds one.
const VERSION_MAX: ConfigVersion = ConfigVersion::MAX - 1;
const DIGEST_HEX_CHARS: usize = 64;

pub(super) fn read_document(json: Value) -> Result<Document, Error> {
    let mut fields = Fields::new("", &json);
    let version = fields.uint("version", 0, 0..=VERSION_MAX);
    let workspaces = read_map(&mut fields, "workspaces", read_workspace);
    let models = read_map(&mut fields, "models", read_model);
    let services = read_map(&mut fields, "services", read_service);
    let upstreams = read_map(&mut fields, "upstreams", read_upstream);
    let rules = read_rules(&mut fields);
    let mut field_errors = fields.finish();
    field_errors.extend(cross_reference_errors(
        &workspaces,
        &models,
        &services,
        &upstreams,
        &rules,
    ));
    if field_errors.is_empty() {
        let upstreams = upstreams.into_iter().filter_map(|(id, u)| Some((id, u?))).collect();
        Ok(Document { version, workspaces, models, services, upstreams, rules, json })
    } else {
        Err(Error { field_errors })
    }
}

fn read_map<T>(
    fields: &mut Fields<'_>,
    key: &'static str,
    read: impl Fn(&mut Fields<'_>) -> T,
) -> BTreeMap<String, T> {
    let mut out = BTreeMap::new();
    for (name, path, value) in fields.entries(key) {
        let mut inner = Fields::new(&path, value);
        out.insert(name, read(&mut inner));
        fields.add_errors(inner.finish());
    }
    out
}

fn read_workspace(fields: &mut Fields<'_>) -> Workspace {
    let key_digests = fields.strings("key_digests");
    if key_digests.iter().any(|digest| !is_digest(digest)) {
        fields.record_error(
            "key_digests",
            "SHA-256 digests of API keys, 64 lowercase hex characters",
        );
    }
    Workspace {
        key_digests,
        class: fields
            .parsed("class", Some(Class::Standard), "live, standard or bulk")
            .unwrap_or_default(),
        deadline: fields.duration("deadline", DEADLINE_DEFAULT, DEADLINE_MIN..=DEADLINE_MAX),
        share: fields.uint("share", 1, 1..=1000),
        requests_per_second: fields.uint("requests_per_second", 0, 0..=1_000_000),
        tokens_per_second: fields.uint("tokens_per_second", 0, 0..=1_000_000_000),
        allowed: fields.strings("allowed"),
    }
}

fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_HEX_CHARS
        && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}

fn read_model(fields: &mut Fields<'_>) -> Model {
    let mut adapters = BTreeMap::new();
    for (name, path, value) in fields.entries("adapters") {
        match value.as_str() {
            Some(version) => {
                adapters.insert(name, version.to_owned());
            }
            None => fields.add_errors(vec![FieldError {
                key: path,
                value: value.to_string(),
                allowed: "the adapter's version as a string".to_owned(),
            }]),
        }
    }
    Model {
        version: fields.string("version", None),
        adapters,
        max_prompt_tokens: fields.uint("max_prompt_tokens", 131_072, 1..=10_000_000),
        role: fields.string("role", None),
        min_engines: fields.uint("min_engines", 1, 0..=100_000),
    }
}

fn read_service(fields: &mut Fields<'_>) -> Service {
    let texts = fields.strings("not_repeatable");
    let calls: Vec<_> = texts.iter().filter_map(|text| parse_call_pattern(text)).collect();
    if calls.len() < texts.len() {
        fields.record_error("not_repeatable", "entries like `POST /bookings`");
    }
    Service { not_repeatable: calls }
}

fn parse_call_pattern(text: &str) -> Option<CallPattern> {
    let (method, path) = text.split_once(' ')?;
    let is_method = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
    (is_method && path.starts_with('/'))
        .then(|| CallPattern { method: method.to_owned(), path: path.to_owned() })
}

fn read_upstream(fields: &mut Fields<'_>) -> Option<Upstream> {
    let role = fields.optional_string("role");
    let service = fields.optional_string("service");
    let kind = match (role, service) {
        (Some(role), None) => Some(UpstreamKind::Engine { role }),
        (None, Some(service)) => Some(UpstreamKind::Service { service }),
        _ => {
            fields.record_error("role", "exactly one of the keys role (engine) and service");
            None
        }
    };
    let address = fields.parsed("address", None, "an IP address with port");
    let failure_domain = fields.string("failure_domain", None);
    let checks_fencing = fields.boolean("checks_fencing", false);
    let is_leaving = fields.boolean("leaving", false);
    Some(Upstream { kind: kind?, address: address?, failure_domain, checks_fencing, is_leaving })
}

fn read_rules(fields: &mut Fields<'_>) -> Vec<Rule> {
    let Some(value) = fields.get("rules") else { return Vec::new() };
    let Some(list) = value.as_array() else {
        fields.record_error("rules", "a list of mappings");
        return Vec::new();
    };
    let mut rules = Vec::new();
    for (i, item) in list.iter().enumerate() {
        let mut inner = Fields::new(&format!("rules[{i}]"), item);
        let has_class = inner.get("class").is_some();
        rules.push(Rule {
            workspace: inner.optional_string("workspace"),
            class: has_class
                .then(|| inner.parsed("class", None, "live, standard or bulk"))
                .flatten(),
            model: inner.optional_string("model"),
            role: inner.string("role", None),
        });
        fields.add_errors(inner.finish());
    }
    rules
}

/// Returns an error for each reference to a name that the document does not define, and for each API key that
/// two workspaces share.
fn cross_reference_errors(
    workspaces: &BTreeMap<String, Workspace>,
    models: &BTreeMap<String, Model>,
    services: &BTreeMap<String, Service>,
    upstreams: &BTreeMap<String, Option<Upstream>>,
    rules: &[Rule],
) -> Vec<FieldError> {
    let mut field_errors = Vec::new();
    let mut check = |is_defined: bool, key: String, value: &str, allowed: &str| {
        if !is_defined {
            field_errors.push(FieldError {
                key,
                value: value.to_owned(),
                allowed: allowed.to_owned(),
            });
        }
    };
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, workspace) in workspaces {
        for digest in &workspace.key_digests {
            let owner = *owners.entry(digest).or_insert(name);
            let key = format!("workspaces.{name}.key_digests");
            check(owner == name, key, digest, "a digest that no other workspace has");
        }
        for item in &workspace.allowed {
            let is_defined = models.contains_key(item) || services.contains_key(item);
            check(
                is_defined,
                format!("workspaces.{name}.allowed"),
                item,
                "a defined model or service",
            );
        }
    }
    for (name, upstream) in upstreams {
        if let Some(Upstream { kind: UpstreamKind::Service { service }, .. }) = upstream {
            let is_defined = services.contains_key(service);
            check(is_defined, format!("upstreams.{name}.service"), service, "a defined service");
        }
    }
    for (i, rule) in rules.iter().enumerate() {
        if let Some(workspace) = &rule.workspace {
            let is_defined = workspaces.contains_key(workspace);
            check(is_defined, format!("rules[{i}].workspace"), workspace, "a defined workspace");
        }
        if let Some(model) = &rule.model {
            let is_defined = models.contains_key(model);
            check(is_defined, format!("rules[{i}].model"), model, "a defined model");
        }
    }
    field_errors
}
