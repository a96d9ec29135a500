//! Messages to be written to one connection.
//!
//! Messages are appended without waiting. One task per connection writes them in the order of
//! [`super::send_order`], several small ones with a single call, so a peer that does not read never
//! blocks the reading side.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::BytesMut;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;

use super::frame::Message;
use super::send_order::{CHUNK_BYTES, Removed, SendOrder};

/// Bytes that are written with one call, beyond which no further message is added.
const WRITE_BYTES: usize = 2 * CHUNK_BYTES;
/// Buffer that an idle connection keeps, in bytes. A node may have thousands of connections.
const IDLE_BYTES: usize = 4 << 10;

/// The messages that a connection has yet to send.
#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    order: RefCell<SendOrder<Rc<Message>>>,
    wake: Notify,
    closed: Cell<bool>,
    /// Whether messages are being written.
    writing: Cell<bool>,
}

impl SendQueue {
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
        loop {
            buffer.clear();
            self.fill(&mut buffer);
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
            self.wake.notified().await;
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
