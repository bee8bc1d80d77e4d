//! Plays a scenario: starts the fleet, draws its load, does to it what the faults say, and gathers the history.

mod clients;
mod files;
mod process;
mod text;
mod views;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rustix::process::Signal;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use tracing::{debug, info, warn};

use crate::faults::{self, End, Sign, Step, steps};
use crate::history::{Event, EventKind, History, ListedHealth, ProcessState};
use crate::keeper::Keeper;
use crate::relay::{self, Lateness, Now, Tell};
use crate::relay_udp;
use crate::scenario::{Kind, Scenario};
use crate::stand::Change;
use crate::{Nanos, clock};
use process::{Lines, Process};

/// What is looked at again and again: what nodes hold, whether they live, how late the relay is.
const LOOK: Duration = Duration::from_millis(250);
/// How often the storm asks itself whether it is in time.
const PULSE: Duration = Duration::from_millis(20);
/// Far longer than a process takes to start or to end in order; what takes longer has failed.
const LIMIT: Duration = Duration::from_secs(30);
/// After the last request is due all have their ends within this: the client's own margin, and some.
const REST: Duration = Duration::from_millis(500);
/// Until a recording that was asked for is there.
const WRITTEN: Duration = Duration::from_secs(5);
/// A list that never changes again would not tell a node that has just come to listen from one that does not.
const SETTLE: Duration = Duration::from_millis(300);

/// What a storm is played with.
#[derive(Clone, Debug)]
pub struct Tools {
    /// The shipped program.
    pub node: PathBuf,
    /// This program, whose other commands are stand-ins and the keeper.
    pub storm: PathBuf,
    /// Where files of nodes, their logs and recordings go.
    pub folder: PathBuf,
    /// All nodes that live at the end write recordings before they are ended.
    pub records: bool,
}

/// Events as they come, with times from the start.
#[derive(Clone, Default)]
pub(crate) struct Notes {
    events: Rc<RefCell<Vec<Event>>>,
    start: Rc<Cell<Nanos>>,
}

impl Notes {
    pub(crate) fn note(&self, what: EventKind) {
        self.note_at(clock::now(), what);
    }

    pub(crate) fn note_at(&self, at: Nanos, what: EventKind) {
        self.events.borrow_mut().push(Event { at: at.saturating_sub(self.start.get()), kind: what });
    }
}

/// Plays a scenario to its end.
///
/// # Errors
/// A fleet that does not come up, or a process that can't be started.
pub fn play(scenario: &Scenario, tools: &Tools) -> io::Result<History> {
    std::fs::create_dir_all(&tools.folder)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            played = storm(scenario, tools) => played,
            // Everything started is ended on the way out.
            came = tokio::signal::ctrl_c() => {
                came?;
                Err(io::Error::new(io::ErrorKind::Interrupted, "interrupted"))
            }
        }
    })
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    tools: &'a Tools,
    keeper: Keeper,
    notes: Notes,
    nodes: Vec<Option<Process>>,
    servers: Vec<Option<Process>>,
    epochs: Vec<u32>,
    discovery: Process,
    /// Where each node's clients, server links and discovery link come out, as processes come and go.
    exits: BTreeMap<(End, End), Rc<RefCell<SocketAddr>>>,
    links: BTreeMap<(End, End), (SocketAddr, Vec<Tell>)>,
    views: views::Views,
    /// Faults of links that are going on.
    linked: Vec<usize>,
    /// Faults of what servers do that are going on.
    manners: Vec<usize>,
    files: files::Files,
}

async fn storm(scenario: &Scenario, tools: &Tools) -> io::Result<History> {
    let notes = Notes::default();
    notes.start.set(clock::now());
    let late = Lateness::default();
    let mut fleet = Fleet::start(scenario, tools, notes.clone(), &late).await?;
    let doors: Vec<_> =
        (0..scenario.fleet.nodes).map(|node| fleet.links[&(End::Clients, End::Node(node))].0).collect();
    let start = Instant::now() + Duration::from_millis(50);
    let mut clients = clients::start(scenario, &doors, start, &notes);
    let mut todo = steps(scenario).into_iter().peekable();
    let end = start + Duration::from_secs_f64(scenario.span_s());
    let mut look = start;
    let _before = late.take();
    let lag = late.clone();
    let pulse = spawn_local(async move {
        // Whatever is late here is late for links and clients alike.
        loop {
            let due = clock::now() + PULSE.as_nanos() as Nanos;
            sleep(PULSE).await;
            lag.note(due);
        }
    });
    loop {
        let next = todo.peek().map_or(end, |(at, _)| start + Duration::from_nanos(*at));
        sleep_until(next.min(look).min(end)).await;
        if Instant::now() >= look {
            look += LOOK;
            fleet.look(&late);
        }
        while let Some((at, step)) = todo.peek().copied()
            && start + Duration::from_nanos(at) <= Instant::now()
        {
            todo.next();
            fleet.act(step).await?;
        }
        if Instant::now() >= end && todo.peek().is_none() {
            break;
        }
    }
    while clients.join_next().await.is_some() {}
    sleep(REST).await;
    fleet.look(&late);
    if tools.records {
        fleet.record().await?;
    }
    fleet.end().await;
    let read = fleet.files.read(scenario.fleet.nodes, &tools.node)?;
    read.into_iter().for_each(|what| fleet.notes.note(what));
    // What processes wrote last may still be on its way through their pipes.
    sleep(REST).await;
    pulse.abort();
    drop(fleet);
    Ok(History::of(notes.events.take()))
}

impl<'a> Fleet<'a> {
    async fn start(
        scenario: &'a Scenario,
        tools: &'a Tools,
        notes: Notes,
        late: &Lateness,
    ) -> io::Result<Self> {
        let mut keeper = Keeper::start(&tools.storm)?;
        let (nodes, servers) = (scenario.fleet.nodes, scenario.fleet.servers);
        let discovery = Process::stand_in(tools, &["discover", &nodes.to_string()], &mut keeper)?;
        let at_discovery = discovery.hello(LIMIT).await?;
        discovery.lines(notes.clone());
        let mut fleet = Self {
            scenario,
            tools,
            keeper,
            notes,
            nodes: (0..nodes).map(|_| None).collect(),
            servers: (0..servers).map(|_| None).collect(),
            epochs: vec![0; servers],
            discovery,
            exits: BTreeMap::new(),
            links: BTreeMap::new(),
            views: views::Views::new(nodes),
            linked: Vec::new(),
            manners: Vec::new(),
            files: files::Files::new(&tools.folder, scenario.seed),
        };
        fleet.files.clear(nodes)?;
        let mut pairs = Vec::new();
        let nowhere: SocketAddr = ([127, 0, 0, 1], 9).into();
        for (node, discovery) in (0..nodes).zip(at_discovery) {
            pairs.push((End::Clients, End::Node(node), nowhere));
            pairs.push((End::Node(node), End::Discovery, discovery));
            pairs.extend((0..servers).map(|server| (End::Node(node), End::Server(server), nowhere)));
            let others = (0..nodes).filter(|other| *other != node && scenario.fleet.members);
            pairs.extend(others.map(|other| (End::Node(node), End::Node(other), nowhere)));
        }
        for (number, (from, to, exit)) in pairs.into_iter().enumerate() {
            let exit = Rc::new(RefCell::new(exit));
            let state = faults::state(&scenario.fleet.links, &[], from, to);
            let seed = scenario.seed.wrapping_mul(1 << 20).wrapping_add((number as u64) << 32);
            let link = if matches!((from, to), (End::Node(_), End::Node(_))) {
                let (address, tells) = relay_udp::open_both(exit.clone(), state, seed, late.clone()).await?;
                (address, tells.into())
            } else {
                let (address, tell) = relay::open(exit.clone(), state, seed, late.clone()).await?;
                (address, vec![tell])
            };
            fleet.exits.insert((from, to), exit);
            fleet.links.insert((from, to), link);
        }
        for server in 0..servers {
            fleet.start_server(server).await?;
        }
        for node in 0..nodes {
            fleet.start_node(node).await?;
        }
        // Their first list: what is asked before it comes is held, and that is no part of the storm.
        sleep(SETTLE).await;
        Ok(fleet)
    }

    async fn start_server(&mut self, server: usize) -> io::Result<()> {
        let fleet = &self.scenario.fleet;
        let epoch = self.epochs[server];
        let cold_s = if epoch == 0 { 0.0 } else { fleet.cold.0 };
        let process = Process::stand_in(
            self.tools,
            &[
                "server",
                &format!("--number={server}"),
                &format!("--epoch={epoch}"),
                &format!("--places={}", fleet.places),
                &format!("--takes-ms={}", fleet.takes_ms),
                &format!("--cold-s={cold_s}"),
                &format!("--cold-from={}", fleet.cold.1),
            ],
            &mut self.keeper,
        )?;
        let listens = process.hello(LIMIT).await?;
        let address = *listens.first().ok_or(io::ErrorKind::UnexpectedEof)?;
        process.lines(self.notes.clone());
        self.servers[server] = Some(process);
        self.mind(server)?;
        for ((_, to), exit) in &self.exits {
            if *to == End::Server(server) {
                *exit.borrow_mut() = address;
            }
        }
        self.notes.note(EventKind::EndpointState { server, epoch, state: ProcessState::Running });
        self.list(server, ListedHealth::Active)
    }

    fn list(&mut self, server: usize, listed: ListedHealth) -> io::Result<()> {
        let dials =
            (0..self.scenario.fleet.nodes).map(|node| self.links[&(End::Node(node), End::Server(server))].0);
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let born_ms = if self.epochs[server] == 0 { 0 } else { born.as_millis() as u64 };
        let change = Change { server, listed, dials: dials.collect(), born_ms };
        self.discovery.write(&serde_json::to_string(&change)?)
    }

    async fn start_node(&mut self, node: usize) -> io::Result<()> {
        let file = self.tools.folder.join(format!("n{node}.conf"));
        std::fs::create_dir_all(self.files.of(node))?;
        std::fs::write(&file, self.text(node))?;
        let (process, listens) = Process::node(self.tools, node, &file, &mut self.keeper, LIMIT).await?;
        for ((from, to), exit) in &self.exits {
            if *to == End::Node(node) {
                let of_members = matches!(from, End::Node(_));
                *exit.borrow_mut() =
                    if of_members { listens.fleet.unwrap_or(listens.clients) } else { listens.clients };
            }
        }
        self.views.started(node, listens.calls);
        self.nodes[node] = Some(process);
        debug!("node {node} listens for clients on {}", listens.clients);
        self.notes.note(EventKind::NodeState { node, state: ProcessState::Running });
        Ok(())
    }

    async fn act(&mut self, step: Step) -> io::Result<()> {
        match step {
            Step::Begin(number) => self.say(number, true),
            Step::Over(number) => self.say(number, false),
            Step::Node(node, sign) => {
                if let Some(state) = sign_to(&mut self.nodes[node], sign) {
                    self.notes.note(EventKind::NodeState { node, state });
                }
            }
            Step::Start(node) => {
                if let Some(process) = &mut self.nodes[node] {
                    if !process.is_told() {
                        return Ok(());
                    }
                    process.ended(LIMIT).await;
                    self.notes.note(EventKind::NodeState { node, state: ProcessState::Down });
                }
                // One that does not come up again is what a storm is there to find.
                if let Err(error) = self.start_node(node).await {
                    warn!("node {node} does not come up again: {error}");
                    self.nodes[node] = None;
                    self.notes.note(EventKind::NodeCrashed { node, text: error.to_string() });
                }
            }
            Step::Server(server, sign) => {
                if let Some(state) = sign_to(&mut self.servers[server], sign) {
                    self.notes.note(EventKind::EndpointState { server, epoch: self.epochs[server], state });
                }
            }
            Step::StartServer(server) => {
                if self.servers[server].as_ref().is_some_and(|process| !process.is_told()) {
                    return Ok(());
                }
                self.epochs[server] += 1;
                self.start_server(server).await?;
            }
            Step::List(server, leaving) => {
                self.list(server, if leaving { ListedHealth::Draining } else { ListedHealth::Active })?;
            }
            Step::Links(number) => self.relink(number),
            Step::Manners(number) => {
                toggle(&mut self.manners, number);
                for server in 0..self.scenario.fleet.servers {
                    self.mind(server)?;
                }
            }
            Step::Harm(node, how) => self.files.harm(node, how)?,
            Step::Full(node, full) => {
                // One that is down has nothing to write.
                if let Some(process) = self.nodes[node].as_ref().filter(|process| !process.is_told()) {
                    process.full(full)?;
                }
            }
            Step::Record(node) => {
                if let Some(process) = self.nodes[node].as_mut().filter(|process| !process.is_told()) {
                    process.send(Signal::USR1)?;
                }
            }
        }
        Ok(())
    }

    fn say(&self, number: usize, begins: bool) {
        let fault = &self.scenario.fault[number];
        let (text, nodes, liars) = (fault.words(), fault.kind.nodes().to_vec(), fault.kind.liars().to_vec());
        let clients = fault.kind.is_of_clients();
        info!("{} {text}", if begins { "from now on" } else { "no more:" });
        self.notes.note(EventKind::Fault { number, text, begins, nodes, clients, liars });
    }

    /// Tells a server what it is to do beside its work.
    fn mind(&mut self, server: usize) -> io::Result<()> {
        let going_on: Vec<_> = self.manners.iter().map(|number| &self.scenario.fault[*number]).collect();
        let manner = faults::manner(&going_on, server);
        match self.servers[server].as_mut().filter(|process| !process.is_told()) {
            Some(process) => process.write(&serde_json::to_string(&manner)?),
            None => Ok(()),
        }
    }

    /// A fault of links begins, or ends where it has begun: sets all links as those that are going on want them.
    fn relink(&mut self, number: usize) {
        let begins = toggle(&mut self.linked, number);
        let faults: Vec<_> = self.linked.iter().map(|number| &self.scenario.fault[*number]).collect();
        let forgets = matches!(self.scenario.fault[number].kind, Kind::Link { forgets: true, .. }) && !begins;
        let own = [&self.scenario.fault[number]];
        for (&(from, to), (_, tells)) in &self.links {
            let state = faults::state(&self.scenario.fleet.links, &faults, from, to);
            let usual = faults::state(&self.scenario.fleet.links, &[], from, to);
            let concerned = faults::state(&self.scenario.fleet.links, &own, from, to) != usual;
            for tell in tells {
                let resets = tell.borrow().resets + u32::from(forgets && concerned);
                let now = Now { state: state.clone(), resets };
                if *tell.borrow() != now {
                    tell.send_replace(now);
                }
            }
        }
    }

    /// What nodes hold, and whether any has ended by itself.
    fn look(&mut self, late: &Lateness) {
        self.notes.note(EventKind::HarnessLag { most_us: late.take() });
        if self.scenario.fleet.members {
            self.views.look(&self.notes);
        }
        for (node, process) in self.nodes.iter_mut().enumerate() {
            let Some(process) = process else { continue };
            if let Some(text) = process.crashed() {
                warn!("node {node} ended by itself: {text}");
                self.notes.note(EventKind::NodeCrashed { node, text });
                self.notes.note(EventKind::NodeState { node, state: ProcessState::Down });
            } else if let Some((descriptors, memory_kib)) = process.holds() {
                self.notes.note(EventKind::ResourceUsage { node, descriptors, memory_kib });
            }
        }
    }

    /// Has all nodes that live write recordings.
    async fn record(&mut self) -> io::Result<()> {
        let before = self.files.recordings(self.nodes.len())?;
        let mut asked = 0;
        for process in self.nodes.iter_mut().flatten().filter(|process| !process.is_told()) {
            process.send(Signal::USR1)?;
            asked += 1;
        }
        let written = async {
            while self.files.recordings(self.nodes.len())?.difference(&before).count() < asked {
                sleep(LOOK).await;
            }
            io::Result::Ok(())
        };
        // A node that writes none says why in its log.
        timeout(WRITTEN, written).await.unwrap_or(Ok(()))
    }

    /// Ends all in order; what does not end is killed as it is dropped.
    async fn end(&mut self) {
        self.views.end();
        for (node, process) in self.nodes.iter_mut().enumerate() {
            if let Some(state) = sign_to(process, Sign::End) {
                self.notes.note(EventKind::NodeState { node, state });
            }
        }
        for process in self.nodes.iter_mut().flatten() {
            process.ended(LIMIT).await;
        }
    }
}

/// Adds a number to those that go on, or takes it out where it does; whether it goes on now.
fn toggle(going_on: &mut Vec<usize>, number: usize) -> bool {
    let before = going_on.len();
    going_on.retain(|other| *other != number);
    let begins = going_on.len() == before;
    going_on.extend(begins.then_some(number));
    begins
}

/// Sends a signal to a process that can take it, and tells what it is then.
fn sign_to(process: &mut Option<Process>, sign: Sign) -> Option<ProcessState> {
    let process = process.as_mut().filter(|process| !process.is_told())?;
    let (signal, state) = match sign {
        Sign::Stop => (Signal::STOP, ProcessState::Paused),
        Sign::Continue => (Signal::CONT, ProcessState::Resumed),
        Sign::Kill => (Signal::KILL, ProcessState::Down),
        Sign::End => (Signal::TERM, ProcessState::Stopping),
    };
    process.send(signal).ok()?;
    Some(state)
}

/// For all draws of a scenario's load.
pub(crate) fn rng(scenario: &Scenario, part: u64) -> StdRng {
    StdRng::seed_from_u64(scenario.seed.wrapping_mul(1_000_003).wrapping_add(part))
}

/// Events that stand-ins wrote, as they come.
pub(crate) fn gather(mut lines: Lines, notes: Notes) {
    spawn_local(async move {
        while let Some(line) = lines.recv().await {
            if let Ok(event) = serde_json::from_str::<Event>(&line) {
                notes.note_at(event.at, event.kind);
            }
        }
    });
}

/// A built program: it lies beside this one, or above the tests of it.
///
/// # Errors
/// Where it is not there.
pub fn built(name: &str) -> io::Result<PathBuf> {
    pumicehead_testbed::program::built(name)
}

/// A new empty folder in the system's place for such.
///
/// # Errors
/// One that can't be made.
pub fn folder(name: &str) -> io::Result<PathBuf> {
    let path = std::env::temp_dir().join(format!("pumicehead-chaos-{}-{name}", std::process::id()));
    if Path::new(&path).exists() {
        std::fs::remove_dir_all(&path)?;
    }
    std::fs::create_dir_all(&path)?;
    Ok(path)
}
