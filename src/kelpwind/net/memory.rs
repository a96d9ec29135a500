//! Account of the memory that a process uses for bodies and answers.
//!
//! Load pattern: clients that are not trusted send many large bodies that never end, or read large
//! answers slowly. Each is within the limits on a single request, and all together exceed the memory
//! of the host. Bytes are therefore taken from one account before they are held, wherever that is, and
//! whoever finds no room refuses its request. Requests with small bodies keep a part of the account to
//! themselves. This module does no I/O.

use std::cell::Cell;
use std::rc::Rc;

use crate::core::ids::ByteCount;

/// Size up to which a body counts as small, in bytes. Most bodies are far smaller.
pub const SMALL_BYTES: usize = 256 << 10;
/// Bytes for which a caller's connection is counted, whether it is used or not: 600 connections with
/// parts of heads took 30 KB of resident memory each.
pub const CONNECTION_BYTES: usize = 32 << 10;
/// Part of the account that only small bodies may use.
const SMALL_SHARE: f64 = 0.125;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Place {
    /// request-body
    RequestBody,
    /// answer
    Answer,
    /// link
    Link,
    /// reply
    Reply,
    /// connection
    Connection,
}

impl Place {
    /// All places.
    pub const ALL: [Place; 5] =
        [Place::RequestBody, Place::Answer, Place::Link, Place::Reply, Place::Connection];
}

#[derive(Debug)]
struct Inner {
    limit: usize,
    held: [Cell<usize>; Place::ALL.len()],
}

impl Inner {
    fn total(&self) -> usize {
        self.held.iter().map(Cell::get).sum()
    }

    fn add(&self, place: Place, bytes: usize) {
        let held = &self.held[place as usize];
        held.set(held.get() + bytes);
    }

    fn subtract(&self, place: Place, bytes: usize) {
        let held = &self.held[place as usize];
        held.set(held.get() - bytes);
    }

    /// Whether `added` bytes have room for an owner that would then hold `size` bytes.
    fn has_room(&self, added: usize, size: usize) -> bool {
        let reserved =
            if size <= SMALL_BYTES { 0 } else { (self.limit as f64 * SMALL_SHARE) as usize };
        added <= (self.limit - reserved).saturating_sub(self.total())
    }
}

/// The memory of a process for bodies and answers. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryAccount(Rc<Inner>);

impl MemoryAccount {
    /// Creates an account with room for `limit` bytes.
    pub fn new(limit: ByteCount) -> MemoryAccount {
        MemoryAccount(Rc::new(Inner { limit: limit.0, held: Default::default() }))
    }

    /// Takes `bytes`; `None` if the account has no room for them.
    pub fn try_take(&self, place: Place, bytes: usize) -> Option<Hold> {
        self.0.has_room(bytes, bytes).then(|| self.take(place, bytes))
    }

    /// Takes `bytes` even if there is no room: for bytes that exist already and must be kept, such as
    /// the answer to a request that has run.
    pub fn take(&self, place: Place, bytes: usize) -> Hold {
        self.0.add(place, bytes);
        Hold { account: self.0.clone(), place, bytes }
    }

    /// Number of bytes held for `place`.
    pub fn held(&self, place: Place) -> usize {
        self.0.held[place as usize].get()
    }

    /// Number of bytes for which there is room.
    pub fn free(&self) -> usize {
        self.0.limit.saturating_sub(self.0.total())
    }
}

/// Bytes taken from a [`MemoryAccount`], which gets them back when this is dropped.
#[derive(Debug)]
pub struct Hold {
    account: Rc<Inner>,
    place: Place,
    bytes: usize,
}

impl Hold {
    /// Number of bytes taken.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes `bytes` more. Returns whether the account had room for them.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let granted = self.account.has_room(bytes, self.bytes + bytes);
        if granted {
            self.account.add(self.place, bytes);
            self.bytes += bytes;
        }
        granted
    }

    /// Takes `bytes` more even if there is no room.
    pub fn grow(&mut self, bytes: usize) {
        self.account.add(self.place, bytes);
        self.bytes += bytes;
    }

    /// Gives back all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.account.subtract(self.place, excess);
        self.bytes -= excess;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.account.subtract(self.place, self.bytes);
    }
}
