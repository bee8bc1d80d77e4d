//! What the rooms tell the recorder: a pool's events with their time.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pumicehead_flight_recorder::event::{Event, Listed, PoolId};
use pumicehead_flight_recorder::recorder::{Level, Recorder};
use pumicehead_policy::{EndpointId, EndpointState, EndpointUpdate};
use rustc_hash::FxHashMap;

use crate::net::clock::Clock;

/// Servers whose last condition is remembered, so that a list that says the same again is no news.
const MOST_LISTED: usize = 20_000;

/// A node's recorder; all that tell it something are on one thread.
#[derive(Clone)]
pub struct SharedRecorder(Rc<SharedRecorderState>);

struct SharedRecorderState {
    recorder: RefCell<Recorder>,
    /// As in the recorder, to be read without a borrow.
    level: Cell<Level>,
}

impl SharedRecorder {
    /// Around a recorder.
    pub fn new(recorder: Recorder) -> Self {
        let level = Cell::new(recorder.level());
        Self(Rc::new(SharedRecorderState { recorder: RefCell::new(recorder), level }))
    }

    /// How much is recorded from now on.
    pub fn set_level(&self, level: Level) {
        self.0.recorder.borrow_mut().set_level(level);
        self.0.level.set(level);
    }

    /// Uses the recorder, unless it is in use: a panic in the middle of a record must not bring another one.
    pub fn with<T>(&self, use_it: impl FnOnce(&mut Recorder) -> T) -> Option<T> {
        self.0.recorder.try_borrow_mut().ok().map(|mut recorder| use_it(&mut recorder))
    }
}

/// A pool's way to the recorder.
#[derive(Clone)]
pub struct RecorderSink {
    shared: SharedRecorder,
    clock: Clock,
    pool: PoolId,
    listed: Rc<RefCell<FxHashMap<EndpointId, Listed>>>,
}

impl RecorderSink {
    /// For a pool.
    pub fn new(shared: &SharedRecorder, clock: Clock, pool: PoolId) -> Self {
        Self { shared: shared.clone(), clock, pool, listed: Rc::default() }
    }

    /// Whether anything is recorded.
    pub fn is_recording(&self) -> bool {
        self.shared.0.level.get() != Level::Off
    }

    /// Records an event now.
    pub fn record(&self, event: &Event) {
        if self.is_recording() {
            self.record_at(self.clock.now(), event);
        }
    }

    /// Records an event of a time that is known already.
    pub fn record_at(&self, at: pumicehead_policy::Nanos, event: &Event) {
        self.shared.with(|recorder| recorder.record(at, self.pool, event));
    }

    /// Records what is new in a list.
    pub fn record_endpoints<'a>(
        &self,
        change: &EndpointUpdate,
        name: impl Fn(EndpointId) -> Option<&'a str>,
    ) {
        let (EndpointUpdate::Snapshot(infos)
        | EndpointUpdate::Restored(infos)
        | EndpointUpdate::Delta(infos)) = change
        else {
            return;
        };
        let mut known = self.listed.borrow_mut();
        for info in infos.iter() {
            let listed = match info.state {
                EndpointState::Ready => Listed::Ready,
                EndpointState::Draining => Listed::Draining,
                EndpointState::Removed => Listed::Gone,
            };
            if known.get(&info.id) == Some(&listed) {
                continue;
            }
            if known.len() >= MOST_LISTED {
                known.clear();
            }
            known.insert(info.id, listed);
            if let Some(name) = name(info.id) {
                self.shared.with(|recorder| recorder.name(self.pool, info.id, name));
            }
            self.record(&Event::Server { server: info.id, listed });
        }
    }
}
