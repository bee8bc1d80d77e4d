//! Passes events from the request path to the flight recorder.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use pumicehead_flight_recorder::event::{Event, PoolId};
use pumicehead_flight_recorder::recorder::{Level, Recorder};
use pumicehead_policy::{EndpointId, EndpointInfo, EndpointState, EndpointUpdate, Nanos};
use rustc_hash::FxHashMap;

use crate::net::clock::Clock;

/// Maximum number of endpoints whose last state is tracked, so that only changes are recorded.
const MAX_TRACKED_ENDPOINTS: usize = 20_000;

/// The flight recorder of a node. All events come from one thread.
#[derive(Clone)]
pub struct SharedRecorder(Rc<SharedRecorderState>);

struct SharedRecorderState {
    recorder: RefCell<Recorder>,
    /// The recorder's level, readable without borrowing the recorder.
    level: Cell<Level>,
}

impl SharedRecorder {
    /// Shares a recorder.
    pub fn new(recorder: Recorder) -> Self {
        let level = Cell::new(recorder.level());
        Self(Rc::new(SharedRecorderState { recorder: RefCell::new(recorder), level }))
    }

    /// Sets the recording level.
    pub fn set_level(&self, level: Level) {
        self.0.recorder.borrow_mut().set_level(level);
        self.0.level.set(level);
    }

    /// Calls `operation` with the recorder. Returns `None` if the recorder is in use, as in a panic while an event is
    /// being recorded.
    pub fn with<T>(&self, operation: impl FnOnce(&mut Recorder) -> T) -> Option<T> {
        self.0.recorder.try_borrow_mut().ok().map(|mut recorder| operation(&mut recorder))
    }
}

/// Records the events of a pool.
#[derive(Clone)]
pub struct RecorderSink {
    shared: SharedRecorder,
    clock: Clock,
    pool: PoolId,
    /// The last recorded state of each endpoint.
    last_states: Rc<RefCell<FxHashMap<EndpointId, EndpointState>>>,
}

impl RecorderSink {
    /// Returns a sink for the events of a pool.
    pub fn new(shared: &SharedRecorder, clock: Clock, pool: PoolId) -> Self {
        Self { shared: shared.clone(), clock, pool, last_states: Rc::default() }
    }

    /// Whether recording is enabled.
    pub fn is_recording(&self) -> bool {
        self.shared.0.level.get() != Level::Off
    }

    /// Records an event with the current time.
    pub fn record(&self, event: &Event) {
        if self.is_recording() {
            self.record_at(self.clock.now(), event);
        }
    }

    /// Records an event with the given time.
    pub fn record_at(&self, at: Nanos, event: &Event) {
        self.shared.with(|recorder| recorder.record(at, self.pool, event));
    }

    /// Records the changed states of endpoints in an update; `name` looks up endpoint names.
    pub fn record_endpoints<'a>(
        &self,
        update: &EndpointUpdate,
        name: impl Fn(EndpointId) -> Option<&'a str>,
    ) {
        let (EndpointUpdate::Snapshot(infos)
        | EndpointUpdate::Restored(infos)
        | EndpointUpdate::Delta(infos)) = update
        else {
            return;
        };
        for info in infos.iter() {
            self.record_endpoint(info, name(info.id));
        }
    }

    fn record_endpoint(&self, info: &EndpointInfo, name: Option<&str>) {
        if !self.update_last_state(info.id, info.state) {
            return;
        }
        if let Some(name) = name {
            self.shared.with(|recorder| recorder.set_endpoint_name(self.pool, info.id, name));
        }
        self.record(&Event::EndpointStateChanged { endpoint: info.id, state: info.state });
    }

    /// Stores the state of an endpoint; returns whether it has changed.
    fn update_last_state(&self, id: EndpointId, state: EndpointState) -> bool {
        let mut last_states = self.last_states.borrow_mut();
        if last_states.get(&id) == Some(&state) {
            return false;
        }
        if last_states.len() >= MAX_TRACKED_ENDPOINTS {
            last_states.clear();
        }
        last_states.insert(id, state);
        true
    }
}
