//! Metrics lines as operators' tools read them.

use super::*;

#[test]
fn each_sample_is_one_line_with_its_label_escaped() {
    let mut text = MetricsText::default();
    text.declare("passed", MetricKind::Counter);
    text.labelled_sample("passed", ("category", "a\\b\"c\nd"), 2);
    text.declared_sample("in_progress", MetricKind::Gauge, 1);
    text.sample("limit_bound", 1.05);
    let expected = "# TYPE app_passed counter\napp_passed{category=\"a\\\\b\\\"c\\nd\"} 2\n\
                    # TYPE app_in_progress gauge\napp_in_progress 1\napp_limit_bound 1.05\n";
    assert_eq!(text.into_string(), expected);
}
