//! Formats and parses log lines.

use std::fmt::{Display, Write as _};

use log::{
    Record,
    kv::{self, Key, Value, VisitSource},
};

/// A parsed log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Time, in UTC.
    pub time: String,
    /// Level.
    pub level: String,
    /// Component that wrote the line.
    pub component: String,
    /// Text of the event.
    pub message: String,
    /// Names and values of the fields, in the order of the line.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Returns the value of a field.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Appends ` name=value` for each field. A value that is empty or has a space, quote, `=` or line break is quoted.
struct FieldWriter<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let start = self.0.len();
        let _ = write!(self.0, " {key}=");
        let at = self.0.len();
        let _ = write!(self.0, "{value}");
        let text = &self.0[at..];
        if text.is_empty() || text.contains([' ', '"', '=', '\n']) {
            let quoted = format!(" {key}={:?}", text.replace('\n', " "));
            self.0.truncate(start);
            self.0.push_str(&quoted);
        }
        Ok(())
    }
}

/// Formats a record as a line. The component is the last path segment of the record's target.
pub(super) fn format(time: &impl Display, record: &Record<'_>) -> String {
    let component = record.target().rsplit("::").next().unwrap_or_default();
    let mut out = String::with_capacity(256);
    let _ = write!(out, "{time} {} {component}: {}", record.level(), record.args());
    if let Err(e) = record.key_values().visit(&mut FieldWriter(&mut out)) {
        let _ = write!(out, " fields={e:?}");
    }
    out
}

/// Parses a line, or returns `None` when it has another format.
///
/// ```
/// let line = lw_observe::logs::parse(
///     "2026-05-28T07:19:37.000Z INFO route: request sent request=9c41 why=\"home engine\"",
/// );
/// let line = line.unwrap();
/// assert_eq!((line.component.as_str(), line.message.as_str()), ("route", "request sent"));
/// assert_eq!(line.field("why"), Some("home engine"));
/// ```
#[must_use]
pub fn parse(text: &str) -> Option<Line> {
    let (time, rest) = text.split_once(' ')?;
    let (level, rest) = rest.trim_start().split_once(' ')?;
    let (component, rest) = rest.split_once(": ")?;
    let first = rest.find('=').map_or(rest.len(), |at| rest[..at].rfind(' ').unwrap_or(0));
    let (message, fields) = rest.split_at(first);
    Some(Line {
        time: time.to_owned(),
        level: level.to_owned(),
        component: component.to_owned(),
        message: message.trim().to_owned(),
        fields: split_fields(fields.trim_start()),
    })
}

fn split_fields(mut text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    while let Some((key, rest)) = text.split_once('=') {
        let (value, rest) = if let Some(quoted) = rest.strip_prefix('"') {
            let end = quoted_end(quoted);
            (quoted[..end].replace("\\\"", "\""), quoted.get(end + 1..).unwrap_or_default())
        } else {
            let end = rest.find(' ').unwrap_or(rest.len());
            (rest[..end].to_owned(), &rest[end..])
        };
        fields.push((key.trim().to_owned(), value));
        text = rest;
    }
    fields
}

/// Returns the position of the closing quote, or the length of `text` when there is none.
fn quoted_end(text: &str) -> usize {
    let mut is_escaped = false;
    for (at, c) in text.char_indices() {
        match c {
            '"' if !is_escaped => return at,
            '\\' => is_escaped = !is_escaped,
            _ => is_escaped = false,
        }
    }
    text.len()
}

/// Returns the component, message and fields of each line as one text, with the milliseconds since the first line.
/// The field `request` is omitted.
///
/// ```
/// let lines = [
///     "2026-05-28T07:19:37.100Z INFO route: request sent request=9c41 upstream=a",
///     "2026-05-28T07:19:37.350Z INFO http: request answered request=9c41 status=200",
/// ];
/// let lines: Vec<_> = lines.iter().filter_map(|line| lw_observe::logs::parse(line)).collect();
/// let steps = lw_observe::logs::steps(&lines);
/// assert_eq!(steps[1], (250, "http: request answered status=200".to_owned()));
/// ```
#[must_use]
pub fn steps(lines: &[Line]) -> Vec<(u64, String)> {
    const DAY_MS: u64 = 24 * 3600 * 1000;
    let first = lines.first().and_then(|line| millis_of_day(&line.time)).unwrap_or_default();
    let step = |line: &Line| {
        let fields = line.fields.iter().filter(|(key, _)| key != "request");
        let fields: Vec<_> = fields.map(|(key, value)| format!("{key}={value}")).collect();
        let at = millis_of_day(&line.time).unwrap_or(first);
        let what = format!("{}: {} {}", line.component, line.message, fields.join(" "));
        ((at + DAY_MS - first) % DAY_MS, what)
    };
    lines.iter().map(step).collect()
}

/// Returns the milliseconds since midnight of a time such as `2026-05-28T07:19:37.123Z`.
fn millis_of_day(time: &str) -> Option<u64> {
    let time_of_day = time.split_once('T')?.1.trim_end_matches('Z');
    let (time_of_day, fraction) = time_of_day.split_once('.').unwrap_or((time_of_day, "0"));
    let mut seconds = 0;
    for digits in time_of_day.split(':') {
        seconds = seconds * 60 + digits.parse::<u64>().ok()?;
    }
    let fraction: u64 = format!("{fraction:0<3}").get(..3)?.parse().ok()?;
    Some(seconds * 1000 + fraction)
}
