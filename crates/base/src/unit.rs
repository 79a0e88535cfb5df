//! Whole numbers that are written with a unit, such as `16KiB` or `250ms`.

/// A unit and its factor.
///
/// A list of units contains one with factor 1. A unit comes before any unit that
/// is a suffix of it, because [`parse`] takes the first that matches.
pub(crate) type Unit = (&'static str, u64);

/// Parses a whole number with one of the units; returns `None` when the text is
/// malformed or the result does not fit into 64 bits.
pub(crate) fn parse(text: &str, units: &[Unit]) -> Option<u64> {
    let (unit, factor) = units.iter().find(|(unit, _)| text.ends_with(unit))?;
    let count = text[..text.len() - unit.len()].trim_end();
    count.parse::<u64>().ok()?.checked_mul(*factor)
}

/// Formats a number with the largest unit that divides it.
pub(crate) fn format(number: u64, units: &[Unit]) -> String {
    let fits = |unit: &&Unit| unit.1 == 1 || (number >= unit.1 && number.is_multiple_of(unit.1));
    let largest = units.iter().filter(fits).max_by_key(|unit| unit.1);
    let (unit, factor) = largest.copied().unwrap_or(("", 1));
    format!("{}{unit}", number / factor)
}
