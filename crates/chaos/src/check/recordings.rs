//! Checks that recordings of nodes can be read.

use super::{Checker, Violation};
use crate::history::{EventKind, History, ReadFailure};
use crate::scenario::Scenario;

/// A recording that no fault damaged can be read, and a damaged one does not crash the reader.
pub struct RecordingsReadable;

impl Checker for RecordingsReadable {
    fn name(&self) -> &'static str {
        "recordings"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Violation> {
        let mut violations = Vec::new();
        for event in &history.events {
            let EventKind::RecordingRead { node, file, damaged, failure } = &event.kind else { continue };
            let problem = match failure {
                Some(ReadFailure::ReaderCrashed) => "crashes the reader",
                Some(ReadFailure::Rejected) if !damaged => "can't be read, although no fault damaged it",
                _ => continue,
            };
            violations.push(self.violation(event.at, format!("recording {file} of node {node} {problem}")));
        }
        violations
    }
}
