//! Unit tests of `metrics`.

use super::*;

const READ: ClassLabels<'_> = ClassLabels { id: (0, 0), pool_name: "web", class_name: "read" };

#[test]
fn metrics_text_has_counts_and_exemplars() {
    let mut metrics = RequestMetrics::default();
    let name = BoundedName::new("a\"b\n");
    for took in [3, 30, 30_000] {
        metrics.request_ended(READ, RequestOutcome::Served, took * 1_000_000, &name, SECOND);
    }
    metrics.request_ended(READ, RequestOutcome::Rejected, 1_000, &name, SECOND);
    metrics.attempt_ended(AttemptOutcome::Reset);
    metrics.gauge("pumicehead_open", 2.0);
    let text = metrics.render();
    for line in [
        "pumicehead_requests_total{pool=\"web\",class=\"read\",how=\"served\"} 3",
        "pumicehead_requests_total{pool=\"web\",class=\"read\",how=\"refused\"} 1",
        "pumicehead_attempts_total{outcome=\"the connection broke\"} 1",
        "pumicehead_open 2",
        "pumicehead_request_seconds_bucket{pool=\"web\",class=\"read\",le=\"0.005\"} 2 # {request=\"a\\\"b\\n\"} 0.003 1.000",
        "pumicehead_request_seconds_count{pool=\"web\",class=\"read\"} 4",
    ] {
        assert!(text.contains(line), "{line}\nnot in\n{text}");
    }
    assert!(text.ends_with("# EOF\n"));
}

#[test]
fn classes_beyond_the_limit_count_as_other() {
    let mut metrics = RequestMetrics::default();
    for class in 0..1_000 {
        let name = format!("c{class}");
        metrics.request_ended(
            ClassLabels { id: (0, class), pool_name: "web", class_name: &name },
            RequestOutcome::Served,
            1_000,
            &BoundedName::new("x"),
            0,
        );
    }
    assert_eq!(metrics.classes.len(), MAX_CLASSES + 1);
    assert!(metrics.render().contains("{pool=\"other\",class=\"other\",how=\"served\"} 968"));
}
