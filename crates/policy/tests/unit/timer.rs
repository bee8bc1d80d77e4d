//! Timer tokens.

use super::*;

const ALL: [(u64, Timer); 7] = [
    (1, Timer::QueueTimeout(RequestId(u32::MAX))),
    (2, Timer::Hedge(RequestId(u32::MAX))),
    (3, Timer::Dispatch),
    (4, Timer::DiscoveryPoll),
    (5, Timer::Retry(RequestId(u32::MAX))),
    (6, Timer::CloseIdleConnections(EndpointId(7))),
    (7, Timer::KeyCooldown),
];

#[test]
fn only_timers_of_requests_have_a_request_id() {
    for (_, timer) in ALL {
        let request = match timer {
            Timer::QueueTimeout(id) | Timer::Hedge(id) | Timer::Retry(id) => Some(id),
            _ => None,
        };
        assert_eq!(timer.encode().request(), request, "{timer:?}");
    }
    assert_eq!(Timer::Hedge(RequestId(u32::MAX)).encode().request(), Some(RequestId(u32::MAX)));
    assert_eq!(Timer::CloseIdleConnections(EndpointId(7)).encode().request(), None);
}

#[test]
fn tokens_have_fixed_kind_numbers_and_decode_to_their_timer() {
    for (kind, timer) in ALL {
        assert_eq!(timer.encode().0 >> 32, kind, "{timer:?}");
        assert_eq!(Timer::decode(timer.encode()), Some(timer));
    }
    assert_eq!(Timer::CloseIdleConnections(EndpointId(7)).encode(), TimerToken(6 << 32 | 7));
    assert_eq!(Timer::Dispatch.encode(), TimerToken(3 << 32));
}

#[test]
fn tokens_of_unknown_kinds_are_ignored() {
    for token in [TimerToken(0), TimerToken(8 << 32), TimerToken(u64::MAX)] {
        assert_eq!((Timer::decode(token), token.request()), (None, None));
    }
}
