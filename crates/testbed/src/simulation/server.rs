//! The model of a server: two cores, a bounded queue, and a warm-up after its start.

use std::collections::{BTreeMap, VecDeque};

use pumicehead_policy::{Nanos, SECOND};

use super::config::{OVERLOAD_DURATION, OVERLOAD_MULTIPLE, WARMUP_DURATION, WARMUP_INITIAL_FRACTION};

/// Requests that a server processes at once.
const CORES: usize = 2;
/// Requests in process and queued at a server; more are rejected.
const MAX_REQUESTS: usize = 16;
/// Mean processing time of a request on a warm server, in seconds.
pub const MEAN_SERVICE_S: f64 = 1.0 / 15.0;
/// Capacity of a warm server, in requests per second.
pub const WARM_RATE: f64 = CORES as f64 / MEAN_SERVICE_S;

/// The state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It processes requests.
    Healthy,
    /// It answers each request with an error at once.
    Failing,
    /// It accepts requests and never answers.
    Unresponsive,
}

/// An attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Job {
    /// Index of the node that sent it.
    pub node: usize,
    /// Its request's id on that node.
    pub id: u32,
    /// Its number among the attempts of the request, from 0.
    pub attempt: u8,
}

/// A simulated server.
#[derive(Debug)]
pub struct Server {
    /// Its state.
    pub health: Health,
    /// When its process started; 0 for a process that is warm from the start of the simulation.
    pub started_at: Nanos,
    /// When its drain began.
    pub draining_since: Option<Nanos>,
    /// By job number, in process and queued.
    jobs: BTreeMap<u64, Job>,
    queue: VecDeque<u64>,
    busy_cores: usize,
    last_job: u64,
    /// Arrivals of the last [`OVERLOAD_DURATION`].
    recent_arrivals: VecDeque<Nanos>,
}

impl Server {
    /// A server that is warm.
    #[must_use]
    pub fn warm() -> Self {
        Self {
            health: Health::Healthy,
            started_at: 0,
            draining_since: None,
            jobs: BTreeMap::new(),
            queue: VecDeque::new(),
            busy_cores: 0,
            last_job: 0,
            recent_arrivals: VecDeque::new(),
        }
    }

    /// Replaces the process by a cold one; the jobs of the former process are lost.
    pub fn restart(&mut self, now: Nanos) {
        // Job numbers are not reused, so that no event of the former process refers to a job of the new one.
        *self = Self { started_at: now, last_job: self.last_job, ..Self::warm() };
    }

    /// Its capacity at a time, as a fraction of that of a warm server.
    #[must_use]
    pub fn warmup_fraction(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= WARMUP_DURATION {
            return 1.0;
        }
        WARMUP_INITIAL_FRACTION + (1.0 - WARMUP_INITIAL_FRACTION) * age as f64 / WARMUP_DURATION as f64
    }

    /// Counts an attempt that arrives. Returns whether it overloads a cold server, which crashes.
    pub fn on_arrival(&mut self, now: Nanos) -> bool {
        self.recent_arrivals.push_back(now);
        while self.recent_arrivals.front().is_some_and(|&at| at + OVERLOAD_DURATION < now) {
            self.recent_arrivals.pop_front();
        }
        let fraction = self.warmup_fraction(now);
        let limit = OVERLOAD_MULTIPLE * fraction * WARM_RATE * OVERLOAD_DURATION as f64 / SECOND as f64;
        fraction < 1.0 && self.recent_arrivals.len() as f64 > limit
    }

    /// Returns whether it admits one more request.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.jobs.len() < MAX_REQUESTS
    }

    /// Admits an attempt and returns its job number.
    pub fn admit(&mut self, job: Job) -> u64 {
        self.last_job += 1;
        self.jobs.insert(self.last_job, job);
        self.last_job
    }

    /// Returns whether a core starts on a job at once; otherwise the job is queued.
    pub fn start(&mut self, job: u64) -> bool {
        if self.busy_cores < CORES {
            self.busy_cores += 1;
            return true;
        }
        self.queue.push_back(job);
        false
    }

    /// Ends a job. Returns its attempt, and the queued job that starts now. `None` for a job of a former process.
    pub fn finish(&mut self, job: u64) -> Option<(Job, Option<u64>)> {
        let done = self.jobs.remove(&job)?;
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy_cores -= 1;
        }
        Some((done, next))
    }
}
