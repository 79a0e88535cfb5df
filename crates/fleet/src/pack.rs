//! Encoding of load reports in columns, as in [`msg::Loads`].

use base::id;
use wire::msg;

use crate::{convert, member};

/// Number of low bits of a state that hold the standing.
const STANDING_BITS: u32 = 3;

/// Size of the tags and lengths of the six columns, in bytes.
pub const COLUMN_OVERHEAD: usize = 24;

/// A load report whose process is identified by its run, see
/// [`member::run_key`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunLoad {
    /// Key of the process and its incarnation.
    pub run: u64,
    /// The report; its process and incarnation are not set.
    pub load: member::Load,
}

/// Appends a report. `version` is the version in the sender status.
pub fn push(loads: &mut msg::Loads, run: u64, load: &member::Load, version: id::Version) {
    let record = convert::load_record(load);
    let standing = u32::try_from(record.standing).unwrap_or(0);
    let most = u32::MAX >> STANDING_BITS;
    loads.runs.push(run);
    loads.sequences.push(record.sequence);
    loads
        .states
        .push(record.load.min(most) << STANDING_BITS | standing);
    loads.caps.push(record.cap);
    loads.ages.push(record.age);
    loads
        .version_offsets
        .push(version.0.wrapping_sub(record.version).cast_signed());
}

/// Returns the maximum encoded size of a report, in bytes.
pub fn size(load: &member::Load, version: id::Version) -> usize {
    let record = convert::load_record(load);
    let behind = version.0.abs_diff(record.version) * 2;
    let numbers = [
        record.sequence,
        u64::from(record.load) << STANDING_BITS,
        u64::from(record.cap),
        u64::from(record.age),
        behind,
    ];
    size_of::<u64>()
        + numbers
            .iter()
            .map(|number| varint_size(*number))
            .sum::<usize>()
}

/// Decodes the reports. Returns `None` if the columns differ in length.
pub fn read(
    loads: &msg::Loads,
    version: id::Version,
) -> Option<Vec<Result<RunLoad, convert::RecordError>>> {
    let rows = loads.runs.len();
    let lengths = [
        loads.sequences.len(),
        loads.states.len(),
        loads.caps.len(),
        loads.ages.len(),
        loads.version_offsets.len(),
    ];
    if lengths.iter().any(|length| *length != rows) {
        return None;
    }
    Some((0..rows).map(|row| read_row(loads, row, version)).collect())
}

fn read_row(
    loads: &msg::Loads,
    row: usize,
    version: id::Version,
) -> Result<RunLoad, convert::RecordError> {
    let state = loads.states[row];
    let standing = state & ((1 << STANDING_BITS) - 1);
    let load = convert::load(&msg::Load {
        process: 0,
        incarnation: 0,
        sequence: loads.sequences[row],
        load: state >> STANDING_BITS,
        cap: loads.caps[row],
        version: version
            .0
            .wrapping_sub(loads.version_offsets[row].cast_unsigned()),
        age: loads.ages[row],
        standing: standing.cast_signed(),
    })?;
    let run = loads.runs[row];
    Ok(RunLoad { run, load })
}

fn varint_size(number: u64) -> usize {
    let bits = u64::BITS - number.leading_zeros();
    usize::try_from(bits.max(1).div_ceil(7)).unwrap_or(1)
}
