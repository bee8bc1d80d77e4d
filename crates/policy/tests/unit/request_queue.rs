//! Order of the queue, and expected wait.

use super::*;

fn drain(queue: &mut RequestQueue) -> Vec<u32> {
    let mut ids = Vec::new();
    while let Some(entry) = queue.first() {
        ids.push(entry.id.0);
        queue.remove(&entry);
    }
    ids
}

#[test]
fn tiers_are_served_in_order_and_each_in_order_of_arrival() {
    let mut queue = RequestQueue::default();
    let arrivals = [PriorityTier::Low, PriorityTier::High, PriorityTier::Medium, PriorityTier::High];
    for (id, tier) in (1..).zip(arrivals) {
        queue.push(RequestId(id), tier, 1.0);
    }
    assert_eq!(queue.len(), 4);
    assert_eq!(drain(&mut queue), [2, 4, 3, 1]);
    assert!(queue.is_empty());
}

#[test]
fn only_the_highest_tier_is_ordered_by_weight() {
    for (tier, order) in [(PriorityTier::Highest, [2, 1, 3]), (PriorityTier::High, [1, 2, 3])] {
        let mut queue = RequestQueue::default();
        for (id, weight) in [(1, 4.0), (2, 4.5), (3, 0.25)] {
            queue.push(RequestId(id), tier, weight);
        }
        assert_eq!(drain(&mut queue), order, "{tier:?}");
    }
}

#[test]
fn expected_wait_is_the_length_of_a_tier_divided_by_its_release_rate() {
    let mut queue = RequestQueue::default();
    for tenths in 1..=600 {
        queue.record_release(PriorityTier::Medium, tenths * SECOND / 10);
    }
    let now = 60 * SECOND;
    assert_eq!(queue.expected_wait(PriorityTier::Medium, now), 0.0);
    for id in 0..20 {
        queue.push(RequestId(id), PriorityTier::Medium, 1.0);
    }
    let wait = queue.expected_wait(PriorityTier::Medium, now);
    assert!((1.9..2.1).contains(&wait), "20 requests at 10 a second: {wait} s");
    // A tier that was never served is assumed to leave at a small fraction of the rate of all tiers.
    queue.push(RequestId(99), PriorityTier::Low, 1.0);
    let wait = queue.expected_wait(PriorityTier::Low, now);
    assert!((1.9..2.1).contains(&wait), "1 request at 0.5 a second: {wait} s");
}
