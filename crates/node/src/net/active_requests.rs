//! The active requests of a node, and the correlation ids in use.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rustc_hash::FxHashSet;

/// Counts active requests and holds the correlation ids in use. Shared by all pools of a node.
#[derive(Clone, Default)]
pub struct ActiveRequestIds(Rc<ActiveRequestState>);

#[derive(Default)]
struct ActiveRequestState {
    count: Cell<usize>,
    ids: RefCell<FxHashSet<Rc<str>>>,
}

impl ActiveRequestIds {
    /// Returns the number of requests that have no final response, or whose streamed response has not ended.
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    /// Counts a request as active until the returned guard is dropped.
    pub(in crate::net) fn count_request(&self) -> ActiveRequestGuard {
        self.0.count.set(self.count() + 1);
        ActiveRequestGuard(self.clone())
    }

    /// Reserves a correlation id; returns `None` if it is in use.
    pub(in crate::net) fn claim(&self, correlation_id: &str) -> Option<Rc<RequestIdGuard>> {
        let correlation_id: Rc<str> = correlation_id.into();
        let is_new = self.0.ids.borrow_mut().insert(correlation_id.clone());
        is_new.then(|| Rc::new(RequestIdGuard { ids: self.clone(), correlation_id }))
    }
}

/// Reserves a correlation id. Held from the end of the request's head until the final response has been given, a streamed
/// response has ended, and no attempt of the request is in flight.
pub(in crate::net) struct RequestIdGuard {
    ids: ActiveRequestIds,
    correlation_id: Rc<str>,
}

impl Drop for RequestIdGuard {
    fn drop(&mut self) {
        self.ids.0.ids.borrow_mut().remove(&self.correlation_id);
    }
}

/// Counts as one active request until dropped.
pub(in crate::net) struct ActiveRequestGuard(ActiveRequestIds);

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.0.0.count.set(self.0.count() - 1);
    }
}
