//! Recordings of nodes can be read.

use super::{Checker, Violation};
use crate::history::{EventKind, History, ReadFailure};
use crate::scenario::Scenario;

/// A recording that no fault changed can be read, and a changed one does not crash the reader.
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
                Some(ReadFailure::ReaderCrashed) => "breaks its reader",
                Some(ReadFailure::Rejected) if !damaged => "can't be read, and nobody harmed it",
                _ => continue,
            };
            violations.push(self.violation(event.at, format!("recording {file} of node {node} {problem}")));
        }
        violations
    }
}
