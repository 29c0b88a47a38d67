use super::*;

#[test]
fn the_kernels_report_is_parsed() {
    let status = "Name:\tx\nVmHWM:\t   43008 kB\nVmRSS:\t   43000 kB\nRssAnon:\t   38376 kB\n";
    assert_eq!(ProcessMemory::parse(status), Some(ProcessMemory { resident_kb: 43_000, peak_kb: 43_008 }));
    assert_eq!(ProcessMemory::parse("VmRSS:\t1 kB\n"), None);
}
