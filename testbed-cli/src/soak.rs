//! `soak`: runs the soak's seeds one after the other, and says of each that failed what was broken and how to run it again.

use std::path::PathBuf;

use juniperladder_platform_model::experiment::DeadlineProfile;
use juniperladder_testbed::child_reaper::ChildReaper;
use juniperladder_testbed::soak::check::{check_soak, SoakResult};
use juniperladder_testbed::soak::plan::SoakPlan;
use juniperladder_testbed::soak::run::run_soak;

use crate::exit::ExitStatus;
use crate::run::status_of_error;

/// Findings of one seed that are printed in full.
const SHOWN_FINDINGS: usize = 5;

/// How the soak is run.
#[derive(Debug, clap::Args)]
pub struct SoakArgs {
    /// The folder for the processes' logs and files, one below it for each seed
    #[arg(long)]
    pub out: PathBuf,
    /// The first seed: a soak that was stopped goes on from here
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many seeds
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// How long clients wait: long (1.5 and 3 s) or short (0.3 and 1.2 s)
    #[arg(long, default_value = "long", value_parser = parse_deadlines)]
    pub deadlines: DeadlineProfile,
    /// The program
    #[arg(long, default_value = "target/release/juniperladder")]
    pub program: String,
}

fn parse_deadlines(text: &str) -> Result<DeadlineProfile, String> {
    match text {
        "long" => Ok(DeadlineProfile::Long),
        "short" => Ok(DeadlineProfile::Short),
        _ => Err("give long or short".into()),
    }
}

/// The outcome of one seed.
#[derive(Debug)]
pub struct SeedOutcome {
    /// The plan that was run.
    pub plan: SoakPlan,
    /// What it came to.
    pub result: SoakResult,
}

/// Runs all seeds; the worst exit status of them.
pub fn soak(args: &SoakArgs) -> ExitStatus {
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let outcome = match run_seed(args, seed) {
            Ok(outcome) => outcome,
            Err(status) => return status,
        };
        let SoakResult { findings, requests } = &outcome.result;
        println!("seed {seed}: {} findings; {requests}", findings.len());
        if !findings.is_empty() {
            print_failure(args, &outcome);
            failed.push(seed);
        }
    }
    if failed.is_empty() {
        println!("kept: every rule on {} seeds", args.seeds);
        return ExitStatus::ALL_KEPT;
    }
    println!("BROKEN: {} of {} seeds: {failed:?}", failed.len(), args.seeds);
    ExitStatus::RULE_BROKEN
}

/// Runs one seed and checks what it left.
///
/// # Errors
/// The exit status of a run that could not be made; the reason is printed.
pub fn run_seed(args: &SoakArgs, seed: u64) -> Result<SeedOutcome, ExitStatus> {
    let plan = SoakPlan::draw(seed, args.deadlines, &args.program);
    let out = args.out.join(format!("seed-{seed}"));
    // A seed that is run again leaves the logs of that run alone; a folder that is not there is no problem.
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
    for finding in outcome.result.findings.iter().take(SHOWN_FINDINGS) {
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
