//! How many nodes share the servers, where the fleet's own view says so in place of the settings. Decides nothing: subsets and
//! shares of places are made of it as of the settings.

use super::Balancer;
use crate::interface::{Settings, Sharing};

impl Balancer {
    /// From now on so many nodes share the servers, and this one has this number.
    pub(super) fn share(&mut self, sharing: Sharing) {
        let sharing = Sharing { nodes: sharing.nodes.max(1), ..sharing };
        let moved = sharing.me != self.settings.me;
        self.advised.sharing = Some(sharing);
        (self.settings.me, self.settings.nodes) = (sharing.me, sharing.nodes);
        if moved {
            self.rerank();
        }
        self.refresh();
    }

    /// Settings as a file has them, with what the fleet says in place of what the file does.
    pub(super) fn shared(&self, settings: Settings) -> Settings {
        match self.advised.sharing {
            Some(Sharing { me, nodes }) => Settings { me, nodes, ..settings },
            None => settings,
        }
    }
}
