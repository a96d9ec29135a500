//! Messages to be written to one connection.
//!
//! Messages are appended without waiting. One task per connection writes them in the order of
//! [`super::send_order`], several small ones with a single call, so a peer that does not read never
//! blocks the reading side.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use bytes::BytesMut;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::sleep_until;

use super::frame::Message;
use super::send_order::{CHUNK_BYTES, Removed, SendOrder, is_chunk};
use crate::net::pacing::Pacer;

/// Bytes that are written with one call, beyond which no further message is added.
const WRITE_BYTES: usize = 2 * CHUNK_BYTES;
/// Buffer that an idle connection keeps, in bytes. A node may have thousands of connections.
const IDLE_BYTES: usize = 4 << 10;

/// The messages that a connection has yet to send.
#[derive(Debug)]
pub(crate) struct SendQueue {
    order: RefCell<SendOrder<Rc<Message>>>,
    /// Shared by all connections of the node.
    pacer: Rc<Pacer>,
    wake: Notify,
    closed: Cell<bool>,
    /// Whether messages are being written.
    writing: Cell<bool>,
}

impl SendQueue {
    /// Creates an empty queue.
    pub fn new(pacer: Rc<Pacer>) -> SendQueue {
        SendQueue {
            order: RefCell::default(),
            pacer,
            wake: Notify::new(),
            closed: Cell::new(false),
            writing: Cell::new(false),
        }
    }

    /// Number of bytes left of large messages.
    pub fn large_bytes(&self) -> usize {
        self.order.borrow().large_bytes()
    }

    /// Appends a message with a number.
    pub fn push(&self, message: &Rc<Message>) {
        let (number, priority) = (message.number, message.priority);
        self.order.borrow_mut().push(number, priority, message.size(), message.clone());
        self.wake.notify_one();
    }

    /// Appends a control message.
    pub fn push_control(&self, message: &Rc<Message>) {
        self.order.borrow_mut().push_control(message.clone());
        self.wake.notify_one();
    }

    /// Drops what is left of the message with this number.
    pub fn remove(&self, number: u64) -> Removed {
        self.order.borrow_mut().remove(number)
    }

    /// Records how many chunks the peer has received.
    pub fn confirm(&self, received: u64) {
        self.order.borrow_mut().confirm(received);
        self.wake.notify_one();
    }

    /// Whether all messages have been written.
    pub fn is_idle(&self) -> bool {
        !self.writing.get() && self.order.borrow().is_empty()
    }

    /// Ends the writing task once the queue is empty.
    pub fn close(&self) {
        self.closed.set(true);
        self.wake.notify_one();
    }

    /// Drops all messages and ends the writing task.
    pub fn discard(&self) {
        self.order.replace(SendOrder::default());
        self.close();
    }

    /// Writes messages until the queue is closed or the connection fails.
    pub async fn write_to(&self, mut writer: impl AsyncWrite + Unpin) {
        let mut buffer = BytesMut::new();
        // When the next chunk may be sent.
        let mut turn: Option<Instant> = None;
        loop {
            buffer.clear();
            if self.pacer.is_active() {
                self.fill_paced(&mut buffer, &mut turn);
            } else {
                self.fill(&mut buffer);
            }
            if !buffer.is_empty() {
                self.writing.set(true);
                let written = writer.write_all(&buffer).await;
                self.writing.set(false);
                if let Err(e) = written {
                    spdlog::debug!("failed to write to the connection to another node: {e}");
                    return;
                }
                continue;
            }
            if self.closed.get() {
                return;
            }
            if buffer.capacity() > IDLE_BYTES {
                buffer = BytesMut::new();
            }
            match turn {
                None => self.wake.notified().await,
                Some(turn) => tokio::select! {
                    () = sleep_until(turn.into()) => {}
                    () = self.wake.notified() => {}
                },
            }
        }
    }

    /// Appends the next messages to a buffer, of large ones only the chunk whose turn it is. Reserves a
    /// turn for the next chunk.
    fn fill_paced(&self, buffer: &mut BytesMut, turn: &mut Option<Instant>) {
        let now = Instant::now();
        let mut order = self.order.borrow_mut();
        loop {
            if turn.is_none() {
                *turn = order.next_chunk().map(|bytes| self.pacer.reserve(bytes, now));
            }
            if buffer.len() >= WRITE_BYTES {
                return;
            }
            let Some(piece) = order.take_next_of(turn.is_some_and(|at| at <= now)) else {
                // The message whose turn it was may have been removed.
                *turn = turn.filter(|_| order.next_chunk().is_some());
                return;
            };
            if is_chunk(piece.start, piece.last) {
                *turn = None;
            } else {
                self.pacer.record_sent(piece.end - piece.start, now);
            }
            piece.item.append_piece(piece.start, piece.end, piece.last, buffer);
        }
    }

    /// Appends the next messages to a buffer, as much as is written with one call.
    fn fill(&self, buffer: &mut BytesMut) {
        let mut order = self.order.borrow_mut();
        while buffer.len() < WRITE_BYTES
            && let Some(piece) = order.take_next()
        {
            piece.item.append_piece(piece.start, piece.end, piece.last, buffer);
        }
    }
}
