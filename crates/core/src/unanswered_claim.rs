//! What may be concluded about a claim that was not answered, from the records that are read
//! afterwards.

use corkfield_wire::records::{JobRecord, Versioned};

/// Returns the stored record if it shows that this controller has claimed the job at the generation
/// of `claimed`, the record of a claim that was not answered.
///
/// The record proves only itself. It may have been written by an earlier claim of the same job that
/// was not answered either and was executed late: that claim may have held fewer jobs, or left the
/// start watermark lower. So each record of a claim is read, and the caller continues from the
/// stored record and its version, never from the record that it meant to write (S7, S10).
pub fn confirm_claim(
    claimed: &JobRecord,
    stored: Versioned<JobRecord>,
) -> Option<Versioned<JobRecord>> {
    let is_ours =
        stored.record.owner == claimed.owner && stored.record.generation == claimed.generation;
    is_ours.then_some(stored)
}
