//! What a timer of the module is about: a kind in the upper half of its token, an id in the lower.

use crate::{RequestId, TimerToken};

/// A held request is nearly out of time.
pub(crate) const T_GIVE_UP: u64 = 1;
/// An attempt takes long: another may be sent.
pub(crate) const T_HEDGE: u64 = 2;
/// Held requests are looked at again.
pub(crate) const T_PUMP: u64 = 3;
/// The list of servers is asked for again.
pub(crate) const T_ASK: u64 = 4;
/// What becomes of a request is decided again.
pub(crate) const T_AGAIN: u64 = 5;
/// A draining server's idle connections are closed again.
pub(crate) const T_HANG_UP: u64 = 6;
/// A key has rested.
pub(crate) const T_TURN: u64 = 7;

impl TimerToken {
    pub(crate) fn new(kind: u64, about: u32) -> Self {
        Self(kind << 32 | u64::from(about))
    }

    pub(crate) fn kind(self) -> u64 {
        self.0 >> 32
    }

    pub(crate) fn about(self) -> u32 {
        self.0 as u32
    }

    /// The request that it is about, if any: once that has its final answer and no attempt out, the timer
    /// does nothing, and a host may drop it.
    pub fn request(self) -> Option<RequestId> {
        matches!(self.kind(), T_GIVE_UP | T_HEDGE | T_AGAIN).then(|| RequestId(self.about()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_timers_about_requests_name_one() {
        for kind in [T_GIVE_UP, T_HEDGE, T_AGAIN] {
            assert_eq!(TimerToken::new(kind, u32::MAX).request(), Some(RequestId(u32::MAX)));
        }
        for kind in [T_PUMP, T_ASK, T_HANG_UP, T_TURN] {
            let token = TimerToken::new(kind, 7);
            assert_eq!((token.request(), token.kind(), token.about()), (None, kind, 7));
        }
    }
}
