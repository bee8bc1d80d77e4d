//! Sends requests at their intended times from dedicated threads, and counts the results.

mod connection;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::sync::Semaphore;
use tokio::task::{JoinSet, LocalSet, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::idle_time::IdleTime;
use crate::mix::{Plan, PlannedRequest};
use crate::outcome::{Outcome, RequestResult, Tally};
use crate::{Nanos, SECOND};
use connection::{Connection, ExchangeError};

/// The last part of a wait, which is spent polling the clock, because timers of the runtime have a resolution of one
/// millisecond.
const SPIN_TIME: Duration = Duration::from_millis(2);
/// A run is invalid if the generator was late for more than this share of the requests, or had too little idle time
/// when more than this share was due.
pub const MAX_LATE_SHARE: f64 = 0.01;
/// Delay before a client retries if the server has not stated one.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Protocol of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1 with the platform's headers.
    Platform,
    /// HTTP/1.1.
    Http,
    /// FastCGI.
    FastCgi,
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Targets; connections are distributed over them in turn.
    pub targets: Vec<SocketAddr>,
    /// Protocol of the requests.
    pub protocol: Protocol,
    /// Number of threads.
    pub threads: usize,
    /// Maximum number of concurrent connections of all threads.
    pub connections: usize,
    /// Number of closed-loop clients that send one request after another instead of following the schedule. Only used
    /// to demonstrate the latency that this hides (coordinated omission).
    pub closed: Option<usize>,
    /// Waits with timers only: requests are up to 2 ms late, but the processor is left to other processes.
    pub relaxed: bool,
    /// Seed; part of the request ids, so that those of two runs differ.
    pub seed: u64,
}

/// Counts that can be read while a run goes on.
#[derive(Debug, Default)]
pub struct Progress {
    /// Number of requests that were due.
    pub due: AtomicU64,
    /// Number of requests that have ended.
    pub ended: AtomicU64,
    /// Number of requests that were served.
    pub served: AtomicU64,
}

/// Sends all requests of a plan and returns the counted results.
///
/// # Errors
/// If a thread or its runtime can't be started, or a thread panics.
pub fn run(plan: &Plan, setup: &Setup, progress: &Arc<Progress>) -> io::Result<Tally> {
    let classes =
        || plan.mix().classes.iter().map(|class| (class.name.clone(), class.aim_ms * (SECOND / 1_000)));
    let threads = setup.threads.max(1);
    // All threads start at the same time, slightly in the future, so that the time it takes to start them makes no
    // request late.
    let start = std::time::Instant::now() + Duration::from_millis(50);
    let workers: Vec<_> = (0..threads)
        .map(|worker| {
            let (plan, setup, progress) = (plan.clone(), setup.clone(), progress.clone());
            let tally = Tally::new(classes());
            thread::Builder::new().name(format!("load-{worker}")).spawn(move || -> io::Result<Tally> {
                let start = Instant::from_std(start);
                let idle_time = Arc::new(Mutex::new(IdleTime::default()));
                let runtime = idle_tracking_runtime(start, &idle_time).enable_all().build()?;
                let connection_permits = (setup.connections / threads).max(1);
                let worker = Rc::new(Worker {
                    number: worker,
                    start,
                    idle_time: idle_time.clone(),
                    polls: Cell::new(0),
                    connection_permits: Arc::new(Semaphore::new(connection_permits)),
                    idle_connections: RefCell::default(),
                    tally: RefCell::new(tally),
                    next_target: Cell::new(worker),
                    progress,
                    setup,
                    mix: plan.mix().clone(),
                });
                LocalSet::new().block_on(&runtime, worker.clone().run(plan, threads));
                let mut tally = worker.tally.borrow().clone();
                // A closed loop has no schedule to keep.
                if worker.setup.closed.is_none() {
                    tally.saturated = lock(&idle_time).saturated_requests(since(start, Instant::now()));
                }
                Ok(tally)
            })
        })
        .collect::<io::Result<_>>()?;
    let mut all = Tally::new(classes());
    for worker in workers {
        all.merge(&worker.join().map_err(|_| io::Error::other("a load thread panicked"))??);
    }
    Ok(all)
}

/// Returns the builder of a runtime that records when its thread is parked because it has nothing to do.
fn idle_tracking_runtime(start: Instant, idle_time: &Arc<Mutex<IdleTime>>) -> Builder {
    let parked_at = Arc::new(AtomicU64::new(0));
    let (last_parked_at, idle_time) = (parked_at.clone(), idle_time.clone());
    let mut builder = Builder::new_current_thread();
    builder.on_thread_park(move || parked_at.store(since(start, Instant::now()), Ordering::Relaxed));
    builder.on_thread_unpark(move || {
        lock(&idle_time).record_idle(last_parked_at.load(Ordering::Relaxed), since(start, Instant::now()));
    });
    builder
}

fn since(start: Instant, now: Instant) -> Nanos {
    now.saturating_duration_since(start).as_nanos() as Nanos
}

fn lock(idle_time: &Mutex<IdleTime>) -> std::sync::MutexGuard<'_, IdleTime> {
    idle_time.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State of one thread of a run.
struct Worker {
    number: usize,
    start: Instant,
    /// Used by this thread only; the hooks of the runtime require a type that can be shared.
    idle_time: Arc<Mutex<IdleTime>>,
    /// Number of polls of request tasks: an iteration of the event loop without any was idle.
    polls: Cell<u64>,
    connection_permits: Arc<Semaphore>,
    /// Idle connections, which hold no permit. A request takes the one that was used last, so that there are never more
    /// open connections than were needed concurrently.
    idle_connections: RefCell<VecDeque<Connection>>,
    tally: RefCell<Tally>,
    next_target: Cell<usize>,
    progress: Arc<Progress>,
    setup: Setup,
    mix: crate::mix::Mix,
}

impl Worker {
    async fn run(self: Rc<Self>, plan: Plan, workers: usize) {
        let number = self.number;
        let own_requests = plan.filter(move |request| request.number as usize % workers == number);
        match self.setup.closed {
            None => self.run_open_loop(own_requests).await,
            Some(clients) => {
                self.run_closed_loop(
                    own_requests,
                    clients / workers + usize::from(number < clients % workers),
                )
                .await
            }
        }
    }

    async fn run_open_loop(self: Rc<Self>, plan: impl Iterator<Item = PlannedRequest>) {
        let mut tasks = JoinSet::new();
        for request in plan {
            let due = self.start + Duration::from_nanos(request.at);
            self.wait_until(due).await;
            self.progress.due.fetch_add(1, Ordering::Relaxed);
            lock(&self.idle_time).record_due(request.at);
            let worker = self.clone();
            tasks.spawn_local(self.clone().count_polls(async move {
                // Measured when the task of the request starts, not when it is spawned: a thread that spawns tasks in
                // time but has no time to run them is late as well.
                let late = Instant::now().saturating_duration_since(due);
                worker.tally.borrow_mut().record_lateness(late.as_nanos() as Nanos);
                let result = worker.send_with_retry(&request, due).await;
                worker.record(&result);
            }));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Runs clients that wait for each response, and therefore don't measure the latency of requests that they would
    /// have sent in the meantime.
    async fn run_closed_loop(self: Rc<Self>, plan: impl Iterator<Item = PlannedRequest>, clients: usize) {
        let plan: Vec<_> = plan.collect();
        let end = self.start + Duration::from_nanos(plan.last().map_or(0, |request| request.at));
        let plan = Rc::new(plan);
        let next = Rc::new(Cell::new(0usize));
        let mut tasks = JoinSet::new();
        for _ in 0..clients {
            let (worker, plan, next) = (self.clone(), plan.clone(), next.clone());
            tasks.spawn_local(async move {
                sleep_until(worker.start).await;
                while Instant::now() < end && !plan.is_empty() {
                    let request = &plan[next.get() % plan.len()];
                    next.set(next.get() + 1);
                    let now = Instant::now();
                    worker.progress.due.fetch_add(1, Ordering::Relaxed);
                    let result = worker.send_with_retry(request, now).await;
                    worker.record(&result);
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    }

    fn record(&self, result: &RequestResult) {
        self.tally.borrow_mut().count(result);
        self.progress.ended.fetch_add(1, Ordering::Relaxed);
        if result.outcome == Outcome::Served {
            self.progress.served.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn wait_until(&self, due: Instant) {
        let left = due.saturating_duration_since(Instant::now());
        if self.setup.relaxed {
            return sleep_until(due).await;
        }
        if left > SPIN_TIME {
            sleep(left - SPIN_TIME).await;
        }
        let mut from = Instant::now();
        while from < due {
            let polls = self.polls.get();
            yield_now().await;
            let to = Instant::now();
            if self.polls.get() == polls {
                lock(&self.idle_time).record_idle(since(self.start, from), since(self.start, to));
            }
            from = to;
        }
    }

    /// Runs the task of a request and counts its polls.
    async fn count_polls(self: Rc<Self>, task: impl Future<Output = ()>) {
        let mut task = pin!(task);
        poll_fn(|context| {
            self.polls.set(self.polls.get() + 1);
            task.as_mut().poll(context)
        })
        .await;
    }

    fn since_start(&self, instant: Instant) -> Nanos {
        since(self.start, instant)
    }

    /// Sends a request, with one retry if the mix has retries, and returns the result. Latency counts from `due` to the
    /// end of the last attempt.
    async fn send_with_retry(&self, request: &PlannedRequest, due: Instant) -> RequestResult {
        let deadline = due + Duration::from_nanos(request.client_timeout);
        let (mut outcome, sent, retry_after) = self.attempt_once(request, deadline, 0).await;
        let mut retried = false;
        let retryable =
            matches!(outcome, Outcome::Refused | Outcome::Failed | Outcome::Broken | Outcome::NoConnection);
        let retry_at = Instant::now() + retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
        if self.mix.retry && retryable && retry_at < deadline {
            sleep_until(retry_at).await;
            retried = true;
            outcome = self.attempt_once(request, deadline, 1).await.0;
        }
        let ended = Instant::now();
        let (intended, ended) = (self.since_start(due), self.since_start(ended));
        RequestResult {
            class: request.class,
            intended,
            sent: sent.map(|sent| self.since_start(sent)),
            ended,
            outcome,
            retried,
        }
    }

    /// Makes one attempt. Returns its outcome, when it was sent, and the delay before a retry that the server asks for.
    async fn attempt_once(
        &self,
        request: &PlannedRequest,
        deadline: Instant,
        attempt: u32,
    ) -> (Outcome, Option<Instant>, Option<Duration>) {
        let Ok(permit) = timeout_at(deadline, self.connection_permits.clone().acquire_owned()).await else {
            return (Outcome::NoRoom, None, None);
        };
        let Ok(_permit) = permit else { return (Outcome::NoRoom, None, None) };
        let reused = loop {
            let Some(connection) = self.idle_connections.borrow_mut().pop_back() else { break None };
            if connection.is_open() {
                break Some(connection);
            }
        };
        let mut connection = match reused {
            Some(connection) => connection,
            None => {
                let targets = &self.setup.targets;
                let target = targets[self.next_target.get() % targets.len()];
                self.next_target.set(self.next_target.get() + 1);
                match timeout_at(deadline, Connection::open(target, self.setup.protocol)).await {
                    Ok(Ok(connection)) => {
                        self.tally.borrow_mut().connections += 1;
                        connection
                    }
                    Ok(Err(error)) => return (connect_failure_outcome(&error), None, None),
                    Err(_) => return (Outcome::NoConnection, None, None),
                }
            }
        };
        let sent = Instant::now();
        let left = deadline.saturating_duration_since(sent);
        let outgoing = self.outgoing_request(request, attempt, left);
        match timeout_at(deadline, connection.exchange(outgoing)).await {
            Ok(Ok(response)) => {
                if response.keep_alive {
                    self.idle_connections.borrow_mut().push_back(connection);
                }
                (Outcome::of_status(response.status), Some(sent), response.retry_after)
            }
            Ok(Err(error)) => {
                let outcome =
                    if error == ExchangeError::Malformed { Outcome::Malformed } else { Outcome::Broken };
                (outcome, Some(sent), None)
            }
            // Dropping the connection closes it, as a client that gives up does.
            Err(_) => (Outcome::GaveUp, Some(sent), None),
        }
    }

    fn outgoing_request(
        &self,
        request: &PlannedRequest,
        attempt: u32,
        left: Duration,
    ) -> connection::OutgoingRequest {
        let class = &self.mix.classes[request.class];
        let id = format!("{:08x}{:010x}{attempt:x}", self.setup.seed as u32, request.number);
        let site = request.site.and_then(|site| self.mix.sites.get(site));
        let mut fields = vec![("host", site.cloned().unwrap_or_else(|| "load.test".into()))];
        let is_platform = self.setup.protocol == Protocol::Platform;
        let path =
            if is_platform { format!("/{}{}", class.name, request.path) } else { request.path.clone() };
        fields.push(("x-correlation-id", id.clone()));
        if is_platform {
            fields.push(("x-service-class", class.name.clone()));
            fields.push(("x-time-left", format!("{}u", left.as_micros())));
        }
        if let Some(account) = request.account.and_then(|account| self.mix.accounts.get(account)) {
            fields.push(("x-account", account.clone()));
        }
        if attempt > 0 {
            fields.push(("x-repeat", "1".into()));
        }
        if class.keyed {
            fields.push(("idempotency-key", format!("{:x}-{}", self.setup.seed, request.number)));
        }
        let method = request.method.clone().unwrap_or_else(|| class.method.clone());
        connection::OutgoingRequest { method, path, fields, body: request.body }
    }
}

/// Returns the outcome for a connection that could not be established.
fn connect_failure_outcome(error: &io::Error) -> Outcome {
    // ENFILE (23) and EMFILE (24): the limit of file descriptors of the system or of the process.
    match error.raw_os_error() {
        Some(23 | 24) => Outcome::NoDescriptor,
        _ => Outcome::NoConnection,
    }
}
