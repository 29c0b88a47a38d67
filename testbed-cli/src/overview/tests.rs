//! Guards against wrong cells of the table: mean, range, and figures without a value.

use super::*;

#[test]
fn cell_shows_mean_and_range_or_a_dash_without_values() {
    let run = |service| Summary { service, ..Summary::default() };
    assert_eq!(format_cell(&FIGURE_COLUMNS[0], &[run(0.5), run(0.7)]), "0.600 (0.500 to 0.700)");
    assert_eq!(format_cell(&FIGURE_COLUMNS[0], &[run(0.5)]), "0.500");
    assert_eq!(format_cell(&FIGURE_COLUMNS[9], &[run(0.5)]), "-");
}
