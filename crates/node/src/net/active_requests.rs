//! Requests of a node that have no final response yet, and the correlation ids that they use.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rustc_hash::FxHashSet;

/// Counts active requests and holds the ids in use. All pools of a node share one.
#[derive(Clone, Default)]
pub struct ActiveRequestIds(Rc<ActiveRequestState>);

#[derive(Default)]
struct ActiveRequestState {
    count: Cell<usize>,
    ids: RefCell<FxHashSet<Box<str>>>,
}

impl ActiveRequestIds {
    /// Number of requests whose final response has not been sent completely.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    /// Counts a request until the guard is dropped.
    pub(in crate::net) fn count_request(&self) -> ActiveRequestGuard {
        self.0.count.set(self.count() + 1);
        ActiveRequestGuard(self.clone())
    }

    /// Reserves a correlation id; `None` where it is in use.
    pub(in crate::net) fn claim(&self, correlation_id: &str) -> Option<Rc<RequestIdGuard>> {
        let is_new = self.0.ids.borrow_mut().insert(correlation_id.into());
        is_new.then(|| Rc::new(RequestIdGuard { ids: self.clone(), correlation_id: correlation_id.into() }))
    }
}

/// Reserves a correlation id. Held until the final response has been sent and no attempt of the request is in flight.
pub(in crate::net) struct RequestIdGuard {
    ids: ActiveRequestIds,
    correlation_id: Box<str>,
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.ids.0.ids.borrow_mut().remove(&self.correlation_id);
    }
}

/// Counts as one active request.
pub(in crate::net) struct ActiveRequestGuard(ActiveRequestIds);

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.0.0.count.set(self.0.count() - 1);
    }
}
