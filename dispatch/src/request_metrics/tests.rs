use super::*;
use crate::streamed_value::streamed_value;

#[test]
fn a_streamed_value_is_counted_only_when_it_is_complete_or_has_broken_off() {
    let metrics = RequestMetrics::new(2);
    let [complete, broken] = [0, 9].map(|class| streamed_value(5).1.track_download(&metrics, class));
    let in_progress = || metrics.downloads_in_progress();
    assert_eq!((in_progress(), metrics.counts_by_class(RequestOutcome::Served)), (2, vec![0, 0]));
    complete.on_complete();
    drop(complete.clone());
    assert_eq!(in_progress(), 2, "the download ended although a clone of its receiver still exists");
    drop((complete, broken));
    assert_eq!((in_progress(), metrics.counts_by_class(RequestOutcome::Served)), (0, vec![1, 0]));
    assert_eq!(metrics.counts_by_class(RequestOutcome::Failed), [0, 1]);
}
