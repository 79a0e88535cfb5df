//! Whole numbers that are written with a unit, such as `16KiB` or `250ms`.

/// A unit with its factor; a list of them has one with factor 1. A unit stands
/// before those that end in the same letters and are shorter.
pub(crate) type Unit = (&'static str, u64);

/// Reads a whole number with one of the units; none when the text is something
/// else or the number is too large.
pub(crate) fn parse(text: &str, units: &[Unit]) -> Option<u64> {
    let (unit, factor) = units.iter().find(|(unit, _)| text.ends_with(unit))?;
    let count = text[..text.len() - unit.len()].trim_end();
    count.parse::<u64>().ok()?.checked_mul(*factor)
}

/// Writes a number with the largest unit of which it is a whole multiple.
pub(crate) fn format(number: u64, units: &[Unit]) -> String {
    let fits = |unit: &&Unit| unit.1 == 1 || (number >= unit.1 && number.is_multiple_of(unit.1));
    let largest = units.iter().filter(fits).max_by_key(|unit| unit.1);
    let (unit, factor) = largest.copied().unwrap_or(("", 1));
    format!("{}{unit}", number / factor)
}
