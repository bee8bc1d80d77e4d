//! One real node: see `README.md`.

mod net;

use std::error::Error;
use std::process::ExitCode;

use net::config::{self, Config};
use net::core::Core;
use net::front::{self, Front};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{self, LocalSet};

/// Descriptors for the program itself: standard streams, the event loop, the listener, discovery, signals.
const OWN_SOCKETS: usize = 24;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pumicehead: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let config = Config::load()?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config))
}

async fn serve(config: Config) -> Result<(), Box<dyn Error>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let listener =
        front::listen(config.listen).map_err(|error| format!("listen on {}: {error}", config.listen))?;
    eprintln!("{} listens on {}", config.name, listener.local_addr()?);
    // Clients get the larger part: each holds one request, which has one attempt out or two.
    let places = config.sockets - OWN_SOCKETS;
    let (clients, backends) = (places * 6 / 10, places * 4 / 10);
    let (core, handle) = Core::new(&config, backends);
    let front = Front::new(handle.clone(), &config, clients - front::EXTRA);
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
    tokio::select! {
        () = front.run(listener, async move { term.recv().await; }) => Ok(()),
        ended = core => Err(format!("the event loop ended: {ended:?}").into()),
    }
}
