//! A node of its own: one configuration file, any number of listeners and pools, plain HTTP clients.

mod admission;
mod difference;
mod listeners;
mod pools;
mod reading;
mod record;
mod reload;
mod revision;
mod site;
mod touched;

use std::error::Error;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_admin::call::{Call, no, yes};
use pumicehead_config::model::Observe;
use pumicehead_flight_recorder::recorder::Level;
use pumicehead_policy::NodeShare;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::calls::{self, Answers};
use crate::eyes::{Eyes, Saving};
use crate::fleet::Fleet;
use crate::log::{Form, Log};
use crate::net::clock::Clock;
use crate::net::downstream;
pub use reading::Reading;
use record::Recorder;
use reload::reload_on;
use site::Site;

/// How often the fleet may be told of this node's load; it passes on far less of it.
const LOAD: Duration = Duration::from_secs(1);

/// Serves what a file says until SIGTERM; SIGHUP reads it again. `reading` is what the file said at the start. What is
/// asked is written to `record`.
///
/// # Errors
/// What keeps it from starting.
pub async fn serve(
    path: PathBuf,
    reading: Reading,
    record: Option<PathBuf>,
    log: Log,
) -> Result<(), Box<dyn Error>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let config = reading.checked().config.as_ref().ok_or("the configuration can't be used")?;
    let recorder = record
        .map(|file| Recorder::start(&file).map_err(|error| format!("record to {}: {error}", file.display())));
    let observe = &config.observe;
    set_log(&log, observe);
    let folder = Some(observe.recordings.clone()).filter(|folder| !folder.as_os_str().is_empty());
    // Hash tables are seeded from the system's source of randomness.
    let seed = RandomState::new().build_hasher().finish();
    let (memory, calls) = (observe.recorder, observe.calls);
    let saving = folder.map_or(Saving::Nowhere, Saving::OffLoop);
    let eyes = Eyes::new(&config.node.name, Clock::start(), memory as usize, seed, log, saving);
    if memory == 0 {
        eyes.set_level(Level::Off);
    }
    eyes.open()?;
    let listener = calls
        .map(|address| downstream::listen(address).map_err(|error| format!("listen on {address}: {error}")));
    let listener = listener.transpose()?;
    let fleet = match &config.fleet {
        Some(block) => Some(Fleet::start(block, &config.node, &eyes, seed).await?),
        None => None,
    };
    let digest =
        reading.difference().ok_or("the configuration was not compared")?.map_err(Clone::clone)?.digest;
    let site = Site::start(config, digest, recorder.transpose()?, eyes)?;
    // The node keeps copies: no text and no tree.
    drop(reading);
    if let Some(fleet) = &fleet {
        task::spawn_local(share(site.clone(), fleet.sharing()));
        task::spawn_local(tell_load(site.clone(), fleet.clone()));
    }
    if let Some(listener) = listener {
        info!(target: "node", "takes calls on {}", listener.local_addr()?);
        let staff = Rc::new(Staff { site: site.clone(), fleet: fleet.clone() });
        task::spawn_local(calls::serve(staff, listener));
    }
    let reloads = task::spawn_local(reload_on(site.clone(), path, async move || hangup.recv().await));
    term.recv().await;
    // A reload that is half done would bind listeners anew.
    reloads.abort();
    if let Some(fleet) = fleet {
        fleet.leave().await;
    }
    site.end().await;
    Ok(())
}

/// What the log tells and how, as a file has it.
fn set_log(log: &Log, observe: &Observe) {
    log.set_form(if observe.json { Form::Json } else { Form::Text });
    if let Err(error) = log.set_filter(&observe.log) {
        warn!(target: "settings", "log: {error}");
    }
}

/// Tells all pools how many nodes share their servers, whenever that changes.
async fn share(site: Rc<Site>, mut sharing: watch::Receiver<Option<NodeShare>>) {
    while sharing.changed().await.is_ok() {
        let now = *sharing.borrow_and_update();
        if let Some(now) = now {
            site.share(now);
        }
    }
}

/// Tells the fleet how much this node has to do.
async fn tell_load(site: Rc<Site>, fleet: Rc<Fleet>) {
    loop {
        sleep(LOAD).await;
        fleet.set_load(site.load());
    }
}

/// Who answers staff.
struct Staff {
    site: Rc<Site>,
    fleet: Option<Rc<Fleet>>,
}

impl Answers for Staff {
    async fn answer(&self, call: Call) -> Vec<u8> {
        let gauges = async || {
            let mut all = self.site.gauges().await;
            all.extend(self.fleet.iter().flat_map(|fleet| fleet.gauges()));
            all
        };
        if let Some(answer) = self.site.eyes().answer(&call, gauges).await {
            return answer;
        }
        let text = match (&call, &self.fleet) {
            (Call::Ping, _) if self.site.is_draining() => yes("serves what comes, and is emptied"),
            (Call::Ping, _) => yes(""),
            (Call::LameDuck | Call::Rejoin, fleet) => {
                let draining = call == Call::LameDuck;
                self.site.set_draining(draining);
                if let Some(fleet) = fleet {
                    fleet.set_lame(draining);
                }
                yes("")
            }
            (Call::Config, _) => {
                let active = self.site.active();
                yes(&format!("revision {} digest {}", active.revision, active.digest))
            }
            (Call::Members | Call::WhyMember(_), Some(fleet)) => fleet.answer(&call).unwrap_or_default(),
            (Call::Members | Call::WhyMember(_), None) => no("the configuration has no block `fleet`"),
            _ => no(
                "calls here are PING, LAMEDUCK, REJOIN, TRACE, METRICS, FILTER LEVELS, RECORD off|on|full, CONFIG, FLEET members, FLEET why NODE",
            ),
        };
        text.into_bytes()
    }
}
