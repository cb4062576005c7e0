//! Log line of a request in progress.

use std::sync::Arc;

use tokio::time::Instant;

use super::context::Gateway;
use super::exchange::elapsed_ms;
use super::record::RequestRecord;

/// Logs a request whose caller disconnected before it had an answer.
pub(super) struct RecordGuard {
    gateway: Arc<Gateway>,
    started: Instant,
    pub(super) record: RequestRecord,
    is_open: bool,
}

impl RecordGuard {
    pub(super) fn new(gateway: &Arc<Gateway>, started: Instant, record: RequestRecord) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            started,
            record,
            is_open: true,
        }
    }

    pub(super) fn close(mut self) -> RequestRecord {
        self.is_open = false;
        std::mem::take(&mut self.record)
    }
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        if self.is_open {
            self.record.reason = Some("caller_left");
            self.record.total_ms = elapsed_ms(self.started);
            self.gateway.log_request(&self.record);
        }
    }
}
