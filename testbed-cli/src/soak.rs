//! `soak`: runs the seeds of a soak test in turn, and prints the findings of each failed seed and the command that repeats
//! it.

use std::path::PathBuf;

use juniperladder_platform_model::experiment::DeadlineProfile;
use juniperladder_testbed::child_reaper::ChildReaper;
use juniperladder_testbed::soak::check::{check_soak, SoakResult};
use juniperladder_testbed::soak::plan::SoakPlan;
use juniperladder_testbed::soak::run::run_soak;

use crate::exit::ExitStatus;
use crate::run::status_of_error;

/// Greatest number of findings that are printed for one seed.
const MAX_PRINTED_FINDINGS: usize = 5;

/// Arguments of `soak`.
#[derive(Debug, clap::Args)]
pub struct SoakArgs {
    /// The output folder for logs and files of the processes, with a subfolder for each seed
    #[arg(long)]
    pub out: PathBuf,
    /// The first seed; lets a stopped soak resume where it ended
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The number of seeds
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Deadlines of the clients' requests: long (1.5 and 3 s) or short (0.3 and 1.2 s)
    #[arg(long, default_value = "long", value_parser = parse_deadlines)]
    pub deadlines: DeadlineProfile,
    /// The path of the balancer program
    #[arg(long, default_value = "target/release/juniperladder")]
    pub program: String,
}

fn parse_deadlines(text: &str) -> Result<DeadlineProfile, String> {
    match text {
        "long" => Ok(DeadlineProfile::Long),
        "short" => Ok(DeadlineProfile::Short),
        _ => Err("the deadlines are either long or short".into()),
    }
}

/// The outcome of one seed.
#[derive(Debug)]
pub struct SeedOutcome {
    /// The plan that was run.
    pub plan: SoakPlan,
    /// The findings and the request counts.
    pub result: SoakResult,
}

/// Runs the seeds in turn, up to one whose run ends without a record; returns the exit status.
pub fn soak(args: &SoakArgs) -> ExitStatus {
    let mut failed_seeds = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let outcome = match run_seed(args, seed) {
            Ok(outcome) => outcome,
            Err(status) => return status,
        };
        let SoakResult { findings, requests } = &outcome.result;
        println!("seed {seed}: {} findings; {requests}", findings.len());
        if !findings.is_empty() {
            print_failure(args, &outcome);
            failed_seeds.push(seed);
        }
    }
    if failed_seeds.is_empty() {
        println!("kept: every rule on {} seeds", args.seeds);
        return ExitStatus::PASSED;
    }
    println!("BROKEN: {} of {} seeds: {failed_seeds:?}", failed_seeds.len(), args.seeds);
    ExitStatus::FAILED
}

/// Runs one seed and checks its record.
///
/// # Errors
/// The exit status if the run fails without a record; the reason is printed.
pub fn run_seed(args: &SoakArgs, seed: u64) -> Result<SeedOutcome, ExitStatus> {
    let plan = SoakPlan::draw(seed, args.deadlines, &args.program);
    let out = args.out.join(format!("seed-{seed}"));
    // Deletes the logs of an earlier run of this seed. Errors are ignored, as usually there is no such folder.
    let _ = std::fs::remove_dir_all(&out);
    let child_reaper = std::env::current_exe().and_then(|own| ChildReaper::start(&own)).ok();
    let record = run_soak(&plan, &out, child_reaper).map_err(|error| {
        eprintln!("seed {seed}: {error}");
        status_of_error(&error)
    })?;
    let result = check_soak(&plan, &record);
    Ok(SeedOutcome { plan, result })
}

fn print_failure(args: &SoakArgs, outcome: &SeedOutcome) {
    print!("{}", outcome.plan);
    for finding in outcome.result.findings.iter().take(MAX_PRINTED_FINDINGS) {
        println!("  {finding}");
    }
    let deadlines = match args.deadlines {
        DeadlineProfile::Long => "long",
        DeadlineProfile::Short => "short",
    };
    println!(
        "  again: juniperladder-testbed soak --seed {} --deadlines {deadlines} --program {} --out {}",
        outcome.plan.experiment.seed,
        args.program,
        args.out.display(),
    );
}
