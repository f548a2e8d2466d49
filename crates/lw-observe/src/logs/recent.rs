//! The last lines, for questions about one request.

use std::collections::VecDeque;

/// The last lines within a bound of bytes.
#[derive(Debug)]
pub(super) struct Recent {
    lines: VecDeque<Box<str>>,
    bytes: usize,
    max: usize,
}

impl Recent {
    pub fn new(max: usize) -> Self {
        Self { lines: VecDeque::new(), bytes: 0, max }
    }

    pub fn push(&mut self, line: &str) {
        self.bytes += line.len();
        self.lines.push_back(line.into());
        while self.bytes > self.max {
            let Some(oldest) = self.lines.pop_front() else { break };
            self.bytes -= oldest.len();
        }
    }

    pub fn about(&self, request: &str) -> Vec<String> {
        let field = format!(" request={request}");
        let names = |line: &&str| {
            line.match_indices(&field).any(|(at, _)| {
                let rest = &line[at + field.len()..];
                rest.is_empty() || rest.starts_with(' ')
            })
        };
        self.lines.iter().map(|line| &**line).filter(names).map(str::to_owned).collect()
    }
}
