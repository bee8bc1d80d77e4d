//! Requests from the view of their clients.

use std::collections::{BTreeMap, BTreeSet};

use crate::history::{ClientOutcome, EventKind, History, RequestClass};
use crate::{MS, Nanos};

/// The end of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestEnd {
    pub at: Nanos,
    pub outcome: ClientOutcome,
}

/// A request from the view of its client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientRequest {
    pub id: u64,
    pub class: RequestClass,
    /// The node that it was sent to.
    pub node: usize,
    pub started: Nanos,
    pub deadline: Nanos,
    /// The first end; `None` if the history has none.
    pub end: Option<RequestEnd>,
}

impl ClientRequest {
    /// Returns how the request ended, if it did.
    pub fn outcome(&self) -> Option<ClientOutcome> {
        self.end.map(|end| end.outcome)
    }
}

/// Returns all requests, ascending by id.
pub(crate) fn client_requests(history: &History) -> Vec<ClientRequest> {
    let mut requests = BTreeMap::new();
    for event in &history.events {
        match event.kind {
            EventKind::RequestStarted { id, class, node, deadline_ms } => {
                let deadline = event.at + deadline_ms * MS;
                let request = ClientRequest { id, class, node, started: event.at, deadline, end: None };
                requests.insert(id, request);
            }
            EventKind::RequestEnded { id, outcome } => {
                if let Some(request) = requests.get_mut(&id) {
                    // The first end counts; `EveryRequestAnswered` reports a second one.
                    request.end.get_or_insert(RequestEnd { at: event.at, outcome });
                }
            }
            _ => {}
        }
    }
    requests.into_values().collect()
}

/// Returns the ids of the requests that endpoints executed.
pub(crate) fn executed_ids(history: &History) -> BTreeSet<u64> {
    let executed = history.events.iter().filter_map(|event| match event.kind {
        EventKind::RequestExecuted { id, .. } => Some(id),
        _ => None,
    });
    executed.collect()
}
