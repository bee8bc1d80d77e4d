//! Shrinking of a failing scenario.

use pumicehead_chaos::scenario::Scenario;
use pumicehead_chaos::shrink::Shrinker;

/// Shrinking must end, try only valid scenarios, and find the one fault that the failure needs, shortened as far as it still
/// fails.
#[test]
fn shrinking_leaves_only_the_fault_that_the_failure_needs() {
    for seed in 0..200 {
        let failing = Scenario::generate(seed, 6, 5);
        let fails = |candidate: &Scenario| {
            let needed = &failing.faults[0].kind;
            candidate.faults.iter().any(|fault| fault.kind == *needed && fault.duration_s >= 1.0)
        };
        let mut shrinker = Shrinker::new(failing.clone());
        while let Some(candidate) = shrinker.next_candidate() {
            assert!(candidate.validate().is_ok(), "seed {seed}");
            shrinker.record_result(fails(&candidate));
            assert!(shrinker.tried() < 500, "seed {seed} does not end");
        }
        let smallest = shrinker.smallest();
        assert!(fails(smallest) && smallest.faults.len() == 1, "seed {seed}: {smallest:?}");
        assert!(smallest.faults[0].duration_s < 2.0, "seed {seed}: {smallest:?}");
    }
}
