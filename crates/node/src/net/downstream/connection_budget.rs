//! The connections of all clients, of which a node may hold so many.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::time::Instant;

use crate::net::counting_stream::UnreadState;
use crate::net::downstream::connection::{ConnectionStage, DownstreamConnection};

/// From this part of all descriptors on, connections that ask are crowded: each closes with its next answer.
/// Clients may hold a third at a node, and clients that ask once and stay for some seconds took all of it:
/// hardly a request came through, while the node was idle. Should also help where anything before the node
/// bounds its connections. Does harm where so many clients ask again at once: they connect each time.
const CROWDED: usize = 4;

/// Connections of clients, over all fronts.
pub struct ConnectionBudget {
    conns: RefCell<Vec<Rc<DownstreamConnection>>>,
    /// Those that ask, or have asked and may again; each counts itself.
    asking: Rc<Cell<usize>>,
    places: usize,
    crowded: usize,
}

impl ConnectionBudget {
    /// At most `places`, of a node that may hold so many descriptors.
    pub fn new(places: usize, descriptors: usize) -> Rc<Self> {
        Rc::new(Self {
            conns: RefCell::default(),
            asking: Rc::default(),
            places,
            crowded: descriptors / CROWDED,
        })
    }

    /// How many there may be.
    pub fn limit(&self) -> usize {
        self.places
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.conns.borrow().len()
    }

    /// Whether one more is over the budget.
    pub fn is_full(&self) -> bool {
        self.count() >= self.places
    }

    /// Whether so many are over it that they can't be told so any more.
    pub fn is_overfull(&self) -> bool {
        self.count() >= self.places + crate::net::downstream::OVERFLOW_CONNECTIONS
    }

    /// The count of those that ask, for a new one.
    pub fn asking(&self) -> Rc<Cell<usize>> {
        self.asking.clone()
    }

    /// Takes one in.
    pub fn add(&self, conn: &Rc<DownstreamConnection>) {
        let mut conns = self.conns.borrow_mut();
        conn.index.set(conns.len());
        conns.push(conn.clone());
    }

    /// One has ended.
    pub fn remove(&self, conn: &Rc<DownstreamConnection>) {
        // At every end of thousands: the last one takes its place, where a search would cost more than the rest.
        let mut conns = self.conns.borrow_mut();
        let place = conn.index.get();
        if conns.get(place).is_some_and(|found| Rc::ptr_eq(found, conn)) {
            conns.swap_remove(place);
            if let Some(moved) = conns.get(place) {
                moved.index.set(place);
            }
        }
    }

    /// Those of one front.
    pub fn for_each_of(
        &self,
        owner: &crate::net::downstream::DownstreamListener,
        mut take: impl FnMut(&DownstreamConnection),
    ) {
        let conns = self.conns.borrow();
        conns.iter().filter(|conn| owner.owns(conn)).for_each(|conn| take(conn));
    }

    /// Closes the connection that can best be done without, of its kind the oldest; tells whether there was one.
    /// Only the chosen one's socket is asked whether a request has just come.
    pub fn evict_one(&self) -> bool {
        let (conns, now) = (self.conns.borrow(), Instant::now());
        let rank =
            |conn: &Rc<DownstreamConnection>| Some((conn.eviction_rank(now)?, conn.last_activity.get()));
        let ranked = conns.iter().filter_map(|conn| Some((rank(conn)?, conn)));
        let Some((_, conn)) = ranked.min_by_key(|(rank, _)| *rank) else { return false };
        if conn.stage() == ConnectionStage::Waiting && conn.stream.unread() == UnreadState::Bytes {
            // It is asking after all: the event loop has not come to it yet.
            return false;
        }
        conn.close_now();
        true
    }

    /// Whether those who ask leave each other few connections.
    pub fn is_crowded(&self) -> bool {
        self.asking.get() >= self.crowded
    }
}
