//! Tells when frames have been written to the sockets of their links.

use std::convert::Infallible;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;

/// Part of a queued frame, dropped once the frame is written or its link is closed.
#[derive(Clone, Debug)]
pub(super) struct Unwritten {
    _frames: mpsc::Sender<Infallible>,
}

/// Frames on any number of links that may not have been written to the sockets yet.
#[derive(Debug)]
pub struct PendingWrites {
    unwritten: Unwritten,
    written: mpsc::Receiver<Infallible>,
}

impl Default for PendingWrites {
    fn default() -> Self {
        let (frames, written) = mpsc::channel(1);
        let unwritten = Unwritten { _frames: frames };
        Self { unwritten, written }
    }
}

impl PendingWrites {
    /// Adds a frame.
    pub(super) fn add(&self) -> Unwritten {
        self.unwritten.clone()
    }

    /// Waits until each frame is written or its link is closed. False if this takes longer than
    /// `limit`.
    pub async fn wait(self, limit: Duration) -> bool {
        let Self {
            unwritten,
            mut written,
        } = self;
        drop(unwritten);
        timeout(limit, written.recv()).await.is_ok()
    }
}
