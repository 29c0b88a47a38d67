//! `scale`: runs many members' control code in one process, one size or several in turn, and writes what it found.

use crate::exit::ExitStatus;
use crate::scale_args::ScaleArgs;
use crate::scale_run::run_one;
use crate::sizes::run_sizes;

/// Runs a scale test, of one size or of several.
pub fn scale(args: &ScaleArgs) -> ExitStatus {
    if args.sizes.is_empty() {
        run_one(args)
    } else {
        run_sizes(args)
    }
}
