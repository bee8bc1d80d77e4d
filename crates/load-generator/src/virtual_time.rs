//! Exact, deterministic simulation of the generator against a server model in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::Nanos;
use crate::mix::PlannedRequest;
use crate::model::ServerModel;
use crate::outcome::{Outcome, RequestResult, Tally};

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
pub fn simulate(
    plan: &[PlannedRequest],
    mode: Mode,
    model: &ServerModel,
    classes: Vec<(String, Nanos)>,
) -> Tally {
    let mut tally = Tally::new(classes);
    match mode {
        Mode::Open { connections } => {
            // A request is sent when it is due or, if no connection is free then, when one becomes free, so the model
            // gets the requests in order of arrival.
            let mut busy: BinaryHeap<Reverse<Nanos>> = BinaryHeap::new();
            let mut server = model.start();
            let mut sent = Vec::with_capacity(plan.len());
            let mut responses = Vec::with_capacity(plan.len());
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
                let response = server.response_at(at);
                busy.push(Reverse(response));
                responses.push(response);
            }
            for ((request, sent), response) in plan.iter().zip(sent).zip(responses) {
                tally.record_lateness(0);
                let deadline = request.at + request.client_timeout;
                let (sent, ended, outcome) = match () {
                    () if sent >= deadline => (None, deadline, Outcome::NoRoom),
                    () if response > deadline => (Some(sent), deadline, Outcome::GaveUp),
                    () => (Some(sent), response, Outcome::Served),
                };
                let intended = request.at;
                tally.count(&RequestResult {
                    class: request.class,
                    intended,
                    sent,
                    ended,
                    outcome,
                    retried: false,
                });
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
                let response = server.response_at(at);
                tally.count(&RequestResult {
                    class: 0,
                    intended: at,
                    sent: Some(at),
                    ended: response,
                    outcome: Outcome::Served,
                    retried: false,
                });
                next.push(Reverse(response));
            }
        }
    }
    tally
}
