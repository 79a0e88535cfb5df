//! Sets of prompt parts that are refused or suspected together.

use std::{collections::BTreeSet, fmt, iter, str::FromStr};

use base::id;

/// Separates the parts of a set in its text.
const SEPARATOR: char = '-';

/// Parts of one prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartSet(pub BTreeSet<id::PartHash>);

impl PartSet {
    /// Returns whether all parts of the other set are in this one.
    pub fn includes(&self, other: &Self) -> bool {
        self.0.is_superset(&other.0)
    }

    /// Returns whether the part is in the set.
    pub fn contains(&self, part: id::PartHash) -> bool {
        self.0.contains(&part)
    }

    /// Returns whether the set has no parts.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the parts in order.
    pub fn parts(&self) -> impl Iterator<Item = id::PartHash> {
        self.0.iter().copied()
    }

    /// Returns the parts that are in both sets.
    pub fn common(&self, other: &Self) -> Self {
        Self(self.0.intersection(&other.0).copied().collect())
    }
}

impl From<id::PartHash> for PartSet {
    fn from(part: id::PartHash) -> Self {
        iter::once(part).collect()
    }
}

impl FromIterator<id::PartHash> for PartSet {
    fn from_iter<T: IntoIterator<Item = id::PartHash>>(parts: T) -> Self {
        Self(parts.into_iter().collect())
    }
}

impl fmt::Display for PartSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.parts().enumerate() {
            if index > 0 {
                write!(f, "{SEPARATOR}")?;
            }
            part.fmt(f)?;
        }
        Ok(())
    }
}

impl FromStr for PartSet {
    type Err = <id::PartHash as FromStr>::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split(SEPARATOR).map(str::parse).collect()
    }
}
