//! Number of nodes that share the endpoints, where the nodes themselves have agreed on it instead of the
//! settings.

use crate::balancer::Balancer;
use crate::{NodeShare, Settings};

impl Balancer {
    /// Applies a new number of nodes and index of this node.
    pub(crate) fn on_node_share(&mut self, share: NodeShare) {
        let share = NodeShare { node_count: share.node_count.max(1), ..share };
        let is_moved = share.node_index != self.settings.node_index;
        self.node_share = Some(share);
        (self.settings.node_index, self.settings.node_count) = (share.node_index, share.node_count);
        if is_moved {
            self.rebuild_preference_order();
        }
        self.refresh();
    }

    /// Returns the settings with the agreed number of nodes and index, if there are any.
    pub(crate) fn with_node_share(&self, settings: Settings) -> Settings {
        match self.node_share {
            Some(NodeShare { node_index, node_count }) => Settings { node_index, node_count, ..settings },
            None => settings,
        }
    }
}
