//! Admin commands of a standalone node.

use std::rc::Rc;

use pumicehead_admin::command::{Command, error_reply, ok_reply};

use super::runtime::Runtime;
use crate::admin_listener::CommandHandler;
use crate::fleet::Fleet;

/// Reply to commands that only the platform's node supports.
const UNSUPPORTED: &str = "calls here are PING, LAMEDUCK, REJOIN, TRACE, METRICS, FILTER LEVELS, RECORD off|on|full, \
    CONFIG, FLEET members, FLEET why NODE";

/// Executes admin commands on a standalone node.
pub struct AdminHandler {
    /// The running node.
    pub runtime: Rc<Runtime>,
    /// The fleet membership, if the configuration has one.
    pub fleet: Option<Rc<Fleet>>,
}

impl AdminHandler {
    async fn gauges(&self) -> Vec<(&'static str, f64)> {
        let mut gauges = self.runtime.gauges().await;
        gauges.extend(self.fleet.iter().flat_map(|fleet| fleet.gauges()));
        gauges
    }

    fn reply(&self, command: &Command) -> String {
        match command {
            Command::Ping if self.runtime.is_lame_duck() => ok_reply("serves what comes, and is emptied"),
            Command::Ping => ok_reply(""),
            Command::LameDuck => self.set_lame_duck(true),
            Command::Rejoin => self.set_lame_duck(false),
            Command::Config => {
                let revision = self.runtime.revision();
                ok_reply(&format!("revision {} digest {}", revision.revision, revision.digest))
            }
            Command::Members | Command::ExplainMember(_) => match &self.fleet {
                Some(fleet) => fleet.reply(command).unwrap_or_default(),
                None => error_reply("the configuration has no block `fleet`"),
            },
            _ => error_reply(UNSUPPORTED),
        }
    }

    fn set_lame_duck(&self, is_lame_duck: bool) -> String {
        self.runtime.set_lame_duck(is_lame_duck);
        if let Some(fleet) = &self.fleet {
            fleet.set_lame_duck(is_lame_duck);
        }
        ok_reply("")
    }
}

impl CommandHandler for AdminHandler {
    async fn handle(&self, command: Command) -> Vec<u8> {
        let introspection = self.runtime.introspection();
        match introspection.reply(&command, async || self.gauges().await).await {
            Some(reply) => reply,
            None => self.reply(&command).into_bytes(),
        }
    }
}
