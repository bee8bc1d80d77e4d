//! The platform's node: told by `EDGE_CONFIG` and the environment, one pool that discovery lists, clients that send
//! the platform's headers.

pub mod admission;
pub mod config;

use std::error::Error;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::task;

use crate::net::ask::Held;
use crate::net::connections::Connections;
use crate::net::core::{Core, Setup, Source};
use crate::net::front::budget::Budget;
use crate::net::front::{self, Ending, Front, Options};
use crate::net::http::answer::Reader;
use crate::net::http::upstream::Upstream;
use crate::net::room::Room;
use crate::net::verdict::Reading;
use crate::places::Places;
use admission::Platform;
use config::Config;

/// Longest body of a request.
const LONGEST_BODY: usize = 64 << 10;
/// Longest body of an answer. The protocol says 64 KiB, but servers have been seen to send good ones of 400 KB.
const LONGEST_ANSWER: u64 = 1 << 20;
/// Long answers may take this part of the memory: the rest of it is for connections and requests.
const LONG_SHARE: usize = 4;
/// Within 3 s of connecting a client is owed an error or a close; a usual one needs milliseconds.
const PATIENCE: Duration = Duration::from_millis(2_000);
/// 2 s is the least, and a new connection costs little.
const KEEP: Duration = Duration::from_secs(15);
/// SIGKILL comes no sooner than the longest deadline, this at most, and 0.7 s more.
const LAST_DEADLINE: Duration = Duration::from_secs(3);

/// Serves until SIGTERM.
///
/// # Errors
/// What keeps it from starting, or an event loop that ended.
pub async fn serve() -> Result<(), Box<dyn Error>> {
    let config = Config::load()?;
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let listener =
        front::listen(config.listen).map_err(|error| format!("listen on {}: {error}", config.listen))?;
    eprintln!("{} listens on {}", config.name, listener.local_addr()?);
    let places = Places::of(config.sockets, 1);
    let ceilings = &config.boot.ceilings;
    let span = Duration::from_nanos;
    let reader = Reader {
        reading: Reading::Platform,
        longest: LONGEST_ANSWER,
        longest_unstated: LONGEST_BODY as u64,
        room: Room::new(config.memory / LONG_SHARE),
    };
    let connections = Connections::new(places.servers);
    let (dial, idle) = (span(ceilings.dial_timeout_ns), span(ceilings.conn_idle_ns));
    let setup = Setup {
        settings: config.settings.clone(),
        seed: config.seed,
        zones: config.boot.zones.clone(),
        source: Source::Watch { discovery: config.discovery, known: Some(config.known.clone()) },
        transport: Upstream::new(connections, dial, idle, reader),
    };
    let held = Held::default();
    let (core, handle) = Core::new(setup, held.clone());
    let longest = config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    let options = Options {
        patience: PATIENCE,
        keep: KEEP,
        longest_body: LONGEST_BODY,
        most_held: ceilings.most_held,
        last_deadline: span(longest).min(LAST_DEADLINE),
        healthz: true,
    };
    let admission = Rc::new(Platform::new(&config, handle.clone()));
    let budget = Budget::new(places.clients, config.sockets);
    let to_core = handle.clone();
    let front = Front::new(admission, held, options, budget, move || to_core.give_up());
    let core = task::spawn_local(core.run());
    task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            match config::moved() {
                Ok(address) => {
                    eprintln!("configuration read again: discovery at {address}");
                    handle.move_discovery(address);
                }
                Err(error) => eprintln!("the old configuration stays: {error}"),
            }
        }
    });
    let stop = async move {
        term.recv().await;
        Ending::Process
    };
    tokio::select! {
        () = front.run(listener, stop) => Ok(()),
        ended = core => Err(format!("the event loop ended: {ended:?}").into()),
    }
}
