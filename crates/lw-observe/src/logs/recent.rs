//! Retains the most recent lines, to find those of one request.

use std::collections::VecDeque;

/// The most recent lines, bounded by their total size.
#[derive(Debug)]
pub(super) struct RecentLines {
    lines: VecDeque<Box<str>>,
    bytes: usize,
    max_bytes: usize,
}

impl RecentLines {
    pub fn new(max_bytes: usize) -> Self {
        Self { lines: VecDeque::new(), bytes: 0, max_bytes }
    }

    pub fn push(&mut self, line: &str) {
        self.bytes += line.len();
        self.lines.push_back(line.into());
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.lines.pop_front() else { break };
            self.bytes -= oldest.len();
        }
    }

    /// Returns the lines that have the field `request` with this value.
    pub fn of_request(&self, request: &str) -> Vec<String> {
        let field = format!(" request={request}");
        let has_field = |line: &&str| {
            line.match_indices(&field).any(|(at, _)| {
                let following = &line[at + field.len()..];
                following.is_empty() || following.starts_with(' ')
            })
        };
        self.lines.iter().map(|line| &**line).filter(has_field).map(str::to_owned).collect()
    }
}
