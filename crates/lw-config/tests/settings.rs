//! Guards against misread settings, errors that are reported one at a time, and secrets in error messages.

use lw_config::{fields::Error, settings::Settings};
use proptest::{prelude::*, test_runner::RngSeed};
use serde_json::Value;

const EXAMPLE: &str = include_str!("../../../examples/lavenderwoodd.yaml");
const SECRET: &str = "a-secret-that-nobody-may-read";
const REQUIRED: &str = "vm: a\nfailure_domain: b\nplatform: 127.0.0.1:1\n\
    listen: {callers: 127.0.0.1:2, operators: 127.0.0.1:3, peers: 127.0.0.1:4}\n\
    peer_key: sixteen-characters\noperator_token: sixteen-characters\n";

fn read_settings(extra: &str) -> Result<Settings, Error> {
    Settings::from_yaml(&format!("{REQUIRED}{extra}"))
}

#[test]
fn each_error_has_the_value_and_what_is_allowed() {
    let cases = [
        ("colour: red", "colour", "\"red\"", "one of the keys vm, "),
        ("limits: 5", "limits", "5", "a mapping"),
        ("limits: {body_maximum: 1}", "limits.body_maximum", "1", "one of the keys body_max, "),
        ("limits: {body_max: 100}", "limits.body_max", "100", "unit B, KiB or MiB"),
        ("limits: {body_max: 2MB}", "limits.body_max", "\"2MB\"", "unit B, KiB or MiB"),
        ("limits: {body_max: 65MiB}", "limits.body_max", "\"65MiB\"", "1024 B to 67108864 B"),
        ("limits: {headers_max: 15}", "limits.headers_max", "15", "from 16 to 1000"),
        ("limits: {headers_max: -1}", "limits.headers_max", "-1", "a whole number"),
        ("limits: {decision_log: 1.5}", "limits.decision_log", "1.5", "a whole number"),
        ("limits: {connections_max: 0}", "limits.connections_max", "0", "from 1 to 1000000"),
        ("limits: {min_retries: many}", "limits.min_retries", "\"many\"", "a whole number"),
        ("timeouts: {body: 10}", "timeouts.body", "10", "unit ms, s or m"),
        ("timeouts: {body: 10h}", "timeouts.body", "\"10h\"", "unit ms, s or m"),
        ("timeouts: {head: 99ms}", "timeouts.head", "\"99ms\"", "from 100ms to 300s"),
        ("timeouts: {peer: 18446744073709551615m}", "timeouts.peer", "\"184", "unit ms, s or m"),
        ("claims: {retention: 1m}", "claims.retention", "\"1m\"", "from 600s to 604800s"),
        ("peers: 127.0.0.1:1", "peers", "\"127.0.0.1:1\"", "a list of strings"),
        ("peers: [here]", "peers", "[\"here\"]", "a list of IP addresses with port"),
        ("statsd: localhost:1", "statsd", "\"localhost:1\"", "an IP address with port"),
        ("bootstrap: 7", "bootstrap", "7", "a non-empty string"),
    ];
    for (text, key, value, allowed) in cases {
        let error = read_settings(text).expect_err(text);
        let [field_error] = error.field_errors.as_slice() else { panic!("{text}: {error}") };
        assert_eq!(field_error.key, key, "{text}");
        assert!(field_error.value.starts_with(value), "{text}: {field_error}");
        assert!(field_error.allowed.contains(allowed), "{text}: {field_error}");
    }
    let texts: Vec<_> = cases.iter().map(|case| case.0).collect();
    let join_cases = |names: [usize; 6]| names.map(|i| texts[i]).join("\n");
    let all = "timeouts: {body: 10, head: 99ms}\n".to_owned() + &join_cases([0, 1, 15, 16, 18, 19]);
    assert_eq!(
        read_settings(&all).expect_err("errors").field_errors.len(),
        8,
        "not all errors are listed at once"
    );
}

#[test]
fn all_missing_settings_are_listed_at_once() {
    let error = Settings::from_yaml("{}").expect_err("nothing is set");
    let keys: Vec<_> =
        error.field_errors.iter().map(|field_error| field_error.key.as_str()).collect();
    let listen = ["listen.callers", "listen.operators", "listen.peers"];
    let expected_keys =
        [&["vm", "failure_domain"][..], &listen, &["platform", "peer_key", "operator_token"]];
    assert_eq!(keys, expected_keys.concat());
}

#[test]
fn no_message_shows_a_secret() {
    let settings = read_settings(&format!("bootstrap: {SECRET}")).expect("valid");
    assert!(!format!("{settings:?}").contains("sixteen-characters"), "{settings:?}");
    let cases = [
        "operator_token: [SECRET]",
        "operator_tokens: SECRET\npeer-key: SECRET\nsecret: SECRET\nToken: SECRET",
        "auth: {operator: SECRET}",
        "operator_token: SECRET\n  bad: [",
        "operator_token: SECRET\noperator_token: SECRET",
        "operator_token: \"SECRET",
        "peer_key: !!int SECRET",
    ];
    for text in cases {
        let text = text.replace("SECRET", SECRET);
        let error = Settings::from_yaml(&text).expect_err(&text).to_string();
        assert!(!error.contains(SECRET), "{text}: {error}");
    }
}

/// Returns the allowed keys that the error for the unknown key `key` lists.
fn allowed_keys(text: &str, key: &str) -> Vec<String> {
    let error = read_settings(text).expect_err(text);
    let field_error =
        error.field_errors.iter().find(|field_error| field_error.key == key).expect(key);
    let list = field_error.allowed.strip_prefix("one of the keys ").expect("a list of keys");
    list.split(", ").map(str::to_owned).collect()
}

#[test]
fn example_has_every_setting_at_its_default() {
    let example = Settings::from_yaml(EXAMPLE).expect("the example is valid");
    let defaults = read_settings("").expect("the required settings suffice");
    let optional_sections =
        |s: &Settings| format!("{:?} {:?} {:?}", s.limits, s.timeouts, s.claims);
    assert_eq!(optional_sections(&example), optional_sections(&defaults));
    let value: Value = serde_saphyr::from_str(EXAMPLE).expect("YAML");
    for (text, prefix) in [
        ("x: 1", ""),
        ("limits: {x: 1}", "limits."),
        ("timeouts: {x: 1}", "timeouts."),
        ("claims: {x: 1}", "claims."),
    ] {
        for key in allowed_keys(text, &format!("{prefix}x")) {
            let pointer = format!("/{prefix}{key}").replace('.', "/");
            assert!(value.pointer(&pointer).is_some(), "the example lacks {pointer}");
        }
    }
    let mut group = "";
    for line in EXAMPLE.lines().filter(|line| !line.trim_start().starts_with('#')) {
        let Some((key, default)) = line.split_once(": ") else {
            group = line;
            continue;
        };
        if ["limits:", "timeouts:", "claims:"].contains(&group) && line.starts_with("  ") {
            let comment = format!("Default: {default}.\n{key}: {default}");
            assert!(EXAMPLE.contains(&comment), "no default in the comment of {key}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// Guards against a panic on arbitrary text and on text that is almost valid.
    #[test]
    fn any_text_is_accepted_or_rejected(text in "\\PC{0,200}", cut in 0..EXAMPLE.len(), noise in "[\\x00-\\x7f]{0,6}") {
        let _ = Settings::from_yaml(&text);
        let mut altered_example = EXAMPLE.to_owned();
        altered_example.insert_str(cut, &noise);
        let _ = Settings::from_yaml(&altered_example);
    }

    /// Guards against durations and sizes that overflow or are accepted without a unit.
    #[test]
    fn durations_and_sizes_need_units(number in any::<u64>(), unit in "(ms|s|m|B|KiB|MiB|h|)") {
        let text = format!("{number}{unit}");
        let duration = lw_config::fields::parse_duration(&text);
        prop_assert!(duration.is_none() || ["ms", "s", "m"].contains(&unit.as_str()));
        let size = lw_config::fields::parse_size(&text);
        prop_assert!(size.is_none() || ["B", "KiB", "MiB"].contains(&unit.as_str()));
    }
}
