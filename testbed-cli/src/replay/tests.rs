//! Guards against a load imbalance that is not the mean over the windows, and against bounded-load placement that puts all
//! sends of a key on one server.

use super::*;

#[test]
fn load_imbalance_is_averaged_over_windows_and_limited_by_bounded_load() {
    let send = |at_ms, server| ServerSend { at_ms, server, key: 1 };
    let sends: Vec<ServerSend> =
        (0..40).map(|n| send(f64::from(n) * 250.0, usize::from(n % 4 == 0))).collect();
    let windows = group_by_window(&sends, 10.0);
    assert_eq!(windows.iter().map(Vec::len).collect::<Vec<_>>(), [20, 20]);
    assert_eq!(
        load_imbalance(&windows, 2, |send| Some(send.server)),
        LoadImbalance { peak: 1.5, least: 0.5 }
    );
    let mut bounded_load = BoundedLoad::new(4);
    let LoadImbalance { peak, .. } = load_imbalance(&windows, 4, |send| bounded_load.place(send));
    assert!(
        peak <= 2.0,
        "bounded load has to spread a single key, whose home alone would have four times the mean: {peak}"
    );
}
