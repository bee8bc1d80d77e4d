//! Schedules, and counting of results in virtual time; exact and deterministic.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use pumicehead_load_generator::mix::{Mix, Plan, PlannedRequest};
use pumicehead_load_generator::model::{ServerModel, Service, Stalls};
use pumicehead_load_generator::outcome::{Outcome, RequestResult, Tally};
use pumicehead_load_generator::schedule::{Arrivals, Schedule};
use pumicehead_load_generator::shape::{Shape, parse_duration, parse_rate};
use pumicehead_load_generator::virtual_time::{Mode, simulate};
use pumicehead_load_generator::{Nanos, SECOND};

const MS: Nanos = 1_000_000;

fn times(shape: &str, arrivals: Arrivals, span: Nanos, seed: u64) -> Vec<Nanos> {
    Schedule::new(shape.parse().unwrap(), arrivals, span, seed).collect()
}

fn plan(times: &[Nanos], client_timeout: Nanos) -> Vec<PlannedRequest> {
    let one = |(number, &at): (usize, &Nanos)| PlannedRequest {
        number: number as u64,
        at,
        class: 0,
        path: "/".into(),
        method: None,
        account: None,
        site: None,
        body: 0,
        client_timeout,
    };
    times.iter().enumerate().map(one).collect()
}

fn classes() -> Vec<(String, Nanos)> {
    vec![("a".into(), 100 * MS)]
}

fn fixed(service: Nanos, stalls: &[(Nanos, Nanos)], max_in_service: usize) -> ServerModel {
    ServerModel {
        service: Service::Fixed(service),
        delay: 0,
        stalls: Stalls(stalls.to_vec()),
        max_in_service,
        seed: 1,
    }
}

#[test]
fn even_arrivals_follow_the_integral_of_the_rate() {
    assert_eq!(times("constant:10/s", Arrivals::Even, SECOND, 1).len(), 10);
    let first = times("constant:10/s", Arrivals::Even, SECOND, 1)[0];
    assert!(first.abs_diff(50 * MS) < 1_000, "{first}");
    assert_eq!(times("ramp:0,100,10s", Arrivals::Even, 10 * SECOND, 1).len(), 500);
    assert_eq!(times("step:10,100,5s", Arrivals::Even, 10 * SECOND, 1).len(), 550);
    assert_eq!(times("burst:10,110,1s,1s,2s", Arrivals::Even, 10 * SECOND, 1).len(), 400);
    let on_off = times("onoff:100,1s,1s", Arrivals::Even, 4 * SECOND, 1);
    assert_eq!(on_off.len(), 200);
    assert!(on_off.iter().all(|at| (at / SECOND).is_multiple_of(2)));
    assert_eq!(times("diurnal:100,100%,4s", Arrivals::Even, 4 * SECOND, 1).len(), 400);
    assert_eq!(times("constant:10/s+step:0,10,1s", Arrivals::Even, 2 * SECOND, 1).len(), 30);
}

#[test]
fn zero_tiny_and_very_high_rates_are_met() {
    for arrivals in [Arrivals::Even, Arrivals::Poisson] {
        assert!(times("constant:0", arrivals, 3_600 * SECOND, 1).is_empty());
        assert!(times("step:0,0,1s", arrivals, SECOND, 1).is_empty());
    }
    let rare = times("constant:6/h", Arrivals::Even, 3_600 * SECOND, 1);
    assert_eq!(rare.len(), 6);
    assert!(rare[0].abs_diff(300 * SECOND) < SECOND);
    let many = times("constant:1000000/s", Arrivals::Even, SECOND, 1);
    assert_eq!(many.len(), 1_000_000);
    assert!(many.windows(2).all(|pair| pair[0] <= pair[1]) && many[999_999] < SECOND);
    let count = times("constant:1000000/s", Arrivals::Poisson, SECOND, 1).len() as f64;
    assert!((count - 1e6).abs() < 5.0 * 1e3, "{count}");
}

#[test]
fn equal_seeds_give_equal_requests_and_different_seeds_different_ones() {
    let requests = |seed| {
        let schedule =
            Schedule::new("diurnal:200,50%,5s".parse().unwrap(), Arrivals::Poisson, 5 * SECOND, seed);
        Plan::generated(schedule, Mix::default(), seed).collect::<Vec<_>>()
    };
    assert_eq!(requests(7), requests(7));
    assert_ne!(requests(7), requests(8));
    let all = requests(7);
    let submits = all.iter().filter(|request| request.class == 1).count() as f64 / all.len() as f64;
    assert!((submits - 0.44).abs() < 0.06, "{submits}");
    assert!(all.iter().all(|request| match request.class {
        0 => request.body == 0 && (4_200 * MS..=6_000 * MS).contains(&request.client_timeout),
        _ => (100..=400).contains(&request.body) && (840 * MS..=1_200 * MS).contains(&request.client_timeout),
    }));
    // Zipf's law: the most popular of a thousand keys has far more than a thousandth of the requests.
    let first = all.iter().filter(|request| request.path.ends_with("/0")).count();
    assert!(first * 20 > all.len(), "{first} of {}", all.len());
}

/// Guards against coordinated omission: a stall of two seconds delays each request that is due in it until its end, so
/// that the tail of the latencies has a closed form.
#[test]
fn simulated_open_loop_measures_a_stall_that_the_closed_loop_hides() {
    let span = 10 * SECOND;
    let arrivals = times("constant:1000/s", Arrivals::Even, span, 1);
    let model = fixed(MS, &[(4 * SECOND, 6 * SECOND)], usize::MAX);
    let open =
        simulate(&plan(&arrivals, 60 * SECOND), Mode::Open { connections: 100_000 }, &model, classes());
    assert_eq!((open.requests(), open.count_of(Outcome::Served)), (10_000, 10_000));
    let served = open.served();
    for share in [0.5, 0.79, 0.85, 0.9, 0.95, 0.99, 0.999] {
        let found = served.value_at_quantile(share) as f64 / 1e6;
        let expected = model.stalled_quantile(share, span) as f64 / 1e9;
        assert!((found - expected).abs() < 0.004, "{share}: {found} s, not {expected} s");
    }
    assert!(served.max() >= 1_999_000);
    // One fifth of the requests were due in the stall.
    assert_eq!(served.count_between(10_000, 10_000_000).div_ceil(100), 20);
    let closed = simulate(&plan(&arrivals, 60 * SECOND), Mode::Closed { clients: 10 }, &model, classes());
    let hidden = closed.served();
    // Each of ten clients met the stall once: among 80,000 responses it does not show at p99.9.
    assert!(hidden.len() > 50_000 && hidden.value_at_quantile(0.999) < 2_000);
    assert_eq!(hidden.count_between(10_000, 10_000_000), 10);
}

/// The time that a request waits for a free connection counts as latency, and a request that waits too long is reported
/// as not sent.
#[test]
fn waiting_for_a_connection_counts_as_latency_and_is_reported() {
    let arrivals: Vec<_> = (0..100).map(|n| n * MS).collect();
    let model = fixed(10 * MS, &[], usize::MAX);
    let tally = simulate(&plan(&arrivals, SECOND), Mode::Open { connections: 1 }, &model, classes());
    // Request n gets its response at 10 (n + 1) ms, after a latency of 10 (n + 1) - n ms.
    let (least, most) = (tally.served().min(), tally.served().max());
    assert!(least.abs_diff(10_000) < 20 && most.abs_diff(901_000) < 1_000, "{least} {most}");
    let tally = simulate(&plan(&arrivals, 200 * MS), Mode::Open { connections: 1 }, &model, classes());
    assert!(tally.count_of(Outcome::NoRoom) > 50 && tally.count_of(Outcome::GaveUp) < 3);
    assert_eq!(tally.requests(), 100);
}

#[test]
fn single_server_queue_delays_requests_and_late_differs_from_failed() {
    // Lindley's recursion: with an interval of 10 ms and a service time of 15 ms each request waits 5 ms longer than
    // the one before.
    let arrivals: Vec<_> = (0..20).map(|n| n * 10 * MS).collect();
    let mut server = fixed(15 * MS, &[], 1);
    let answers: Vec<_> = {
        let mut running = server.start();
        arrivals.iter().map(|&at| running.response_at(at) - at).collect()
    };
    assert!(answers.iter().enumerate().all(|(n, &took)| took == (15 + 5 * n as u64) * MS));
    let tally = simulate(&plan(&arrivals, SECOND), Mode::Open { connections: 100 }, &server, classes());
    // The latency is above 100 ms for the last two requests.
    assert_eq!((tally.classes[0].late, tally.count_of(Outcome::Served)), (2, 20));
    server.delay = 2 * SECOND;
    let tally = simulate(&plan(&arrivals, SECOND), Mode::Open { connections: 100 }, &server, classes());
    assert_eq!(tally.count_of(Outcome::GaveUp), 20);
    assert!(tally.classes[0].all.min() >= 999_000);
}

#[test]
fn sampled_service_times_match_their_quantiles() {
    let exponential = Service::Exponential(10 * MS);
    assert!(exponential.quantile(0.5).abs_diff(6_931_471) < 10);
    let bimodal = Service::Bimodal { short: MS, long: 50 * MS, share: 0.02 };
    assert_eq!((bimodal.quantile(0.97), bimodal.quantile(0.985)), (MS, 50 * MS));
    for service in [exponential, bimodal] {
        let model = ServerModel { service, ..fixed(0, &[], usize::MAX) };
        let mut running = model.start();
        let mut took: Vec<_> = (0..100_000u64).map(|n| running.response_at(n) - n).collect();
        took.sort_unstable();
        for share in [0.5, 0.9, 0.97, 0.99] {
            let found = took[(share * took.len() as f64) as usize] as f64;
            let expected = service.quantile(share) as f64;
            assert!((found / expected - 1.0).abs() < 0.06, "{service:?} {share}: {found} {expected}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    /// Merging counts and histograms gives the same result as counting everything in one.
    #[test]
    fn merged_tallies_equal_a_single_tally(
        results in prop::collection::vec((0usize..2, 0u64..20_000_000_000, 0u64..5_000_000_000, 0usize..9, any::<bool>()), 0..200),
        workers in 1usize..5,
    ) {
        let classes = || vec![("a".to_owned(), 100 * MS), ("b".to_owned(), SECOND)];
        let mut one = Tally::new(classes());
        let mut parts: Vec<_> = (0..workers).map(|_| Tally::new(classes())).collect();
        for (index, &(class, intended, took, outcome, retried)) in results.iter().enumerate() {
            let outcome = pumicehead_load_generator::outcome::OUTCOMES[outcome];
            let result = RequestResult { class, intended, sent: None, ended: intended + took, outcome, retried };
            one.count(&result);
            one.record_lateness(took);
            parts[index % workers].count(&result);
            parts[index % workers].record_lateness(took);
        }
        let mut merged = Tally::new(classes());
        parts.iter().for_each(|part| merged.merge(part));
        prop_assert_eq!(merged.requests(), results.len() as u64);
        prop_assert_eq!(&merged.seconds, &one.seconds);
        prop_assert_eq!(&merged.lateness, &one.lateness);
        for (merged, one) in merged.classes.iter().zip(&one.classes) {
            prop_assert_eq!((&merged.ends, merged.late, merged.retried), (&one.ends, one.late, one.retried));
            prop_assert_eq!((&merged.served, &merged.all), (&one.served, &one.all));
        }
    }

    /// For each shape, `time_of` inverts the integral, and the rate is the slope of the integral.
    #[test]
    fn shapes_match_their_integrals(t in 0.0f64..30.0, which in 0usize..7) {
        let shapes = ["constant:40", "ramp:5,80,20s", "step:10,90,7s", "burst:5,60,3s,2s,4s", "onoff:50,2s,3s", "diurnal:40,80%,11s", "constant:3+burst:1,20,5s,1s,1s"];
        let shape: Shape = shapes[which].parse().unwrap();
        let slope = (shape.integral(t + 1e-6) - shape.integral(t)) / 1e-6;
        // Skips jumps of the rate.
        if (shape.rate(t) - shape.rate(t + 1e-6)).abs() < 1.0 {
            prop_assert!((slope - shape.rate(t)).abs() < 0.1, "{} {}", slope, shape.rate(t));
        }
        let count = shape.integral(t);
        let back = shape.time_of(count, 0.0, 40.0).unwrap();
        prop_assert!((shape.integral(back) - count).abs() < 1e-4);
    }

    #[test]
    fn arbitrary_text_does_not_panic_the_parsers(text in "\\PC{0,40}") {
        let _ = text.parse::<Shape>();
        let _ = parse_rate(&text);
        let _ = parse_duration(&text);
    }
}

#[test]
fn malformed_shapes_are_rejected_with_a_reason() {
    for (text, part) in [
        ("", "unknown shape; shapes are constant, ramp, step, burst, onoff and diurnal"),
        ("constant", "not a rate such as `500/s`"),
        ("constant:1,2", "wrong number of values for this shape"),
        ("constant:x", "not a rate such as `500/s`"),
        ("constant:-1", "a rate must be 0 to 10,000,000 per second"),
        ("constant:1e9", "a rate must be 0 to 10,000,000 per second"),
        ("constant:NaN", "a rate must be 0 to 10,000,000 per second"),
        ("constant:5/day", "a rate has the form `500/s`, `6/min` or `1/h`"),
        ("ramp:1,2,5", "a duration needs a unit, such as `10s`"),
        ("ramp:1,2,0s", "this duration must be above 0"),
        ("ramp:1,2,5m", "units of time are us, ms, s, min, h and d"),
        ("ramp:1,2,999d", "a duration must not exceed 366 days"),
        ("diurnal:5,150%,1s", "a swing must be `0%` to `100%`"),
        ("diurnal:5,50,1s", "a swing must be `0%` to `100%`"),
        ("wave:5", "unknown shape; shapes are constant, ramp, step, burst, onoff and diurnal"),
        ("constant:1+nothing", "unknown shape; shapes are constant, ramp, step, burst, onoff and diurnal"),
    ] {
        let error = text.parse::<Shape>().unwrap_err().to_string();
        assert!(error.contains(part), "{text}: {error}");
    }
}
