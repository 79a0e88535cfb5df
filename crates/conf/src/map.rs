//! An ordered map whose copies share their entries.
//!
//! Every accepted change makes a new version of the configuration while traffic
//! threads read the old one. With 34,000 teams, copying one `BTreeMap` for each
//! version costs more than the change itself, so the map is cut into chunks that
//! versions share; a change copies one chunk and the list of chunks.

use std::{collections::BTreeMap, sync::Arc};

/// Most entries of a chunk; a larger chunk is split in two. A change copies at
/// most this many entries, and 34,000 entries make about 200 chunks.
const MAX_CHUNK: usize = 256;

type Chunk<K, V> = BTreeMap<K, Arc<V>>;

/// An ordered map with cheap copies.
#[derive(Clone, Debug)]
pub struct Map<K, V> {
    /// Chunks by a key that is not above any key in the chunk and above every
    /// key of the chunk before it.
    chunks: BTreeMap<K, Arc<Chunk<K, V>>>,
    count: usize,
}

impl<K, V> Default for Map<K, V> {
    fn default() -> Self {
        Self {
            chunks: BTreeMap::new(),
            count: 0,
        }
    }
}

impl<K: Ord + Clone, V> Map<K, V> {
    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Tells whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &K) -> Option<&Arc<V>> {
        let (_, chunk) = self.chunks.range(..=key).next_back()?;
        chunk.get(key)
    }

    /// Tells whether the key is present.
    pub fn contains_key(&self, key: &K) -> bool {
        self.get(key).is_some()
    }

    /// Sets the value of a key.
    pub fn insert(&mut self, key: K, value: Arc<V>) {
        let Some(start) = self.start_for(&key) else {
            let chunk = Chunk::from([(key.clone(), value)]);
            self.chunks.insert(key, Arc::new(chunk));
            self.count += 1;
            return;
        };
        let chunk = Arc::make_mut(self.chunks.get_mut(&start).expect("the chunk is present"));
        if chunk.insert(key, value).is_none() {
            self.count += 1;
        }
        if chunk.len() > MAX_CHUNK {
            let middle = chunk
                .keys()
                .nth(chunk.len() / 2)
                .expect("not empty")
                .clone();
            let upper = chunk.split_off(&middle);
            self.chunks.insert(middle, Arc::new(upper));
        }
    }

    /// Removes a key and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<Arc<V>> {
        self.get(key)?;
        let start = self.chunks.range(..=key).next_back()?.0.clone();
        let chunk = Arc::make_mut(self.chunks.get_mut(&start)?);
        let value = chunk.remove(key);
        if chunk.is_empty() {
            self.chunks.remove(&start);
        }
        self.count -= 1;
        value
    }

    /// Returns the entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &Arc<V>)> {
        self.chunks.values().flat_map(|chunk| chunk.iter())
    }

    /// Returns the values in the order of their keys.
    pub fn values(&self) -> impl Iterator<Item = &Arc<V>> {
        self.iter().map(|(_, value)| value)
    }

    /// Returns the entries that are not shared with `other`: each key that only
    /// one of the maps has or whose value the maps do not share, in the order of
    /// the keys. Chunks that both maps share are not visited.
    pub fn unshared<'a>(&'a self, other: &'a Self) -> BTreeMap<&'a K, Pair<'a, V>> {
        let mut found: BTreeMap<&K, Pair<'_, V>> = BTreeMap::new();
        for (key, value) in self.own_entries(other) {
            found.entry(key).or_default().0 = Some(value);
        }
        for (key, value) in other.own_entries(self) {
            found.entry(key).or_default().1 = Some(value);
        }
        found.retain(|_, pair| match pair {
            (Some(left), Some(right)) => !Arc::ptr_eq(left, right),
            _ => true,
        });
        found
    }

    /// Returns the number of entries in chunks that `other` does not share: the
    /// entries that were copied for the changes between the two.
    pub fn copied(&self, other: &Self) -> usize {
        self.own_entries(other).count()
    }

    fn own_entries<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = (&'a K, &'a Arc<V>)> {
        self.chunks
            .iter()
            .filter(|(start, chunk)| {
                !other
                    .chunks
                    .get(start)
                    .is_some_and(|theirs| Arc::ptr_eq(theirs, chunk))
            })
            .flat_map(|(_, chunk)| chunk.iter())
    }

    /// Returns the first key of the chunk that the key belongs to. A key before
    /// every chunk belongs to the first one, which is entered again under it.
    fn start_for(&mut self, key: &K) -> Option<K> {
        if let Some((start, _)) = self.chunks.range(..=key).next_back() {
            return Some(start.clone());
        }
        let (_, chunk) = self.chunks.pop_first()?;
        self.chunks.insert(key.clone(), chunk);
        Some(key.clone())
    }
}

/// The values of one key in two maps.
pub type Pair<'a, V> = (Option<&'a Arc<V>>, Option<&'a Arc<V>>);

impl<K: Ord, V: PartialEq> PartialEq for Map<K, V> {
    fn eq(&self, other: &Self) -> bool {
        let ours = self.chunks.values().flat_map(|chunk| chunk.iter());
        let theirs = other.chunks.values().flat_map(|chunk| chunk.iter());
        self.count == other.count && ours.eq(theirs)
    }
}

impl<K: Ord + Clone, V> FromIterator<(K, Arc<V>)> for Map<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, Arc<V>)>>(entries: I) -> Self {
        let mut map = Self::default();
        for (key, value) in entries {
            map.insert(key, value);
        }
        map
    }
}
