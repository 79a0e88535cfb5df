//! Guards the chunked map against the standard library's map: a lost or doubled
//! entry would be a lost or doubled team.

use std::{collections::BTreeMap, sync::Arc};

use conf::map::Map;
use proptest::prelude::*;

proptest! {
    #[test]
    fn like_btree(edits in proptest::collection::vec((0u32..2000, 0u8..4), 0..3000)) {
        let mut map = Map::default();
        let mut model = BTreeMap::new();
        let mut old = (map.clone(), model.clone());
        for (index, (key, action)) in edits.iter().enumerate() {
            match action {
                0 => {
                    let removed = map.remove(key).map(|value: Arc<usize>| *value);
                    prop_assert_eq!(removed, model.remove(key));
                }
                _ => {
                    map.insert(*key, Arc::new(index));
                    model.insert(*key, index);
                }
            }
            if index == edits.len() / 2 {
                old = (map.clone(), model.clone());
            }
        }
        let entries: Vec<(u32, usize)> = map.iter().map(|(key, value)| (*key, **value)).collect();
        let expected: Vec<(u32, usize)> = model.clone().into_iter().collect();
        prop_assert_eq!(entries, expected);
        prop_assert_eq!(map.len(), model.len());
        let copied: Vec<(u32, usize)> = old.0.iter().map(|(key, value)| (*key, **value)).collect();
        let expected: Vec<(u32, usize)> = old.1.clone().into_iter().collect();
        prop_assert_eq!(copied, expected, "a copy is not affected by later edits");

        let differing: Vec<u32> = old.0.unshared(&map).into_iter()
            .filter(|(_, (left, right))| left != right)
            .map(|(key, _)| *key)
            .collect();
        let all = old.1.keys().chain(model.keys());
        let mut expected: Vec<u32> =
            all.filter(|key| old.1.get(key) != model.get(key)).copied().collect();
        expected.sort();
        expected.dedup();
        prop_assert_eq!(differing, expected);
    }
}
