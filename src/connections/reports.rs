//! What the metrics and the log say about the connections of a listener.

use serde::Serialize;

use super::table::ClosedCounts;
use crate::events::Event;
use crate::events::EventLog;
use crate::events::Severity;
use crate::metrics_page::Meters;

/// Log line: connections of a listener that were closed since the last line.
#[derive(Clone, Debug, Serialize)]
struct ConnectionsClosed {
    listener: &'static str,
    open: usize,
    slow_head: u64,
    idle: u64,
    unread: u64,
    made_room: u64,
    no_room: u64,
}

impl Event for ConnectionsClosed {
    const KIND: &'static str = "connections_closed";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// Reports on one listener.
#[derive(Clone)]
pub struct Reports {
    listener: &'static str,
    meters: Meters,
    events: EventLog,
    reported: ClosedCounts,
}

impl Reports {
    /// Reports on the listener that the metrics call `listener`.
    pub fn new(listener: &'static str, meters: &Meters, events: &EventLog) -> Self {
        Self {
            listener,
            meters: meters.clone(),
            events: events.clone(),
            reported: ClosedCounts::default(),
        }
    }

    /// Updates the metrics, and logs one line if connections were closed for want of time or room.
    pub fn update(&mut self, open: usize, closed: ClosedCounts) {
        self.meters.set_connections(self.listener, open, &closed);
        let before = self.reported;
        self.reported = closed;
        if closed.total() - closed.routine() == before.total() - before.routine() {
            return;
        }
        self.events.emit(&ConnectionsClosed {
            listener: self.listener,
            open,
            slow_head: closed.slow_head - before.slow_head,
            idle: closed.idle - before.idle,
            unread: closed.unread - before.unread,
            made_room: closed.made_room - before.made_room,
            no_room: closed.no_room - before.no_room,
        });
    }
}
