//! The order in which the messages of one connection between two nodes are sent.
//!
//! Load pattern: large bodies share a slow connection with small requests and answers. A message that
//! is larger than [`CHUNK_BYTES`] is sent in chunks, between which others go. Control messages go
//! first, then small messages, then chunks, each by priority. Large messages of one priority take
//! turns. A queue that has waited while [`PASSED_BYTES_MAX`] of others went gets the next turn, so
//! none starves. The chunks that the peer has not confirmed are limited to [`WINDOW_CHUNKS`]: what is
//! in the buffers of the network can't be overtaken. This module does no I/O.

use std::collections::VecDeque;

/// Largest part of a message that is sent at once, in bytes. It occupies a link of 10 Mbit/s for
/// 13 ms.
pub const CHUNK_BYTES: usize = 16 << 10;
/// Chunks that may be under way without a confirmation. A small message waits behind them for 105 ms
/// on a link of 10 Mbit/s; with a round trip of 5 ms they carry 200 Mbit/s.
pub const WINDOW_CHUNKS: u64 = 8;
/// Bytes of other messages after which a queue gets a turn.
pub const PASSED_BYTES_MAX: usize = 128 << 10;
/// Number of priorities that are told apart. All lower ones count as the last.
const PRIORITIES: usize = 4;

/// One message, or what is left of it.
#[derive(Debug)]
struct Queued<T> {
    number: u64,
    size: usize,
    sent: usize,
    item: T,
}

/// The messages of one size class and priority.
#[derive(Debug)]
struct Lane<T> {
    messages: VecDeque<Queued<T>>,
    /// Bytes of other lanes that were sent since this one had its last turn.
    passed: usize,
}

/// Part of a message to send next.
#[derive(Debug, PartialEq, Eq)]
pub struct Piece<T> {
    /// The message.
    pub item: T,
    /// Offset of the part in bytes.
    pub start: usize,
    /// End of the part in bytes.
    pub end: usize,
    /// Whether it is the last part of the message.
    pub last: bool,
}

/// What a message had sent when it was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removed {
    /// There was no such message.
    Absent,
    /// None of its bytes were sent.
    Unsent,
    /// Part of its bytes were sent.
    Partial,
}

/// The messages that a connection has yet to send.
#[derive(Debug)]
pub struct SendOrder<T> {
    control: VecDeque<T>,
    /// Small messages by priority, then large ones by priority.
    lanes: [Lane<T>; 2 * PRIORITIES],
    /// Number of messages in all lanes.
    queued: usize,
    /// Number of chunks sent.
    chunks_sent: u64,
    /// How many of these the peer has confirmed.
    confirmed: u64,
}

impl<T> Default for SendOrder<T> {
    fn default() -> SendOrder<T> {
        SendOrder {
            control: VecDeque::new(),
            lanes: std::array::from_fn(|_| Lane { messages: VecDeque::new(), passed: 0 }),
            queued: 0,
            chunks_sent: 0,
            confirmed: 0,
        }
    }
}

/// Whether part of a message counts towards [`WINDOW_CHUNKS`]: whether it is not all of it. Both ends must agree on it.
pub fn is_chunk(start: usize, last: bool) -> bool {
    start > 0 || !last
}

impl<T: Clone> SendOrder<T> {
    /// Whether nothing is left to send.
    pub fn is_empty(&self) -> bool {
        self.control.is_empty() && self.queued == 0
    }

    /// Adds a control message, which goes before all others.
    pub fn push_control(&mut self, item: T) {
        self.control.push_back(item);
    }

    /// Adds a message of `size` bytes; priority 0 is the highest. A large message that is already
    /// queued under its number isn't added again.
    pub fn push(&mut self, number: u64, priority: u8, size: usize, item: T) {
        let large = size > CHUNK_BYTES;
        let class = if large { PRIORITIES } else { 0 };
        let lane = &mut self.lanes[class + usize::from(priority).min(PRIORITIES - 1)];
        if large && lane.messages.iter().any(|m| m.number == number) {
            return;
        }
        if lane.messages.is_empty() {
            lane.passed = 0;
        }
        lane.messages.push_back(Queued { number, size, sent: 0, item });
        self.queued += 1;
    }

    /// Removes the message with this number.
    pub fn remove(&mut self, number: u64) -> Removed {
        if self.queued == 0 {
            return Removed::Absent;
        }
        for lane in &mut self.lanes {
            let Some(i) = lane.messages.iter().position(|m| m.number == number) else { continue };
            let sent = lane.messages.remove(i).map_or(0, |m| m.sent);
            self.queued -= 1;
            return if sent > 0 { Removed::Partial } else { Removed::Unsent };
        }
        Removed::Absent
    }

    /// Records how many chunks the peer has received over this connection.
    pub fn confirm(&mut self, received: u64) {
        self.confirmed = self.confirmed.max(received.min(self.chunks_sent));
    }

    /// Number of bytes left of large messages.
    pub fn large_bytes(&self) -> usize {
        let large = self.lanes[PRIORITIES..].iter().flat_map(|lane| &lane.messages);
        large.map(|m| m.size - m.sent).sum()
    }

    /// Size of the next part of a large message that the window allows; `None` if there is none.
    pub fn next_chunk(&self) -> Option<usize> {
        if self.chunks_sent - self.confirmed >= WINDOW_CHUNKS {
            return None;
        }
        let mut large = self.lanes[PRIORITIES..].iter().filter_map(|lane| lane.messages.front());
        large.next().map(|m| (m.size - m.sent).min(CHUNK_BYTES))
    }

    /// Removes the next part to send; `None` if there is none, or only chunks that the window does
    /// not allow.
    pub fn take_next(&mut self) -> Option<Piece<T>> {
        self.take_next_of(true)
    }

    /// The same, without chunks unless `chunks` is set.
    pub fn take_next_of(&mut self, chunks: bool) -> Option<Piece<T>> {
        if let Some(item) = self.control.pop_front() {
            return Some(Piece { item, start: 0, end: 0, last: true });
        }
        if self.queued == 0 {
            return None;
        }
        let index = self.next_lane(chunks)?;
        let lane = &mut self.lanes[index];
        let mut message = lane.messages.pop_front()?;
        let start = message.sent;
        let end = message.size.min(start + CHUNK_BYTES);
        let last = end == message.size;
        let item = message.item.clone();
        message.sent = end;
        if last {
            self.queued -= 1;
        } else {
            lane.messages.push_back(message);
        }
        if is_chunk(start, last) {
            self.chunks_sent += 1;
        }
        for (i, other) in self.lanes.iter_mut().enumerate() {
            other.passed = if i == index { 0 } else { other.passed + (end - start) };
        }
        Some(Piece { item, start, end, last })
    }

    /// The lane whose turn it is: the one that was passed over for longest if that is too long,
    /// otherwise the first.
    fn next_lane(&self, chunks: bool) -> Option<usize> {
        let open = chunks && self.chunks_sent - self.confirmed < WINDOW_CHUNKS;
        let allowed = if open { self.lanes.len() } else { PRIORITIES };
        let waiting =
            || (0..allowed).map(|i| (i, &self.lanes[i])).filter(|(_, l)| !l.messages.is_empty());
        let longest = waiting().max_by_key(|(_, lane)| lane.passed);
        let starved = longest.filter(|(_, lane)| lane.passed >= PASSED_BYTES_MAX);
        starved.or_else(|| waiting().next()).map(|(i, _)| i)
    }
}
