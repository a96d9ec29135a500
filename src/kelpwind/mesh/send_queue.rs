//! Bytes on their way out of one connection.
//!
//! Whoever has a frame appends it here and goes on; one task per connection writes what has gathered
//! with one system call. A peer that does not read therefore never holds up the reading side.

use std::cell::{Cell, RefCell};

use bytes::BytesMut;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;

/// The outbox of a connection.
#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    buffer: RefCell<BytesMut>,
    wake: Notify,
    closed: Cell<bool>,
}

impl SendQueue {
    /// Appends a frame that is encoded already.
    pub fn push(&self, frame: &[u8]) {
        self.buffer.borrow_mut().extend_from_slice(frame);
        self.wake.notify_one();
    }

    /// Ends the writing task.
    pub fn close(&self) {
        self.closed.set(true);
        self.wake.notify_one();
    }

    /// Writes what gathers until the outbox is closed or the connection fails.
    pub async fn write_to(&self, mut writer: impl AsyncWrite + Unpin) {
        loop {
            let ready = self.buffer.take();
            if !ready.is_empty() {
                if let Err(e) = writer.write_all(&ready).await {
                    spdlog::debug!("a connection to another node ended while writing: {e}");
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
