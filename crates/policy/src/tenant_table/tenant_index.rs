//! The positions of the tenants' records: a hash table with separate chaining, whose size depends on the
//! number of records alone and not on how many were removed before.

use crate::TenantId;
use crate::hash_ring::mix64;

/// End marker of a chain.
const NONE: u32 = u32::MAX;
/// Minimum number of chains.
const MIN_CHAINS: usize = 16;

/// A tenant, and the next position in its chain.
struct Entry {
    tenant: TenantId,
    next: u32,
}

/// Numbers tenants from 0 without gaps, and finds them by their ids.
#[derive(Default)]
pub(super) struct TenantIndex {
    /// First position of each chain. The number of chains is a power of two.
    heads: Vec<u32>,
    entries: Vec<Entry>,
}

impl TenantIndex {
    /// Returns the position of a tenant.
    pub fn position(&self, tenant: TenantId) -> Option<u32> {
        let mut position = *self.heads.get(self.chain_of(tenant))?;
        while let Some(entry) = self.entries.get(position as usize) {
            if entry.tenant == tenant {
                return Some(position);
            }
            position = entry.next;
        }
        None
    }

    /// Returns the tenant at a position.
    pub fn tenant(&self, position: u32) -> TenantId {
        self.entries[position as usize].tenant
    }

    /// Adds a tenant that is not in the index; returns its position, which is the last one.
    pub fn push(&mut self, tenant: TenantId) -> u32 {
        let position = self.entries.len() as u32;
        self.entries.push(Entry { tenant, next: NONE });
        if self.entries.len() > self.heads.len() {
            self.rebuild();
        } else {
            self.prepend_to_chain(position);
        }
        position
    }

    /// Removes the tenant at a position, which the last tenant takes over, as in [`Vec::swap_remove`].
    pub fn swap_remove(&mut self, position: u32) {
        let last = self.entries.len() as u32 - 1;
        *self.link_to(position) = self.entries[position as usize].next;
        if position != last {
            *self.link_to(last) = position;
        }
        self.entries.swap_remove(position as usize);
    }

    /// Shrinks the allocation to at least `capacity` tenants.
    pub fn shrink_to(&mut self, capacity: usize) {
        self.entries.shrink_to(capacity);
        self.rebuild();
    }

    /// Returns the memory that the index takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.heads.capacity() * size_of::<u32>() + self.entries.capacity() * size_of::<Entry>()
    }

    /// Sizes the table for the capacity of the entries, and links all of them.
    fn rebuild(&mut self) {
        let chains = self.entries.capacity().next_power_of_two().max(MIN_CHAINS);
        self.heads = vec![NONE; chains];
        for position in 0..self.entries.len() as u32 {
            self.prepend_to_chain(position);
        }
    }

    fn prepend_to_chain(&mut self, position: u32) {
        let chain = self.chain_of(self.tenant(position));
        self.entries[position as usize].next = self.heads[chain];
        self.heads[chain] = position;
    }

    /// Returns the link that leads to a position.
    fn link_to(&mut self, position: u32) -> &mut u32 {
        let chain = self.chain_of(self.tenant(position));
        let mut previous = NONE;
        let mut current = self.heads[chain];
        while current != position {
            previous = current;
            current = self.entries[current as usize].next;
        }
        if previous == NONE { &mut self.heads[chain] } else { &mut self.entries[previous as usize].next }
    }

    fn chain_of(&self, tenant: TenantId) -> usize {
        mix64(u64::from(tenant.0)) as usize & self.heads.len().wrapping_sub(1)
    }
}
