//! The history of a run: events on one clock, stored as one JSON object per line and read by the checkers.

mod event;
mod states;

use std::io::{self, BufRead, Write};

pub use event::{Event, EventKind};
pub use states::{ClientOutcome, ListedHealth, MemberState, ProcessState, ReadFailure, RequestClass};

/// Why a stored history can't be read.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The file can't be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A line is not an event.
    #[error("line {line}: {source}")]
    Line {
        /// Number of the line, counted from 1.
        line: usize,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

/// The events of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The events, ascending by time.
    pub events: Vec<Event>,
}

impl History {
    /// Sorts events by time; events of the same time keep their order.
    #[must_use]
    pub fn from_events(mut events: Vec<Event>) -> Self {
        events.sort_by_key(|event| event.at);
        Self { events }
    }

    /// Writes one JSON object per line.
    ///
    /// # Errors
    /// Errors of the writer.
    pub fn write(&self, writer: &mut impl Write) -> io::Result<()> {
        for event in &self.events {
            serde_json::to_writer(&mut *writer, event)?;
            writer.write_all(b"\n")?;
        }
        writer.flush()
    }

    /// Reads the format that [`History::write`] writes.
    ///
    /// # Errors
    /// A line that is not an event, with its number, or an error of the reader.
    pub fn read(reader: impl BufRead) -> Result<Self, HistoryError> {
        let mut events = Vec::new();
        for (index, line) in reader.lines().enumerate() {
            let event = serde_json::from_str(&line?)
                .map_err(|source| HistoryError::Line { line: index + 1, source })?;
            events.push(event);
        }
        Ok(Self::from_events(events))
    }
}
