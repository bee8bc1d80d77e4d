//! The generator against a model, in virtual time: exact, and the same every time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::Nanos;
use crate::mix::Planned;
use crate::model::Model;
use crate::outcome::{End, Story, Tally};

/// How requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// At their times, whatever becomes of others; at most so many at once, others wait for a place.
    Open {
        /// Connections.
        connections: usize,
    },
    /// Each of so many clients asks when it has its last answer, and counts from there: only to show what it hides.
    Closed {
        /// Clients.
        clients: usize,
    },
}

/// Plays requests against a server and counts them as a run would.
#[must_use]
pub fn play(plan: &[Planned], mode: Mode, model: &Model, classes: Vec<(String, Nanos)>) -> Tally {
    let mut tally = Tally::new(classes);
    match mode {
        Mode::Open { connections } => {
            // Sent when due, or when a place is free again: answers are in the order of sending.
            let mut busy: BinaryHeap<Reverse<Nanos>> = BinaryHeap::new();
            let mut server = model.start();
            let mut sent = Vec::with_capacity(plan.len());
            let mut answered = Vec::with_capacity(plan.len());
            for request in plan {
                let mut at = request.at;
                while busy.peek().is_some_and(|Reverse(free)| *free <= at) {
                    busy.pop();
                }
                if busy.len() >= connections
                    && let Some(Reverse(free)) = busy.pop()
                {
                    at = at.max(free);
                }
                sent.push(at);
                let answer = server.answer(at);
                busy.push(Reverse(answer));
                answered.push(answer);
            }
            for ((request, sent), answer) in plan.iter().zip(sent).zip(answered) {
                tally.came(0);
                let gives_up = request.at + request.patience;
                let (sent, ended, end) = match () {
                    () if sent >= gives_up => (None, gives_up, End::NoRoom),
                    () if answer > gives_up => (Some(sent), gives_up, End::GaveUp),
                    () => (Some(sent), answer, End::Served),
                };
                let intended = request.at;
                tally.count(&Story { class: request.class, intended, sent, ended, end, retried: false });
            }
        }
        Mode::Closed { clients } => {
            let Some(last) = plan.last().map(|request| request.at) else { return tally };
            let mut next: BinaryHeap<Reverse<Nanos>> = (0..clients as u64).map(Reverse).collect();
            let mut server = model.start();
            while let Some(Reverse(at)) = next.pop() {
                if at > last {
                    continue;
                }
                let answer = server.answer(at);
                tally.count(&Story {
                    class: 0,
                    intended: at,
                    sent: Some(at),
                    ended: answer,
                    end: End::Served,
                    retried: false,
                });
                next.push(Reverse(answer));
            }
        }
    }
    tally
}
