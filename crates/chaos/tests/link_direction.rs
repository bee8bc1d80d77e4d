//! Arrival times of bytes over one direction of a link.

use rand::SeedableRng;
use rand::rngs::StdRng;

use pumicehead_chaos::link::{LinkConditions, LinkDirection};
use pumicehead_chaos::{MS, SECOND};

fn rng() -> StdRng {
    StdRng::seed_from_u64(7)
}

#[test]
fn datagrams_have_the_configured_loss_duplication_and_latency() {
    let on = LinkConditions {
        latency_ms: 20.0,
        jitter_ms: 10.0,
        loss: 0.2,
        duplication: 0.1,
        ..Default::default()
    };
    let (mut rng, mut direction) = (rng(), LinkDirection::default());
    let all: Vec<_> =
        (0..20_000).map(|n| (n * MS, direction.datagram_arrivals(n * MS, 100, &on, &mut rng))).collect();
    let lost = all.iter().filter(|(_, copies)| copies.is_empty()).count() as f64 / 20_000.0;
    let twice = all.iter().filter(|(_, copies)| copies.len() == 2).count() as f64 / 20_000.0;
    assert!((lost - 0.2).abs() < 0.015 && (twice - 0.08).abs() < 0.01, "{lost} {twice}");
    let delays: Vec<_> =
        all.iter().filter_map(|(at, copies)| Some((copies.first()? - at) as f64 / MS as f64)).collect();
    let mean = delays.iter().sum::<f64>() / delays.len() as f64;
    assert!((mean - 30.0).abs() < 0.5 && delays.iter().all(|delay| *delay >= 20.0), "{mean}");
}

#[test]
fn streams_keep_their_order_and_reordered_datagrams_do_not() {
    let on = LinkConditions { latency_ms: 5.0, jitter_ms: 50.0, loss: 0.3, ..Default::default() };
    let (mut rng, mut direction) = (rng(), LinkDirection::default());
    let arrivals: Vec<_> =
        (0..2_000).filter_map(|n| direction.segment_arrival(n * MS, 100, &on, &mut rng)).collect();
    assert!(arrivals.len() == 2_000 && arrivals.is_sorted());
    let on = LinkConditions { latency_ms: 5.0, reorder: 0.3, ..Default::default() };
    let arrivals: Vec<_> =
        (0..2_000).flat_map(|n| direction.datagram_arrivals(n * MS, 100, &on, &mut rng)).collect();
    assert!(!arrivals.is_sorted());
}

#[test]
fn bandwidth_spreads_segments_sent_at_once() {
    let on = LinkConditions { bytes_per_s: 100_000, ..Default::default() };
    let (mut rng, mut direction) = (rng(), LinkDirection::default());
    let arrivals: Vec<_> =
        (0..10).filter_map(|_| direction.segment_arrival(0, 10_000, &on, &mut rng)).collect();
    assert_eq!(arrivals.last(), Some(&SECOND));
    assert_eq!(
        direction.segment_arrival(5 * SECOND, 0, &on, &mut rng),
        Some(5 * SECOND),
        "unused bandwidth does not accumulate"
    );
}

#[test]
fn conditions_out_of_range_are_rejected() {
    assert!(LinkConditions::default().validate().is_ok());
    for bad in [
        LinkConditions { loss: 1.0, ..Default::default() },
        LinkConditions { duplication: -0.1, ..Default::default() },
        LinkConditions { latency_ms: f64::NAN, ..Default::default() },
        LinkConditions { jitter_ms: 1e9, ..Default::default() },
    ] {
        assert!(bad.validate().is_err(), "{bad:?}");
    }
}

#[test]
fn nothing_arrives_over_a_partitioned_direction() {
    let (mut rng, mut direction) = (rng(), LinkDirection::default());
    let partitioned = LinkConditions { partitioned: true, ..Default::default() };
    assert_eq!(direction.segment_arrival(0, 1, &partitioned, &mut rng), None);
    assert!(direction.datagram_arrivals(0, 1, &partitioned, &mut rng).is_empty());
}
