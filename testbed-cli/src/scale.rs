//! `scale`: runs the control code of many members in one process, at one size or at several sizes in turn.

use crate::exit::ExitStatus;
use crate::scale_args::ScaleArgs;
use crate::scale_run::run_single_size;
use crate::sizes::run_sizes;

/// Runs a scale test at one size or at several.
pub fn scale(args: &ScaleArgs) -> ExitStatus {
    if args.sizes.is_empty() {
        run_single_size(args)
    } else {
        run_sizes(args)
    }
}
