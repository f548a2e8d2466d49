//! Reads typed fields from a parsed document and collects all errors instead of stopping at the first.

use std::{fmt, time::Duration};

use derive_more::{Display, Error};
use serde_json::{Map, Value};

/// An invalid, missing or unknown field of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the key, for instance `limits.body_max`.
    pub key: String,
    /// The value found, `(missing)`, or `(hidden)` for a secret.
    pub value: String,
    /// Description of the allowed values or keys.
    pub allowed: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: got {}, allowed: {}", self.key, self.value, self.allowed)
    }
}

/// All errors of a document.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{}", join_lines(field_errors))]
pub struct Error {
    /// The errors, in the order in which they were found.
    pub field_errors: Vec<FieldError>,
}

fn join_lines(errors: &[FieldError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

impl Error {
    /// Returns an error for a single field.
    #[must_use]
    pub fn single(key: &str, value: &str, allowed: &str) -> Self {
        let error = FieldError { key: key.into(), value: value.into(), allowed: allowed.into() };
        Self { field_errors: vec![error] }
    }
}

/// A reader of one mapping. [`Fields::finish`] reports keys that were never read as unknown.
#[derive(Debug)]
pub struct Fields<'a> {
    path: String,
    map: Option<&'a Map<String, Value>>,
    read_keys: Vec<&'static str>,
    field_errors: Vec<FieldError>,
}

impl<'a> Fields<'a> {
    /// Starts to read `value`, which is at `path` in the document. A value that is not a mapping is an error.
    #[must_use]
    pub fn new(path: &str, value: &'a Value) -> Self {
        let mut fields = Self {
            path: path.to_owned(),
            map: value.as_object(),
            read_keys: Vec::new(),
            field_errors: Vec::new(),
        };
        if fields.map.is_none() {
            fields.field_errors.push(FieldError {
                key: if path.is_empty() { "(document)".into() } else { path.into() },
                value: display_value(value),
                allowed: "a mapping".into(),
            });
        }
        fields
    }

    /// Records an error at `key`.
    pub fn record_error(&mut self, key: &str, allowed: &str) {
        self.push_error(key, allowed, is_secret_key(key));
    }

    fn push_error(&mut self, key: &str, allowed: &str, is_secret: bool) {
        let value = match self.map.and_then(|map| map.get(key)) {
            None => "(missing)".to_owned(),
            Some(_) if is_secret => "(hidden)".to_owned(),
            Some(value) => display_value(value),
        };
        let key = self.key_path(key);
        self.field_errors.push(FieldError { key, value, allowed: allowed.to_owned() });
    }

    /// Adds the errors of a nested reader.
    pub fn add_errors(&mut self, errors: Vec<FieldError>) {
        self.field_errors.extend(errors);
    }

    /// Returns the value of `key` as it was parsed, if it is present and not null.
    pub fn get(&mut self, key: &'static str) -> Option<&'a Value> {
        self.read_keys.push(key);
        self.map.and_then(|map| map.get(key)).filter(|value| !value.is_null())
    }

    /// Reads a non-empty string, or returns `default`; without a default a missing key is an error.
    pub fn string(&mut self, key: &'static str, default: Option<&str>) -> String {
        match (self.get(key), default) {
            (Some(Value::String(s)), _) if !s.is_empty() => s.clone(),
            (None, Some(default)) => default.to_owned(),
            _ => {
                self.record_error(key, "a non-empty string");
                String::new()
            }
        }
    }

    /// Reads an optional non-empty string.
    pub fn optional_string(&mut self, key: &'static str) -> Option<String> {
        self.get(key)?;
        Some(self.string(key, None))
    }

    /// Reads a string and parses it with `FromStr`, or returns `default`.
    pub fn parsed<T: std::str::FromStr>(
        &mut self,
        key: &'static str,
        default: Option<T>,
        allowed: &str,
    ) -> Option<T> {
        match self.get(key) {
            None if default.is_some() => default,
            Some(Value::String(s)) => s.parse().map_err(|_| self.record_error(key, allowed)).ok(),
            _ => {
                self.record_error(key, allowed);
                None
            }
        }
    }

    /// Reads a whole number within `range`.
    pub fn uint(
        &mut self,
        key: &'static str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> u64 {
        let Some(value) = self.get(key) else { return default };
        match value.as_u64() {
            Some(n) if range.contains(&n) => n,
            _ => {
                let allowed = format!("a whole number from {} to {}", range.start(), range.end());
                self.record_error(key, &allowed);
                default
            }
        }
    }

    /// Reads a boolean.
    pub fn boolean(&mut self, key: &'static str, default: bool) -> bool {
        let Some(value) = self.get(key) else { return default };
        value.as_bool().unwrap_or_else(|| {
            self.record_error(key, "true or false");
            default
        })
    }

    /// Reads a duration with a unit (`250ms`, `2s`, `5m`) within `range`.
    pub fn duration(
        &mut self,
        key: &'static str,
        default: Duration,
        range: std::ops::RangeInclusive<Duration>,
    ) -> Duration {
        let Some(value) = self.get(key) else { return default };
        match value.as_str().and_then(parse_duration) {
            Some(duration) if range.contains(&duration) => duration,
            _ => {
                let allowed = format!(
                    "a duration with unit ms, s or m, from {:?} to {:?}",
                    range.start(),
                    range.end()
                );
                self.record_error(key, &allowed);
                default
            }
        }
    }

    /// Reads a size with a unit (`16KiB`, `2MiB`) within `range` and returns it in bytes.
    pub fn size(
        &mut self,
        key: &'static str,
        default: usize,
        range: std::ops::RangeInclusive<usize>,
    ) -> usize {
        let Some(value) = self.get(key) else { return default };
        match value.as_str().and_then(parse_size) {
            Some(size) if range.contains(&size) => size,
            _ => {
                let allowed = format!(
                    "a size with unit B, KiB or MiB, from {} B to {} B",
                    range.start(),
                    range.end()
                );
                self.record_error(key, &allowed);
                default
            }
        }
    }

    /// Reads a list of strings; a missing key is an empty list.
    pub fn strings(&mut self, key: &'static str) -> Vec<String> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let strings = value.as_array().and_then(|list| {
            list.iter().map(|item| item.as_str().map(str::to_owned)).collect::<Option<Vec<_>>>()
        });
        strings.unwrap_or_else(|| {
            self.record_error(key, "a list of strings");
            Vec::new()
        })
    }

    /// Returns the entries of a nested mapping: name, full path and value.
    pub fn entries(&mut self, key: &'static str) -> Vec<(String, String, &'a Value)> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let Some(map) = value.as_object() else {
            self.record_error(key, "a mapping");
            return Vec::new();
        };
        let base = self.key_path(key);
        map.iter().map(|(name, item)| (name.clone(), format!("{base}.{name}"), item)).collect()
    }

    /// Returns the errors and ignores keys that were not read, for documents of another system.
    #[must_use]
    pub fn finish_allowing_unknown(self) -> Vec<FieldError> {
        self.field_errors
    }

    /// Returns the errors; every key that was not read counts as unknown and is one of them.
    #[must_use]
    pub fn finish(mut self) -> Vec<FieldError> {
        let read_keys = std::mem::take(&mut self.read_keys);
        if let Some(map) = self.map {
            for key in map.keys().filter(|key| !read_keys.contains(&key.as_str())) {
                let allowed = format!("one of the keys {}", read_keys.join(", "));
                self.push_error(key, &allowed, may_be_secret_key(key));
            }
        }
        self.field_errors
    }

    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
}

/// Whether the value of a known key is a secret. Errors are logged, so they must not contain it.
fn is_secret_key(key: &str) -> bool {
    const SECRET_WORDS: [&str; 2] = ["key", "token"];
    key.split('_').any(|word| SECRET_WORDS.contains(&word))
}

/// Whether an unknown key may be the misspelled name of a secret.
fn may_be_secret_key(key: &str) -> bool {
    let key = key.to_lowercase();
    ["key", "token", "secret", "password"].iter().any(|word| key.contains(word))
}

fn display_value(value: &Value) -> String {
    const VALUE_MAX_CHARS: usize = 60;
    // The values of a mapping may be secrets.
    if let Value::Object(map) = value {
        let keys: Vec<_> = map.keys().map(String::as_str).collect();
        return format!("a mapping with the keys {}", keys.join(", "));
    }
    value.to_string().chars().take(VALUE_MAX_CHARS).collect()
}

/// Parses a duration with unit `ms`, `s` or `m`.
///
/// ```
/// use std::time::Duration;
/// use lw_config::fields::parse_duration;
/// assert_eq!(parse_duration("250ms"), Some(Duration::from_millis(250)));
/// assert_eq!(parse_duration("250"), None);
/// ```
#[must_use]
pub fn parse_duration(s: &str) -> Option<Duration> {
    let (number, unit) = split_unit(s)?;
    match unit {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number.checked_mul(60)?)),
        _ => None,
    }
}

/// Parses a size with unit `B`, `KiB` or `MiB` to bytes.
///
/// ```
/// assert_eq!(lw_config::fields::parse_size("2KiB"), Some(2048));
/// ```
#[must_use]
pub fn parse_size(s: &str) -> Option<usize> {
    let (number, unit) = split_unit(s)?;
    let factor = match unit {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        _ => return None,
    };
    usize::try_from(number).ok()?.checked_mul(factor)
}

fn split_unit(s: &str) -> Option<(u64, &str)> {
    let end = s.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = s.split_at(end);
    Some((number.parse().ok()?, unit.trim_start()))
}
