//! A dense table of entities with generational keys.
//!
//! Rows are reused, but each reuse raises the row's generation, so a key that outlived its entity
//! never finds the successor. This is what makes a late or reordered reply harmless: its attempt's
//! key misses, and the reply is dropped and counted.

use std::fmt;

use crate::mutant;

/// A row and the generation of the entity that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The row.
    pub index: u32,
    /// How many entities held the row before.
    pub generation: u32,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.index, self.generation)
    }
}

#[derive(Debug)]
struct Row<T> {
    generation: u32,
    entity: Option<T>,
}

/// A table of entities of one kind.
#[derive(Debug)]
pub struct Table<T> {
    rows: Vec<Row<T>>,
    free: Vec<u32>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self { rows: Vec::new(), free: Vec::new() }
    }
}

impl<T> Table<T> {
    /// The number of entities.
    pub fn len(&self) -> usize {
        self.rows.len() - self.free.len()
    }

    /// Whether there is no entity.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an entity and returns its key.
    pub fn insert(&mut self, entity: T) -> Key {
        if let Some(index) = self.free.pop() {
            let row = &mut self.rows[index as usize];
            row.entity = Some(entity);
            return Key { index, generation: row.generation };
        }
        let index = self.rows.len() as u32;
        self.rows.push(Row { generation: 0, entity: Some(entity) });
        Key { index, generation: 0 }
    }

    /// The entity of `key`, if it still lives.
    pub fn get(&self, key: Key) -> Option<&T> {
        let row = self.rows.get(key.index as usize)?;
        if row.generation != key.generation {
            return None;
        }
        row.entity.as_ref()
    }

    /// The entity of `key`, if it still lives.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let row = self.rows.get_mut(key.index as usize)?;
        if row.generation != key.generation {
            return None;
        }
        row.entity.as_mut()
    }

    /// Ends the entity of `key` and returns it, if it still lives.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let row = self.rows.get_mut(key.index as usize)?;
        if row.generation != key.generation && !mutant::is(mutant::Mutant::AcceptLate) {
            return None;
        }
        let entity = row.entity.take()?;
        row.generation = row.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(entity)
    }

    /// All entities with their keys, by row.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.rows.iter().enumerate().filter_map(|(index, row)| {
            let key = Key { index: index as u32, generation: row.generation };
            row.entity.as_ref().map(|entity| (key, entity))
        })
    }
}
