//! Exact, deterministic simulation of the generator against a server model in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::Nanos;
use crate::mix::Planned;
use crate::model::Model;
use crate::outcome::{End, Story, Tally};

/// How requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Open loop: at the intended times, independent of other requests, as far as connections are free.
    Open {
        /// Maximum number of concurrent requests; further ones wait for a free connection.
        connections: usize,
    },
    /// Closed loop: each client sends a request when it has received the previous response, and latency counts from
    /// then. Only used to demonstrate the latency that this hides (coordinated omission).
    Closed {
        /// Number of clients.
        clients: usize,
    },
}

/// Simulates the requests of a plan against a server model and counts the results as a real run does.
#[must_use]
pub fn play(plan: &[Planned], mode: Mode, model: &Model, classes: Vec<(String, Nanos)>) -> Tally {
    let mut tally = Tally::new(classes);
    match mode {
        Mode::Open { connections } => {
            // A request is sent when it is due or, if no connection is free then, when one becomes free, so the model
            // gets the requests in order of arrival.
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
