//! Key queues and cooldowns.

use super::*;
use crate::SECOND;

#[test]
fn requests_of_a_key_get_their_turn_in_order_of_arrival() {
    let mut keys = OrderedKeys::default();
    for id in [1, 2, 3] {
        keys.push(7, RequestId(id));
    }
    keys.remove(7, RequestId(2));
    assert_eq!(keys.first_ready(7, 0), Some(RequestId(1)));
    assert!(keys.turn(7, RequestId(1), 0).is_first && !keys.turn(7, RequestId(3), 0).is_first);
    keys.remove(7, RequestId(1));
    assert_eq!(keys.first_ready(7, 0), Some(RequestId(3)));
}

#[test]
fn a_key_in_cooldown_has_no_ready_request_and_is_returned_once_afterwards() {
    let mut keys = OrderedKeys::default();
    keys.push(7, RequestId(1));
    keys.start_cooldown(7, SECOND);
    assert_eq!(keys.turn(7, RequestId(1), SECOND - 1), KeyTurn { is_first: true, is_cooled_down: false });
    assert_eq!((keys.first_ready(7, SECOND - 1), keys.pop_cooled_down(SECOND - 1)), (None, None));
    assert_eq!(keys.turn(7, RequestId(1), SECOND), KeyTurn { is_first: true, is_cooled_down: true });
    assert_eq!((keys.pop_cooled_down(SECOND), keys.pop_cooled_down(SECOND)), (Some(7), None));
    assert_eq!(keys.first_ready(7, SECOND), Some(RequestId(1)));
}

#[test]
fn the_state_of_an_idle_key_is_freed() {
    let mut keys = OrderedKeys::default();
    keys.push(7, RequestId(1));
    keys.remove(7, RequestId(1));
    assert_eq!(keys.first_ready(7, 0), None);
    assert!(keys.queues.is_empty());
    assert_eq!(keys.turn(7, RequestId(1), 0), KeyTurn { is_first: false, is_cooled_down: true });
}
