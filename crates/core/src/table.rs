//! A dense table of entities with generational keys.
//!
//! Slots are reused, but each removal increments the slot's generation, so a stale key never matches a
//! later entity. A late or reordered reply is therefore harmless: the look-up of its attempt fails, and
//! the reply is dropped and counted.

use std::fmt;

use crate::mutant;

/// A slot, and the generation of the entity that occupies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Index of the slot.
    pub index: u32,
    /// Number of entities that occupied the slot before, modulo 2^32.
    pub generation: u32,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.index, self.generation)
    }
}

#[derive(Debug)]
struct Slot<T> {
    generation: u32,
    entity: Option<T>,
}

/// A table of entities of one type.
#[derive(Debug)]
pub struct Table<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Table<T> {
    /// The number of live entities.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether there are no live entities.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds an entity and returns its key.
    pub fn insert(&mut self, entity: T) -> Key {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.entity = Some(entity);
            return Key { index, generation: slot.generation };
        }
        let index = self.slots.len() as u32;
        self.slots.push(Slot { generation: 0, entity: Some(entity) });
        Key { index, generation: 0 }
    }

    /// The entity of `key`, if it is still live.
    pub fn get(&self, key: Key) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.entity.as_ref()
    }

    /// Mutable access to the entity of `key`, if it is still live.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.entity.as_mut()
    }

    /// Removes the entity of `key` and returns it, if it is still live.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation && !mutant::is(mutant::Mutant::AcceptLate) {
            return None;
        }
        let entity = slot.entity.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(entity)
    }

    /// All entities with their keys, in order of the slots.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = Key { index: index as u32, generation: slot.generation };
            slot.entity.as_ref().map(|entity| (key, entity))
        })
    }
}
