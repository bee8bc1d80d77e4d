//! Timers of the module, and the tokens by which hosts identify them.

use crate::{EndpointId, RequestId, TimerToken};

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A request that is queued or waits for its key's turn has no time left.
    QueueTimeout(RequestId),
    /// An attempt is slow; a hedge may be sent.
    Hedge(RequestId),
    /// Dispatch of queued requests is tried again.
    Dispatch,
    /// Discovery is polled again.
    DiscoveryPoll,
    /// The retry decision for a request is made again.
    Retry(RequestId),
    /// The idle connections to a draining endpoint are closed again.
    CloseIdleConnections(EndpointId),
    /// The cooldown of a key has ended.
    KeyCooldown,
}

/// Kinds of timers in a token. Hosts may record tokens, so the numbers must not change.
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
    /// Returns the token: the kind in the upper half, an id or 0 in the lower half.
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

    /// Returns the timer of a token; `None` for a token that this module doesn't issue.
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
    /// Returns the request that the timer belongs to, if any. Once that request has its final answer and no
    /// attempt in flight, the timer has no effect, and a host may drop it.
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
