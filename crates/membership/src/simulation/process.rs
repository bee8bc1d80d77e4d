//! Simulated processes, which can be started, paused, resumed and killed.

use super::event::SimEvent;
use crate::Nanos;
use crate::membership::{Event, Membership};

/// Maximum number of events buffered for a paused process. Further ones are lost, as with a full socket buffer.
const MAX_BUFFERED_EVENTS: usize = 4_096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessState {
    Running,
    /// The process is stopped by a signal. Its kernel still accepts connections.
    Paused,
    Down,
}

/// The process of a node.
pub(super) struct Process {
    pub(super) member: Option<Membership>,
    pub(super) state: ProcessState,
    /// Events that arrived during a pause.
    pub(super) buffered_events: Vec<SimEvent>,
    /// When the scheduled timer event fires; [`Nanos::MAX`] if none is scheduled.
    pub(super) timer_at: Nanos,
    pub(super) starts: u64,
    /// Bytes sent in datagrams and streams.
    pub(super) bytes_sent: u64,
    pub(super) datagrams_sent: u64,
    pub(super) events: Vec<Event>,
}

impl Process {
    pub(super) fn new() -> Self {
        Self {
            member: None,
            state: ProcessState::Down,
            buffered_events: Vec::new(),
            timer_at: Nanos::MAX,
            starts: 0,
            bytes_sent: 0,
            datagrams_sent: 0,
            events: Vec::new(),
        }
    }

    /// The member, if the process is running and the member has not stopped.
    pub(super) fn active_member(&self) -> Option<&Membership> {
        let member = self.member.as_ref().filter(|member| !member.is_stopped());
        member.filter(|_| self.state == ProcessState::Running)
    }

    pub(super) fn run(&mut self, member: Membership) {
        self.member = Some(member);
        self.state = ProcessState::Running;
        self.timer_at = Nanos::MAX;
    }

    pub(super) fn kill(&mut self) {
        self.member = None;
        self.state = ProcessState::Down;
        self.timer_at = Nanos::MAX;
        self.buffered_events.clear();
    }

    pub(super) fn buffer_event(&mut self, event: SimEvent) {
        if self.buffered_events.len() < MAX_BUFFERED_EVENTS {
            self.buffered_events.push(event);
        }
    }
}
