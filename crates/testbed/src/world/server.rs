//! A model server: two cores, a queue with an end, cold after its start.

use std::collections::{BTreeMap, VecDeque};

use pumicehead_policy::{Nanos, SECOND};

use super::{COLD_FROM, COLD_SPAN, FALL_MULTIPLE, FALL_SPAN};

const CORES: usize = 2;
/// Most requests that it has at once; more are turned away.
const ROOM: usize = 16;
/// Mean work of a request, in seconds.
pub const SERVICE_S: f64 = 1.0 / 15.0;
/// Requests a second that it can do when it is warm.
pub const RATE: f64 = CORES as f64 / SERVICE_S;

/// How a server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It works.
    Sound,
    /// It answers everything with an error, at once.
    Failing,
    /// It accepts and says nothing.
    Silent,
}

/// An attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Whose.
    pub node: usize,
    /// Its request.
    pub id: u32,
    /// Its number.
    pub attempt: u8,
}

/// A server.
#[derive(Debug)]
pub struct Server {
    /// How it does.
    pub health: Health,
    /// When its process started; 0 is long ago.
    pub started_at: Nanos,
    /// Since when it is to take no more work.
    pub draining_since: Option<Nanos>,
    jobs: BTreeMap<u64, Job>,
    waiting: VecDeque<u64>,
    busy: usize,
    next: u64,
    recent: VecDeque<Nanos>,
}

impl Server {
    /// One that has been there for long.
    #[must_use]
    pub fn warm() -> Self {
        Self {
            health: Health::Sound,
            started_at: 0,
            draining_since: None,
            jobs: BTreeMap::new(),
            waiting: VecDeque::new(),
            busy: 0,
            next: 0,
            recent: VecDeque::new(),
        }
    }

    /// Another process; what the last one had is gone.
    pub fn restart(&mut self, now: Nanos) {
        // Numbers go on, so that nothing of the old process is taken for the new one's.
        *self = Self { started_at: now, next: self.next, ..Self::warm() };
    }

    /// The share of its capacity that it has by now.
    #[must_use]
    pub fn speed(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= COLD_SPAN {
            return 1.0;
        }
        COLD_FROM + (1.0 - COLD_FROM) * age as f64 / COLD_SPAN as f64
    }

    /// An attempt has come; tells whether it is one too many for a cold server, which falls.
    pub fn arrived(&mut self, now: Nanos) -> bool {
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|&at| at + FALL_SPAN < now) {
            self.recent.pop_front();
        }
        let speed = self.speed(now);
        let most = FALL_MULTIPLE * speed * RATE * FALL_SPAN as f64 / SECOND as f64;
        speed < 1.0 && self.recent.len() as f64 > most
    }

    /// Whether it takes one more.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.jobs.len() < ROOM
    }

    /// Takes one in; its number.
    pub fn take(&mut self, job: Job) -> u64 {
        self.next += 1;
        self.jobs.insert(self.next, job);
        self.next
    }

    /// Whether a core is free for it; otherwise it waits.
    pub fn begin(&mut self, job: u64) -> bool {
        if self.busy < CORES {
            self.busy += 1;
            return true;
        }
        self.waiting.push_back(job);
        false
    }

    /// Work has ended: whose it was, and what begins next. `None` for a process that is gone.
    pub fn finish(&mut self, job: u64) -> Option<(Job, Option<u64>)> {
        let done = self.jobs.remove(&job)?;
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        Some((done, next))
    }
}
