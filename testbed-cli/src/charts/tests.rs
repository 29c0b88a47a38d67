//! Guards against incomplete SVG, values that are not numbers, a missing legend and wrong heat colours.

use super::*;

#[test]
fn charts_are_complete_svg_with_legend_and_without_nan() {
    let experiment =
        juniperladder_platform_model::reader::read(include_str!("../../demo.toml"), &[]).unwrap();
    let seconds: Vec<Second> =
        (0..14).map(|second| Second { second, requests: 200, served: 150, ..Second::default() }).collect();
    let charts = [
        results_chart(&experiment, &seconds),
        origin_chart(&experiment, &seconds),
        latency_chart(&experiment, &seconds),
        heat_map("loads", "host", &[vec![0.0, 2.5], vec![1.0]]),
    ];
    for chart in charts {
        let text = chart.unwrap();
        assert!(text.starts_with("<svg") && text.trim_end().ends_with("</svg>"));
        assert!(!text.contains("NaN"));
    }
    assert!(results_chart(&experiment, &seconds).unwrap().contains("refused"));
    assert_eq!([heat_colour(0.0), heat_colour(1.0), heat_colour(9.0)].map(|colour| colour.1), [101, 255, 28]);
}
