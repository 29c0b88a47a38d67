//! Digests of terms, equal at balancers with the same configuration. A message carries the digest of its sender's terms.

use crate::failure_detector::FailureDetectorTerms;
use crate::rate_limit::RateLimitTerms;
use crate::retry_budget::RetryBudgetTerms;
use crate::slow_start_limit::SlowStartTerms;

/// The offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x100_0000_01b3;

pub(super) fn of_rate_limit(terms: &RateLimitTerms) -> u32 {
    digest(&[
        u64::from(terms.requests_per_s),
        terms.arrival_spread.0,
        u64::from(terms.owners),
        terms.lease_duration.0,
        terms.clock_drift.to_bits(),
    ])
}

pub(super) fn of_slow_start(terms: &SlowStartTerms) -> u32 {
    let rate_limit = u64::from(of_rate_limit(&terms.rate_limit));
    digest(&[rate_limit, terms.initial_share.to_bits(), terms.duration.0])
}

pub(super) fn of_retry_budget(terms: &RetryBudgetTerms) -> u32 {
    digest(&[
        terms.retries_per_first_attempt.to_bits(),
        terms.max_saved_credits.to_bits(),
        u64::from(terms.holders),
    ])
}

/// Omits the trial rate and the clock drift: members that differ only in these still exchange reports.
pub(super) fn of_failure_detector(terms: &FailureDetectorTerms) -> u32 {
    digest(&[terms.min_reporters as u64, terms.report_lifetime.0, terms.max_suspected_share.to_bits()])
}

/// FNV-1a of the numbers' bytes, folded to 32 bits.
fn digest(numbers: &[u64]) -> u32 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in numbers.iter().flat_map(|number| number.to_le_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    (hash >> 32) as u32 ^ hash as u32
}
