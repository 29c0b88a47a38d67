//! Tests of `overview`.

use super::*;

#[test]
fn a_cell_tells_mean_and_spread() {
    let run = |service| Summary { service, ..Summary::default() };
    assert_eq!(cell(&COLUMNS[0], &[run(0.5), run(0.7)]), "0.600 (0.500 to 0.700)");
    assert_eq!(cell(&COLUMNS[0], &[run(0.5)]), "0.500");
    assert_eq!(cell(&COLUMNS[9], &[run(0.5)]), "-");
}
