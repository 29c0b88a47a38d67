use super::*;
use crate::streamed_value::streamed_value;

#[test]
fn a_streamed_value_counts_when_it_is_complete_or_breaks_off() {
    let metrics = RequestMetrics::new(2);
    let [one, two] = [0, 9].map(|class| streamed_value(5).1.count_in(&metrics, class));
    let in_progress = || metrics.downloads_in_progress();
    assert_eq!((in_progress(), metrics.count_by_class(RequestOutcome::Served)), (2, vec![0, 0]));
    one.on_complete();
    drop(one.clone());
    assert_eq!(in_progress(), 2, "another clone is left");
    drop((one, two));
    assert_eq!((in_progress(), metrics.count_by_class(RequestOutcome::Served)), (0, vec![1, 0]));
    assert_eq!(metrics.count_by_class(RequestOutcome::Failed), [0, 1]);
}
