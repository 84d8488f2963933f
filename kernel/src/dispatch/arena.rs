//! An arena allocator with small `Copy` keys.

use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// Key of an item in an [`Arena`]. Keys are reused after their item is removed.
#[derive(Debug)]
pub struct ArenaKey<T> {
    index: u32,
    item: PhantomData<fn() -> T>,
}

impl<T> Clone for ArenaKey<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for ArenaKey<T> {}

impl<T> ArenaKey<T> {
    /// A key greater than every key in use, as an upper bound for ranges.
    pub const fn last() -> Self {
        Self {
            index: u32::MAX,
            item: PhantomData,
        }
    }
}

impl<T> PartialEq for ArenaKey<T> {
    fn eq(&self, other: &Self) -> bool {
        self.index == other.index
    }
}

impl<T> Eq for ArenaKey<T> {}

impl<T> PartialOrd for ArenaKey<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for ArenaKey<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.index.cmp(&other.index)
    }
}

/// Items in one allocation, addressed by key.
#[derive(Debug)]
pub struct Arena<T> {
    items: Vec<Option<T>>,
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// Adds an item and returns its key.
    pub fn insert(&mut self, item: T) -> ArenaKey<T> {
        let index = self.free.pop().unwrap_or(self.items.len() as u32);
        if index as usize == self.items.len() {
            self.items.push(None);
        }
        self.items[index as usize] = Some(item);
        ArenaKey {
            index,
            item: PhantomData,
        }
    }

    /// Removes the item and returns it, or `None` if there is none under this key.
    pub fn remove(&mut self, key: ArenaKey<T>) -> Option<T> {
        let item = self.items.get_mut(key.index as usize)?.take()?;
        self.free.push(key.index);
        Some(item)
    }

    /// The item, or `None` if it was removed.
    pub fn get(&self, key: ArenaKey<T>) -> Option<&T> {
        self.items.get(key.index as usize)?.as_ref()
    }

    /// Number of items that have not been removed.
    pub fn len(&self) -> usize {
        self.items.len() - self.free.len()
    }

    /// Whether the arena holds no items.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All items, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (ArenaKey<T>, &T)> {
        self.items.iter().enumerate().filter_map(|(index, item)| {
            let key = ArenaKey {
                index: index as u32,
                item: PhantomData,
            };
            Some((key, item.as_ref()?))
        })
    }
}

impl<T> Index<ArenaKey<T>> for Arena<T> {
    type Output = T;

    fn index(&self, key: ArenaKey<T>) -> &T {
        self.items[key.index as usize]
            .as_ref()
            .expect("a key is dropped together with its item")
    }
}

impl<T> IndexMut<ArenaKey<T>> for Arena<T> {
    fn index_mut(&mut self, key: ArenaKey<T>) -> &mut T {
        self.items[key.index as usize]
            .as_mut()
            .expect("a key is dropped together with its item")
    }
}
