//! Sends requests at their times, on threads of their own, and counts what becomes of them.

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

/// The runtime's timers tick by the millisecond; the last part of a wait is spent looking at the clock.
const TICK: Duration = Duration::from_millis(2);
/// A run whose generator came late to more than this share of requests, or was out of breath at them, says nothing.
pub const MOST_LATE: f64 = 0.01;
/// Pause before a client asks again, where it was not told when.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What is spoken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1 with the platform's headers.
    Platform,
    /// HTTP/1.1.
    Http,
    /// FastCGI.
    FastCgi,
}

/// How a run is made.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Whom to ask; connections are dealt out among them.
    pub targets: Vec<SocketAddr>,
    /// How.
    pub protocol: Protocol,
    /// Threads.
    pub threads: usize,
    /// Connections at the same time, over all threads.
    pub connections: usize,
    /// Clients that ask one request after another, in place of the schedule's times: only to show what that hides.
    pub closed: Option<usize>,
    /// Waits by timers alone: up to 2 ms late, but it leaves the processor to others.
    pub relaxed: bool,
    /// Part of the names of requests, so that two runs differ.
    pub seed: u64,
}

/// Counts that can be read while a run goes on.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests that were due.
    pub due: AtomicU64,
    /// Requests that have ended.
    pub ended: AtomicU64,
    /// Those that were served.
    pub served: AtomicU64,
}

/// Runs a plan to its end.
///
/// # Errors
/// Threads that can't be started.
pub fn run(plan: &Plan, setup: &Setup, progress: &Arc<Progress>) -> io::Result<Tally> {
    let classes =
        || plan.mix().classes.iter().map(|class| (class.name.clone(), class.aim_ms * (SECOND / 1_000)));
    let threads = setup.threads.max(1);
    // All begin at one moment, some time from now, so that starting threads makes nobody late.
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
                // The closed loop has no times to keep.
                if lane.setup.closed.is_none() {
                    tally.breathless = held(&slack).breathless(since(start, Instant::now()));
                }
                Ok(tally)
            })
        })
        .collect::<io::Result<_>>()?;
    let mut all = Tally::new(classes());
    for lane in lanes {
        all.merge(&lane.join().map_err(|_| io::Error::other("a thread failed"))??);
    }
    Ok(all)
}

/// A runtime that notes when its thread sleeps for want of anything to do.
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

/// A thread's part of a run.
struct Lane {
    number: usize,
    start: Instant,
    /// Only this thread uses it; its runtime's hooks ask for a type that could be shared.
    slack: Arc<Mutex<Slack>>,
    /// How often a request's task went on: a turn of the loop in which none did was idle.
    polls: Cell<u64>,
    places: Arc<Semaphore>,
    /// Without places of their own: a request takes the one that was used last, so there are never more open than
    /// were needed at once.
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
                // Where the request's own task begins, not where it is made: a thread that makes them in time but
                // has no time to run them is late all the same.
                let late = Instant::now().saturating_duration_since(due);
                lane.tally.borrow_mut().came(late.as_nanos() as Nanos);
                let story = lane.ask(&request, due).await;
                lane.note(&story);
            }));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Clients that wait for their answers, and so never see what they did not ask.
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

    /// A request's task, whose steps are counted.
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

    /// A request's story, with a second try where clients make one. Latency counts from `due` to the last end.
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

    /// One try: its end, when it was sent, and when it may be made again.
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
            // Dropped, it closes its connection: the client is gone.
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

/// Why a connection did not come up.
fn end_of(error: &io::Error) -> End {
    // EMFILE and ENFILE: the process's own bound, or the system's.
    match error.raw_os_error() {
        Some(23 | 24) => End::NoDescriptor,
        _ => End::NoConnection,
    }
}
