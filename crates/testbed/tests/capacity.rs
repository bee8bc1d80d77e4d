//! Tests of the capacity measurement without a node: sizes, configuration files, fits and claims. Tests of the node's crate
//! measure a real one.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use pumicehead_config::model::{Config, PoolEndpoints};
use pumicehead_config::{check, diff, disk::Disk};
use pumicehead_testbed::measure::capacity::claims::{self, Measured};
use pumicehead_testbed::measure::capacity::file::{Change, Variant, mix, text};
use pumicehead_testbed::measure::capacity::fit::{Line, Point, median};
use pumicehead_testbed::measure::capacity::load::{Latencies, LoadResult};
use pumicehead_testbed::measure::capacity::probe::{LoopTimes, TurnReading, TurnTracker};
use pumicehead_testbed::measure::capacity::sample::Sample;
use pumicehead_testbed::measure::capacity::size::{FACTORS, Factor, SMALLEST, Size, TARGET};
use pumicehead_testbed::program::temporary;
use pumicehead_testbed::report::Report;

const MILLISECOND: Duration = Duration::from_millis(1);

/// Addresses without listeners.
fn addresses(count: usize) -> Vec<SocketAddr> {
    (0..count)
        .map(|number| SocketAddr::from(([127, 0, 1, (number / 50_000) as u8], 1 + number as u16)))
        .collect()
}

/// Returns the checked configuration of a size, and asserts that it has no diagnostics.
fn config(size: Size, variant: Variant) -> Config {
    let file = temporary(".conf");
    fs::write(&file, text(size, &addresses(size.backends), variant)).unwrap();
    let checked = check(&Disk, &file);
    fs::remove_file(&file).unwrap();
    let messages: Vec<_> = checked.diagnostics.iter().map(|one| &one.message).collect();
    assert!(messages.is_empty(), "{size:?}: {messages:?}");
    checked.config.unwrap()
}

fn counts(config: &Config) -> Size {
    let backends = |members: &PoolEndpoints| match members {
        PoolEndpoints::Static(servers) => servers.len(),
        PoolEndpoints::Discovered { .. } => 0,
    };
    Size {
        backends: config.pools.iter().map(|pool| backends(&pool.endpoints)).sum(),
        pools: config.pools.len(),
        routes: config.routes.len(),
        tenants: config.tenants.len(),
    }
}

/// The configuration file of each measured size, including the target, has the counts of that size.
#[test]
fn files_have_the_counts_of_their_sizes() {
    let corner = Size::corner(false);
    let grown = FACTORS.into_iter().flat_map(|factor| factor.sizes(corner));
    for size in grown.chain([SMALLEST, corner, TARGET]) {
        assert_eq!(counts(&config(size, Variant::default())), size);
    }
}

/// The full run measures the target, and the short run a quarter of each of its counts.
#[test]
fn the_corner_is_the_target_or_a_quarter_of_it() {
    assert_eq!(Size::corner(true), TARGET);
    assert_eq!(Size::corner(true).share_of_target(), 1.0);
    assert_eq!(Size::corner(false).share_of_target(), 0.25);
    assert_eq!(Size::corner(false), Size { backends: 2_000, pools: 35, routes: 3_750, tenants: 4_000 });
}

/// Only the factor itself grows over its four sizes; otherwise its slope would include the cost of another factor.
#[test]
fn each_factor_grows_alone() {
    for factor in FACTORS {
        let sizes = factor.sizes(TARGET);
        assert!(sizes.is_sorted_by(|a, b| factor.count(*a) < factor.count(*b)), "{factor:?}");
        for other in FACTORS.into_iter().filter(|other| *other != factor) {
            // More pools with the same tenants are more pairs of the two, and the reverse.
            let paired = factor == Factor::TenantPools || other == Factor::TenantPools;
            let alike = sizes.iter().all(|size| other.count(*size) == other.count(sizes[0]));
            assert!(alike || paired, "{other:?} grows with {factor:?}");
        }
        let pairs = sizes.map(|size| (size.backends, size.routes, size.tenants));
        assert!(factor != Factor::TenantPools || pairs.iter().all(|pair| *pair == pairs[0]));
    }
}

/// A change affects one value of one backend, or one tenant, and nothing else.
#[test]
fn a_change_affects_one_resource() {
    let size = Size { backends: 20, pools: 4, routes: 20, tenants: 10 };
    for change in [Change::Value, Change::Tenant] {
        let (first, second) = (config(size, change.variant(0)), config(size, change.variant(1)));
        assert_eq!(
            second,
            config(size, Variant::default()),
            "{change:?}: every second change restores the default configuration"
        );
        assert_eq!(diff::diff(&second, &first).len(), 1, "{change:?}");
    }
    let more = counts(&config(size, Change::Tenant.variant(0)));
    assert_eq!(more, Size { tenants: 11, ..size });
}

/// The load has requests for exactly the routes and tenants of the configuration file.
#[test]
fn the_load_matches_the_routes_and_tenants_of_the_file() {
    let size = Size { backends: 8, pools: 2, routes: 30, tenants: 3 };
    let mix = mix(size);
    mix.check().unwrap();
    let names: Vec<_> =
        config(size, Variant::default()).tenants.into_iter().map(|tenant| tenant.name).collect();
    assert_eq!((mix.classes[0].keys, mix.accounts), (30, names));
}

/// The fit is exact for points on a line, and has the largest residual as its error otherwise.
#[test]
fn a_fit_is_exact_on_a_line() {
    let points = [1.0, 2.0, 4.0, 8.0].map(|x| Point { x, y: 7.0 + 3.0 * x });
    let line = Line::fit(&points).unwrap();
    assert!((line.slope - 3.0).abs() < 1e-12 && (line.intercept - 7.0).abs() < 1e-12 && line.error < 1e-12);
    // Computed by hand: slope 1, intercept 1/3, residuals 1/3, 2/3 and 1/3, largest value 2.
    let bent = [(0.0, 0.0), (1.0, 2.0), (2.0, 2.0)].map(|(x, y)| Point { x, y });
    let line = Line::fit(&bent).unwrap();
    assert!((line.slope - 1.0).abs() < 1e-12 && (line.intercept - 1.0 / 3.0).abs() < 1e-12);
    assert!((line.error - (2.0 / 3.0) / 2.0).abs() < 1e-12);
    assert_eq!(Line::fit(&[Point { x: 1.0, y: 2.0 }; 3]), None);
    assert_eq!(Line::fit(&[]), None);
}

#[test]
fn the_median_is_the_middle_value() {
    assert_eq!(median([3.0, 1.0, 2.0]), 2.0);
    assert_eq!(median([2.0, 1.0]), 2.0);
    assert_eq!(median([]), 0.0);
}

/// The longest turn, the processor time between two sleeps, is never overestimated.
#[test]
fn longest_turn_is_a_lower_bound() {
    let reading = |sleeps, ms| TurnReading { sleeps, used: ms * MILLISECOND };
    let mut turns = TurnTracker::new(reading(10, 100));
    assert_eq!(turns.longest(), Duration::ZERO);
    // No sleep since the first reading: the turn is not over.
    turns.add(reading(10, 103));
    assert_eq!(turns.longest(), Duration::ZERO);
    turns.add(reading(11, 105));
    assert_eq!(turns.longest(), 5 * MILLISECOND);
    // Four turns of 8 ms together: the longest had at least 2.
    turns.add(reading(15, 113));
    assert_eq!(turns.longest(), 5 * MILLISECOND);
    turns.add(reading(16, 122));
    assert_eq!(turns.longest(), 9 * MILLISECOND);
}

// ---- Claims -------------------------------------------------------------------------------------

const MEGABYTE: u64 = 1_000_000;

/// A node at the target that keeps every budget.
fn sound_sample() -> Sample {
    let loop_times = LoopTimes { longest_answer: MILLISECOND, longest_turn: MILLISECOND, answers: 100 };
    Sample {
        file_bytes: 3_000_000,
        ready_after: 500 * MILLISECOND,
        start_cpu: 500 * MILLISECOND,
        resident: 70 * MEGABYTE,
        change_peak: 80 * MEGABYTE,
        in_force_after: 400 * MILLISECOND,
        change_cpu: 400 * MILLISECOND,
        change_loop_cpu: 4 * MILLISECOND,
        rest_cpu: 2 * MILLISECOND,
        request_cpu: MILLISECOND / 5,
        quiet: loop_times,
        changing: loop_times,
    }
}

fn sound_load() -> LoadResult {
    let through = Latencies {
        requests: 5_880,
        refused: 0,
        failed: 0,
        p50: 2 * MILLISECOND,
        p99: 4 * MILLISECOND,
        longest: 9 * MILLISECOND,
        valid: true,
    };
    let direct = Latencies { p99: 2 * MILLISECOND, ..through };
    LoadResult {
        through,
        p99_of_rounds: (through.p99, through.p99),
        direct,
        longest_turn: MILLISECOND,
        changes: 4,
        stalls: 0,
    }
}

/// Whether all claims hold for a node at the target with these measurements.
fn is_ok(sample: Sample, [quiet, values, tenants]: &[LoadResult; 3]) -> bool {
    let smallest = Sample { resident: 7 * MEGABYTE, ..sound_sample() };
    let measured =
        Measured { corner: TARGET, samples: &[sample], smallest: &[smallest], quiet, values, tenants };
    let mut report = Report::new("capacity", &[]);
    claims::judge_samples(&mut report, &measured);
    claims::judge_load(&mut report, &measured);
    report.is_ok()
}

/// A sample just over any budget of memory, processor time or turns fails its claim.
#[test]
fn samples_over_a_budget_fail_a_claim() {
    let loads = [sound_load(), sound_load(), sound_load()];
    let sound = sound_sample();
    assert!(is_ok(sound, &loads));
    let long_turn = LoopTimes { longest_turn: MILLISECOND * 21 / 10, ..sound.changing };
    for over in [
        // 64 MB beyond the smallest node; 1.2 times; 2 ms; 5 ms; 3.4% of a core; 12 s.
        Sample { resident: 72 * MEGABYTE, ..sound },
        Sample { change_peak: 85 * MEGABYTE, ..sound },
        Sample { changing: long_turn, ..sound },
        Sample { change_loop_cpu: MILLISECOND * 51 / 10, ..sound },
        Sample { rest_cpu: 35 * MILLISECOND, ..sound },
        Sample { change_cpu: 1_400 * MILLISECOND, ..sound },
        Sample { in_force_after: 12_100 * MILLISECOND, ..sound },
    ] {
        assert!(!is_ok(over, &loads), "{over:?}");
    }
}

/// A load over any budget of latencies fails its claim, and so does one whose load generator was late.
#[test]
fn loads_over_a_budget_fail_a_claim() {
    let (sound, spoilt) = (sound_load(), |spoil: &dyn Fn(&mut LoadResult)| {
        let mut load = sound_load();
        spoil(&mut load);
        load
    });
    let slow = spoilt(&|load| load.through.p99 = MILLISECOND * 45 / 10);
    let refusing = spoilt(&|load| load.through.refused = 1);
    let failing = spoilt(&|load| load.through.failed = 1);
    let late = spoilt(&|load| load.direct.valid = false);
    assert!(!is_ok(sound_sample(), &[slow.clone(), slow.clone(), slow.clone()]), "2.5 ms are added");
    for bad in [slow, refusing, failing, late] {
        assert!(!is_ok(sound_sample(), &[sound.clone(), bad.clone(), sound.clone()]), "{bad:?}");
        assert!(!is_ok(sound_sample(), &[sound.clone(), sound.clone(), bad.clone()]), "{bad:?}");
    }
}
