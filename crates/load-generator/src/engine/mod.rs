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

use crate::mix::{Plan, Planned};
use crate::outcome::{End, Story, Tally};
use crate::slack::Slack;
use crate::{Nanos, SECOND};
use connection::{Connection, Fault};

/// The last part of a wait, which is spent polling the clock, because timers of the runtime have a resolution of one
/// millisecond.
const TICK: Duration = Duration::from_millis(2);
/// A run is invalid if the generator was late for more than this share of the requests, or had too little idle time
/// when more than this share was due.
pub const MOST_LATE: f64 = 0.01;
/// Delay before a client retries if the server has not stated one.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

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
    let lanes: Vec<_> = (0..threads)
        .map(|lane| {
            let (plan, setup, progress) = (plan.clone(), setup.clone(), progress.clone());
            let tally = Tally::new(classes());
            thread::Builder::new().name(format!("load-{lane}")).spawn(move || -> io::Result<Tally> {
                let start = Instant::from_std(start);
                let slack = Arc::new(Mutex::new(Slack::default()));
                let runtime = watched(start, &slack).enable_all().build()?;
                let places = (setup.connections / threads).max(1);
                let lane = Rc::new(Lane {
                    number: lane,
                    start,
                    slack: slack.clone(),
                    polls: Cell::new(0),
                    places: Arc::new(Semaphore::new(places)),
                    idle: RefCell::default(),
                    tally: RefCell::new(tally),
                    next_target: Cell::new(lane),
                    progress,
                    setup,
                    plan_mix: plan.mix().clone(),
                });
                LocalSet::new().block_on(&runtime, lane.clone().run(plan, threads));
                let mut tally = lane.tally.borrow().clone();
                // A closed loop has no schedule to keep.
                if lane.setup.closed.is_none() {
                    tally.breathless = held(&slack).breathless(since(start, Instant::now()));
                }
                Ok(tally)
            })
        })
        .collect::<io::Result<_>>()?;
    let mut all = Tally::new(classes());
    for lane in lanes {
        all.merge(&lane.join().map_err(|_| io::Error::other("a load thread panicked"))??);
    }
    Ok(all)
}

/// Returns the builder of a runtime that records when its thread is parked because it has nothing to do.
fn watched(start: Instant, slack: &Arc<Mutex<Slack>>) -> Builder {
    let asleep = Arc::new(AtomicU64::new(0));
    let (since_when, slack) = (asleep.clone(), slack.clone());
    let mut builder = Builder::new_current_thread();
    builder.on_thread_park(move || asleep.store(since(start, Instant::now()), Ordering::Relaxed));
    builder.on_thread_unpark(move || {
        held(&slack).idle(since_when.load(Ordering::Relaxed), since(start, Instant::now()));
    });
    builder
}

fn since(start: Instant, now: Instant) -> Nanos {
    now.saturating_duration_since(start).as_nanos() as Nanos
}

fn held(slack: &Mutex<Slack>) -> std::sync::MutexGuard<'_, Slack> {
    slack.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State of one thread of a run.
struct Lane {
    number: usize,
    start: Instant,
    /// Used by this thread only; the hooks of the runtime require a type that can be shared.
    slack: Arc<Mutex<Slack>>,
    /// Number of polls of request tasks: an iteration of the event loop without any was idle.
    polls: Cell<u64>,
    places: Arc<Semaphore>,
    /// Idle connections, which hold no permit. A request takes the one that was used last, so that there are never more
    /// open connections than were needed concurrently.
    idle: RefCell<VecDeque<Connection>>,
    tally: RefCell<Tally>,
    next_target: Cell<usize>,
    progress: Arc<Progress>,
    setup: Setup,
    plan_mix: crate::mix::Mix,
}

impl Lane {
    async fn run(self: Rc<Self>, plan: Plan, lanes: usize) {
        let number = self.number;
        let mine = plan.filter(move |request| request.number as usize % lanes == number);
        match self.setup.closed {
            None => self.open(mine).await,
            Some(clients) => self.closed(mine, clients / lanes + usize::from(number < clients % lanes)).await,
        }
    }

    async fn open(self: Rc<Self>, plan: impl Iterator<Item = Planned>) {
        let mut tasks = JoinSet::new();
        for request in plan {
            let due = self.start + Duration::from_nanos(request.at);
            self.wait_until(due).await;
            self.progress.due.fetch_add(1, Ordering::Relaxed);
            held(&self.slack).due(request.at);
            let lane = self.clone();
            tasks.spawn_local(self.clone().counted(async move {
                // Measured when the task of the request starts, not when it is spawned: a thread that spawns tasks in
                // time but has no time to run them is late as well.
                let late = Instant::now().saturating_duration_since(due);
                lane.tally.borrow_mut().came(late.as_nanos() as Nanos);
                let story = lane.ask(&request, due).await;
                lane.note(&story);
            }));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Runs clients that wait for each response, and therefore don't measure the latency of requests that they would
    /// have sent in the meantime.
    async fn closed(self: Rc<Self>, plan: impl Iterator<Item = Planned>, clients: usize) {
        let plan: Vec<_> = plan.collect();
        let end = self.start + Duration::from_nanos(plan.last().map_or(0, |request| request.at));
        let plan = Rc::new(plan);
        let next = Rc::new(Cell::new(0usize));
        let mut tasks = JoinSet::new();
        for _ in 0..clients {
            let (lane, plan, next) = (self.clone(), plan.clone(), next.clone());
            tasks.spawn_local(async move {
                sleep_until(lane.start).await;
                while Instant::now() < end && !plan.is_empty() {
                    let request = &plan[next.get() % plan.len()];
                    next.set(next.get() + 1);
                    let now = Instant::now();
                    lane.progress.due.fetch_add(1, Ordering::Relaxed);
                    let story = lane.ask(request, now).await;
                    lane.note(&story);
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    }

    fn note(&self, story: &Story) {
        self.tally.borrow_mut().count(story);
        self.progress.ended.fetch_add(1, Ordering::Relaxed);
        if story.end == End::Served {
            self.progress.served.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn wait_until(&self, due: Instant) {
        let left = due.saturating_duration_since(Instant::now());
        if self.setup.relaxed {
            return sleep_until(due).await;
        }
        if left > TICK {
            sleep(left - TICK).await;
        }
        let mut from = Instant::now();
        while from < due {
            let polls = self.polls.get();
            yield_now().await;
            let to = Instant::now();
            if self.polls.get() == polls {
                held(&self.slack).idle(since(self.start, from), since(self.start, to));
            }
            from = to;
        }
    }

    /// Runs the task of a request and counts its polls.
    async fn counted(self: Rc<Self>, task: impl Future<Output = ()>) {
        let mut task = pin!(task);
        poll_fn(|context| {
            self.polls.set(self.polls.get() + 1);
            task.as_mut().poll(context)
        })
        .await;
    }

    fn at(&self, instant: Instant) -> Nanos {
        since(self.start, instant)
    }

    /// Sends a request, with one retry if the mix has retries, and returns the result. Latency counts from `due` to the
    /// end of the last attempt.
    async fn ask(&self, request: &Planned, due: Instant) -> Story {
        let gives_up = due + Duration::from_nanos(request.patience);
        let (mut end, sent, after) = self.try_once(request, gives_up, 0).await;
        let mut retried = false;
        let again = matches!(end, End::Refused | End::Failed | End::Broken | End::NoConnection);
        let pause = Instant::now() + after.unwrap_or(RETRY_PAUSE);
        if self.plan_mix.retry && again && pause < gives_up {
            sleep_until(pause).await;
            retried = true;
            end = self.try_once(request, gives_up, 1).await.0;
        }
        let ended = Instant::now();
        let (intended, ended) = (self.at(due), self.at(ended));
        Story { class: request.class, intended, sent: sent.map(|sent| self.at(sent)), ended, end, retried }
    }

    /// Makes one attempt. Returns its outcome, when it was sent, and the delay before a retry that the server asks for.
    async fn try_once(
        &self,
        request: &Planned,
        gives_up: Instant,
        attempt: u32,
    ) -> (End, Option<Instant>, Option<Duration>) {
        let Ok(place) = timeout_at(gives_up, self.places.clone().acquire_owned()).await else {
            return (End::NoRoom, None, None);
        };
        let Ok(_permit) = place else { return (End::NoRoom, None, None) };
        let kept = loop {
            let Some(connection) = self.idle.borrow_mut().pop_back() else { break None };
            if connection.is_open() {
                break Some(connection);
            }
        };
        let mut connection = match kept {
            Some(connection) => connection,
            None => {
                let targets = &self.setup.targets;
                let target = targets[self.next_target.get() % targets.len()];
                self.next_target.set(self.next_target.get() + 1);
                match timeout_at(gives_up, Connection::open(target, self.setup.protocol)).await {
                    Ok(Ok(connection)) => {
                        self.tally.borrow_mut().connections += 1;
                        connection
                    }
                    Ok(Err(error)) => return (end_of(&error), None, None),
                    Err(_) => return (End::NoConnection, None, None),
                }
            }
        };
        let sent = Instant::now();
        let left = gives_up.saturating_duration_since(sent);
        let message = self.message(request, attempt, left);
        match timeout_at(gives_up, connection.ask(message)).await {
            Ok(Ok(answer)) => {
                if answer.keep {
                    self.idle.borrow_mut().push_back(connection);
                }
                (End::of_status(answer.status), Some(sent), answer.retry_after)
            }
            Ok(Err(fault)) => {
                let end = if fault == Fault::Malformed { End::Malformed } else { End::Broken };
                (end, Some(sent), None)
            }
            // Dropping the connection closes it, as a client that gives up does.
            Err(_) => (End::GaveUp, Some(sent), None),
        }
    }

    fn message(&self, request: &Planned, attempt: u32, left: Duration) -> connection::Message {
        let class = &self.plan_mix.classes[request.class];
        let id = format!("{:08x}{:010x}{attempt:x}", self.setup.seed as u32, request.number);
        let site = request.site.and_then(|site| self.plan_mix.sites.get(site));
        let mut fields = vec![("host", site.cloned().unwrap_or_else(|| "load.test".into()))];
        let platform = self.setup.protocol == Protocol::Platform;
        let path = if platform { format!("/{}{}", class.name, request.path) } else { request.path.clone() };
        fields.push(("x-correlation-id", id.clone()));
        if platform {
            fields.push(("x-service-class", class.name.clone()));
            fields.push(("x-time-left", format!("{}u", left.as_micros())));
        }
        if let Some(account) = request.account.and_then(|account| self.plan_mix.accounts.get(account)) {
            fields.push(("x-account", account.clone()));
        }
        if attempt > 0 {
            fields.push(("x-repeat", "1".into()));
        }
        if class.keyed {
            fields.push(("idempotency-key", format!("{:x}-{}", self.setup.seed, request.number)));
        }
        let method = request.method.clone().unwrap_or_else(|| class.method.clone());
        connection::Message { method, path, fields, body: request.body }
    }
}

/// Returns the outcome for a connection that could not be established.
fn end_of(error: &io::Error) -> End {
    // ENFILE (23) and EMFILE (24): the limit of file descriptors of the system or of the process.
    match error.raw_os_error() {
        Some(23 | 24) => End::NoDescriptor,
        _ => End::NoConnection,
    }
}
