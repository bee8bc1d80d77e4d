//! How many nodes share the servers, where the fleet's own view says so in place of the settings. Decides
//! nothing: subsets and shares of places are made of it as of the settings.

use super::Balancer;
use crate::{NodeShare, Settings};

impl Balancer {
    /// From now on so many nodes share the servers, and this one has this number.
    pub(super) fn share(&mut self, sharing: NodeShare) {
        let sharing = NodeShare { node_count: sharing.node_count.max(1), ..sharing };
        let moved = sharing.node_index != self.settings.node_index;
        self.advised.sharing = Some(sharing);
        (self.settings.node_index, self.settings.node_count) = (sharing.node_index, sharing.node_count);
        if moved {
            self.rerank();
        }
        self.refresh();
    }

    /// Settings as a file has them, with what the fleet says in place of what the file does.
    pub(super) fn shared(&self, settings: Settings) -> Settings {
        match self.advised.sharing {
            Some(NodeShare { node_index, node_count }) => Settings { node_index, node_count, ..settings },
            None => settings,
        }
    }
}
