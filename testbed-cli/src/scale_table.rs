//! Prints the summary of a scale test.

use juniperladder_testbed::scale::results::{ChangeSummary, PhaseSummary, Summary};
use juniperladder_testbed::scale::{DurationDistribution, PurgeSummary};

pub fn print_summary(summary: &Summary) {
    println!(
        "{} of {} members, {} zones, {} regions, seed {}, event {}{}{}",
        summary.mechanism,
        summary.members,
        summary.zones,
        summary.regions,
        summary.seed,
        summary.event,
        if summary.virtual_time { ", simulated time" } else { "" },
        summary.flaw.as_ref().map_or(String::new(), |flaw| format!(", injected defect: {flaw}")),
    );
    print_phase("ordinary state", &summary.steady_state);
    if summary.after_event.seconds > 0.0 {
        print_phase("from the event on", &summary.after_event);
    }
    println!(
        "  memory a member {:.0} KB; members known: least {}, median {}, most {}; timers late by {:.1} ms (p99)",
        summary.memory_per_member / 1e3,
        summary.known.min,
        summary.known.median,
        summary.known.max,
        summary.lag_p99_ms
    );
    if summary.unroutable + summary.not_sent > 0 {
        println!(
            "  packets to unknown addresses {}, not accepted by a socket {}",
            summary.unroutable, summary.not_sent
        );
    }
    if summary.control_steady_state.seconds > 0.0 {
        println!("  {} purge replicas:", summary.replicas);
        print_phase("ordinary state", &summary.control_steady_state);
        if summary.control_after_event.seconds > 0.0 {
            print_phase("from the event on", &summary.control_after_event);
        }
    }
    summary.purge.iter().for_each(print_purge);
    summary.changes.iter().for_each(print_change);
}

fn print_phase(name: &str, phase: &PhaseSummary) {
    println!(
        "  {name}, {:.0} s: each sends {:.1} packets, {:.0} bytes a second ({:.0} with headers, busiest {:.0}), \
         receives {:.0}",
        phase.seconds,
        phase.sent.packets_per_s,
        phase.sent.bytes_per_s,
        phase.wire_bytes_per_s,
        phase.bytes_per_s_max,
        phase.received_bytes_per_s
    );
    for (kind, rate) in &phase.kinds {
        println!("    {kind:12} {:9.2} packets {:9.0} bytes", rate.packets_per_s, rate.bytes_per_s);
    }
    println!(
        "    control code {:.3}% of a core (busiest {:.3}%), {:.1} us a packet, {:.1} us a tick; testbed {:.3}%",
        phase.cpu_percent,
        phase.cpu_percent_max,
        phase.us_per_datagram,
        phase.us_per_tick,
        phase.test_bed_cpu_percent
    );
}

fn print_purge(purge: &PurgeSummary) {
    for (name, phase) in [("ordinary state", &purge.steady_state), ("from the event on", &purge.after_event)]
    {
        if phase.accepted + phase.rejected == 0 {
            continue;
        }
        println!(
            "  purges, {name}: {} accepted, {} rejected; {} never acted on, {} not done, {} orphaned",
            phase.accepted, phase.rejected, phase.never_applied, phase.not_completed, phase.orphaned
        );
        for (what, times) in [
            ("a connected member acts", phase.time_to_apply),
            ("all connected members act", phase.time_to_apply_everywhere),
            ("the publisher is notified of completion", phase.time_to_completion),
        ] {
            let DurationDistribution { p50_ms, p99_ms, max_ms, .. } = times;
            println!("    until {what}: p50 {p50_ms:.0} ms, p99 {p99_ms:.0} ms, max {max_ms:.0} ms");
        }
    }
    println!(
        "  members cleared their caches {} times, {} leases expired, {} members serve at the end; \
         done but missing at a serving member: {}",
        purge.cache_clears, purge.expired_leases, purge.serving, purge.missed_completed_purges
    );
}

fn print_change(change: &ChangeSummary) {
    let format_ms = |ms: Option<f64>| ms.map_or("-".to_owned(), |ms| format!("{ms:.0}"));
    println!(
        "  {:16} {} observers, {} never knew the member, {} not reached in {:.1} s: p50 {} ms, p99 {} ms, all {} ms",
        change.name,
        change.observers,
        change.never_knew_member,
        change.not_reached,
        change.checked_s,
        format_ms(change.p50_ms),
        format_ms(change.p99_ms),
        format_ms(change.all_ms)
    );
}
