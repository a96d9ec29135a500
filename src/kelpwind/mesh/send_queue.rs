//! Frames to be written to one connection.
//!
//! Frames are appended without waiting. One task per connection writes all queued frames with a
//! single call, so a peer that does not read never blocks the reading side.

use std::cell::{Cell, RefCell};

use bytes::BytesMut;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;

/// The encoded frames that a connection has yet to send.
#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    buffer: RefCell<BytesMut>,
    wake: Notify,
    closed: Cell<bool>,
}

impl SendQueue {
    /// Appends an encoded frame.
    pub fn push(&self, frame: &[u8]) {
        self.buffer.borrow_mut().extend_from_slice(frame);
        self.wake.notify_one();
    }

    /// Ends the writing task once the queue is empty.
    pub fn close(&self) {
        self.closed.set(true);
        self.wake.notify_one();
    }

    /// Writes queued frames until the queue is closed or the connection fails.
    pub async fn write_to(&self, mut writer: impl AsyncWrite + Unpin) {
        loop {
            let ready = self.buffer.take();
            if !ready.is_empty() {
                if let Err(e) = writer.write_all(&ready).await {
                    spdlog::debug!("failed to write to the connection to another node: {e}");
                    return;
                }
                continue;
            }
            if self.closed.get() {
                return;
            }
            self.wake.notified().await;
        }
    }
}
