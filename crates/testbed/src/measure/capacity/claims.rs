//! The budgets of the operators, and the claims that a node keeps them.

use std::time::Duration;

use super::fleet::{CPU_BUDGET, MEMORY_BUDGET};
use super::load::LoadResult;
use super::sample::Sample;
use super::size::Size;
use super::table::{
    CHANGE_CPU, CHANGE_LOOP_CPU, IN_FORCE, MEGABYTE, PEAK, REQUEST_CPU, RESIDENT, REST_CPU, TURN_CHANGING,
};
use crate::report::Report;

/// Changes of configuration a day ("2,100 changes of configuration a day").
const CHANGES_A_DAY: f64 = 2_100.0;
/// Limit of the time until a change is in force on all nodes, in milliseconds ("within 12 s"); one node must take less.
const IN_FORCE_MS: f64 = 12_000.0;
/// Limit of the p99 latency that the node adds ("at most 2.4 ms added").
const ADDED_P99: Duration = Duration::from_micros(2_400);
/// Limit of the longest turn of the event loop at the target, in milliseconds ("longest turn under 2 ms").
const TURN_MS: f64 = 2.0;
/// Limit of the peak memory over changes, as a multiple of that at rest ("within 1.2 of steady").
const PEAK_RATIO: f64 = 1.2;
/// Limit of the p99 with changes, as a multiple of that without ("within 1.1").
const CHANGING_P99_RATIO: f64 = 1.1;
/// Limit of the event loop's processor time for a change of one value, in milliseconds ("under 5 ms").
const CHANGE_LOOP_MS: f64 = 5.0;
const SECONDS_A_DAY: f64 = 86_400.0;

/// The measurements of one build that are compared with the budgets.
pub struct Measured<'a> {
    /// The size of the corner, at which all factors are large at once.
    pub corner: Size,
    /// Samples at that size, one per round.
    pub samples: &'a [Sample],
    /// Samples of the smallest size, whose memory is not control state.
    pub smallest: &'a [Sample],
    /// Latencies without changes.
    pub quiet: &'a LoadResult,
    /// Latencies while one value changes.
    pub values: &'a LoadResult,
    /// Latencies while a tenant is added and removed.
    pub tenants: &'a LoadResult,
}

/// Adds the figures measured at the corner to the last line.
pub fn add_figures(report: &mut Report, measured: &Measured<'_>) {
    let Measured { samples, quiet, values, tenants, .. } = measured;
    report.figure("share_of_target", format!("{:.3}", measured.corner.share_of_target()));
    report.figure("rss_mb", format!("{:.1}", RESIDENT.median(samples)));
    report.figure("state_mb", format!("{:.1}", state_bytes(measured) / MEGABYTE));
    report.figure("peak_ratio", format!("{:.2}", peak_ratio(samples)));
    report.figure("change_cpu_ms", format!("{:.1}", CHANGE_CPU.median(samples)));
    report.figure("change_loop_ms", format!("{:.1}", CHANGE_LOOP_CPU.median(samples)));
    report.figure("turn_ms", format!("{:.1}", TURN_CHANGING.median(samples)));
    report.figure("control_cpu", format!("{:.4}", control_cpu(samples)));
    report.figure("request_us", format!("{:.0}", REQUEST_CPU.median(samples)));
    report.figure("p99_ms", milliseconds(quiet.through.p99));
    report.figure("p99_direct_ms", milliseconds(quiet.direct.p99));
    report.figure("p99_value_ms", milliseconds(values.through.p99));
    report.figure("longest_value_ms", milliseconds(values.through.longest));
    report.figure("refused_value", values.through.refused);
    report.figure("p99_tenant_ms", milliseconds(tenants.through.p99));
    report.figure("longest_tenant_ms", milliseconds(tenants.through.longest));
    report.figure("refused_tenant", tenants.through.refused);
}

/// Adds the claims on memory, processor time and the event loop.
pub fn judge_samples(report: &mut Report, measured: &Measured<'_>) {
    let samples = measured.samples;
    let share = measured.corner.share_of_target();
    let (state, budget) = (state_bytes(measured), MEMORY_BUDGET * share);
    report.claim(
        state <= budget,
        format!(
            "control state within {:.0} MB at {share} of the target: {:.1} MB",
            budget / MEGABYTE,
            state / MEGABYTE
        ),
    );
    let ratio = peak_ratio(samples);
    report.claim(
        ratio <= PEAK_RATIO,
        format!("peak memory over changes at most {PEAK_RATIO} times the memory at rest: {ratio:.2}"),
    );
    let turn = TURN_CHANGING.median(samples);
    report.claim(
        turn <= TURN_MS,
        format!("longest turn of the event loop over changes at most {TURN_MS} ms: {turn:.1} ms"),
    );
    let on_loop = CHANGE_LOOP_CPU.median(samples);
    report.claim(
        on_loop <= CHANGE_LOOP_MS,
        format!("a change of one value takes at most {CHANGE_LOOP_MS} ms on the event loop: {on_loop:.1} ms"),
    );
    let share = control_cpu(samples);
    report.claim(
        share <= CPU_BUDGET,
        format!("rest and {CHANGES_A_DAY} changes a day take at most {CPU_BUDGET} of a core: {share:.4}"),
    );
    let in_force = IN_FORCE.median(samples);
    report.claim(
        in_force <= IN_FORCE_MS,
        format!("a change is in force within {IN_FORCE_MS} ms: {in_force:.0} ms"),
    );
}

/// Adds the claims on latencies.
pub fn judge_load(report: &mut Report, measured: &Measured<'_>) {
    let Measured { quiet, values, tenants, .. } = measured;
    for (result, name) in [(quiet, "without changes"), (values, "value changes"), (tenants, "tenant changes")]
    {
        let kept = result.through.valid && result.direct.valid;
        report.claim(kept, format!("{name}: the load generator kept its schedule"));
        let (refused, failed) = (result.through.refused, result.through.failed);
        report.claim(
            refused + failed == 0,
            format!("{name}: no request refused or failed: {refused} refused, {failed} failed"),
        );
    }
    let added = quiet.through.p99.saturating_sub(quiet.direct.p99);
    report.claim(
        added <= ADDED_P99,
        format!(
            "without changes: the node adds at most {ADDED_P99:?} to the p99 latency of the backends: {} ms",
            milliseconds(added)
        ),
    );
    for (result, name) in [(values, "value changes"), (tenants, "tenant changes")] {
        let ratio = result.through.p99.as_secs_f64() / quiet.through.p99.as_secs_f64().max(f64::EPSILON);
        report.claim(
            ratio <= CHANGING_P99_RATIO,
            format!("{name}: p99 at most {CHANGING_P99_RATIO} times the p99 without changes: {ratio:.2}"),
        );
    }
}

/// Memory in excess of the smallest size's, in bytes.
fn state_bytes(measured: &Measured<'_>) -> f64 {
    (RESIDENT.median(measured.samples) - RESIDENT.median(measured.smallest)) * MEGABYTE
}

fn peak_ratio(samples: &[Sample]) -> f64 {
    PEAK.median(samples) / RESIDENT.median(samples).max(f64::EPSILON)
}

/// Processor time at rest and for the changes of a day, as a share of a core.
fn control_cpu(samples: &[Sample]) -> f64 {
    let changes = CHANGE_CPU.median(samples) / 1e3 * CHANGES_A_DAY / SECONDS_A_DAY;
    REST_CPU.median(samples) / 1e3 + changes
}

fn milliseconds(span: Duration) -> String {
    format!("{:.1}", span.as_secs_f64() * 1e3)
}

/// Adds the figures of another build to the last line.
pub fn add_beside(report: &mut Report, measured: &Measured<'_>) {
    let Measured { samples, quiet, values, tenants, .. } = measured;
    report.figure("beside_rss_mb", format!("{:.1}", RESIDENT.median(samples)));
    report.figure("beside_peak_ratio", format!("{:.2}", peak_ratio(samples)));
    report.figure("beside_change_loop_ms", format!("{:.1}", CHANGE_LOOP_CPU.median(samples)));
    report.figure("beside_turn_ms", format!("{:.1}", TURN_CHANGING.median(samples)));
    report.figure("beside_p99_ms", milliseconds(quiet.through.p99));
    report.figure("beside_p99_value_ms", milliseconds(values.through.p99));
    report.figure("beside_refused_value", values.through.refused);
    report.figure("beside_p99_tenant_ms", milliseconds(tenants.through.p99));
    report.figure("beside_refused_tenant", tenants.through.refused);
}
