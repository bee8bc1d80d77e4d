//! The module's timers, and the tokens by which hosts know them.

use crate::{EndpointId, RequestId, TimerToken};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A queued request has no time left.
    QueueTimeout(RequestId),
    /// An attempt takes long: another may be sent.
    Hedge(RequestId),
    /// Queued requests are looked at again.
    Dispatch,
    /// Discovery is polled again.
    DiscoveryPoll,
    /// Whether a request is retried is decided again.
    Retry(RequestId),
    /// A draining endpoint's idle connections are closed again.
    CloseIdleConnections(EndpointId),
    /// A key's cooldown is over.
    KeyCooldown,
}

/// The kinds of timers in a token; hosts may record tokens, so the numbers are fixed.
mod kind {
    pub const QUEUE_TIMEOUT: u32 = 1;
    pub const HEDGE: u32 = 2;
    pub const DISPATCH: u32 = 3;
    pub const DISCOVERY_POLL: u32 = 4;
    pub const RETRY: u32 = 5;
    pub const CLOSE_IDLE_CONNECTIONS: u32 = 6;
    pub const KEY_COOLDOWN: u32 = 7;
}

impl Timer {
    /// The token: the kind in its upper half, an id or 0 in its lower.
    pub fn encode(self) -> TimerToken {
        let (kind, id) = match self {
            Self::QueueTimeout(request) => (kind::QUEUE_TIMEOUT, request.0),
            Self::Hedge(request) => (kind::HEDGE, request.0),
            Self::Dispatch => (kind::DISPATCH, 0),
            Self::DiscoveryPoll => (kind::DISCOVERY_POLL, 0),
            Self::Retry(request) => (kind::RETRY, request.0),
            Self::CloseIdleConnections(endpoint) => (kind::CLOSE_IDLE_CONNECTIONS, endpoint.0),
            Self::KeyCooldown => (kind::KEY_COOLDOWN, 0),
        };
        TimerToken(u64::from(kind) << 32 | u64::from(id))
    }

    /// The timer of a token; `None` for one that this module has not made.
    pub fn decode(token: TimerToken) -> Option<Self> {
        let (kind, id) = ((token.0 >> 32) as u32, token.0 as u32);
        Some(match kind {
            kind::QUEUE_TIMEOUT => Self::QueueTimeout(RequestId(id)),
            kind::HEDGE => Self::Hedge(RequestId(id)),
            kind::DISPATCH => Self::Dispatch,
            kind::DISCOVERY_POLL => Self::DiscoveryPoll,
            kind::RETRY => Self::Retry(RequestId(id)),
            kind::CLOSE_IDLE_CONNECTIONS => Self::CloseIdleConnections(EndpointId(id)),
            kind::KEY_COOLDOWN => Self::KeyCooldown,
            _ => return None,
        })
    }
}

impl TimerToken {
    /// The request that the timer is for, if any. Once that has its final answer and no attempt in flight,
    /// the timer does nothing, and a host may drop it.
    #[must_use]
    pub fn request(self) -> Option<RequestId> {
        match Timer::decode(self)? {
            Timer::QueueTimeout(id) | Timer::Hedge(id) | Timer::Retry(id) => Some(id),
            Timer::Dispatch | Timer::DiscoveryPoll | Timer::CloseIdleConnections(_) | Timer::KeyCooldown => {
                None
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/timer.rs"]
mod tests;
