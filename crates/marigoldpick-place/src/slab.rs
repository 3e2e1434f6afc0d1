//! Provides a table that reuses the slots of removed items.

/// `Slab` holds items by slot.
#[derive(Clone, Debug)]
pub struct Slab<T> {
    items: Vec<Option<T>>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    /// Adds an item and returns its slot.
    ///
    /// # Panics
    /// Panics beyond 2^32 items.
    pub fn add(&mut self, item: T) -> u32 {
        if let Some(slot) = self.free.pop() {
            self.items[slot as usize] = Some(item);
            return slot;
        }
        self.items.push(Some(item));
        u32::try_from(self.items.len() - 1).expect("fewer than 2^32 items")
    }

    /// Removes an item.
    pub fn remove(&mut self, slot: u32) -> Option<T> {
        let item = self.items[slot as usize].take();
        if item.is_some() {
            self.free.push(slot);
        }
        item
    }

    /// Returns the item in a slot, if the slot is occupied.
    #[must_use]
    pub fn find(&self, slot: u32) -> Option<&T> {
        self.items.get(slot as usize).and_then(Option::as_ref)
    }

    /// Returns the item in a slot.
    ///
    /// # Panics
    /// Panics when the slot is free.
    #[must_use]
    pub fn get(&self, slot: u32) -> &T {
        self.find(slot).expect("the slot is taken")
    }

    /// Returns the item in a slot for modification.
    ///
    /// # Panics
    /// Panics when the slot is free.
    pub fn get_mut(&mut self, slot: u32) -> &mut T {
        let item = self.items[slot as usize].as_mut();
        item.expect("the slot is taken")
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len() - self.free.len()
    }

    /// Returns whether there is no item.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Iterates over the items with their slots.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        (0u32..)
            .zip(&self.items)
            .filter_map(|(slot, item)| item.as_ref().map(|item| (slot, item)))
    }
}
