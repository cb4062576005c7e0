//! What the metrics and the log say about the connections of a listener.

use log::warn;
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
    #[serde(flatten)]
    closed: ClosedCounts,
}

impl Event for ConnectionsClosed {
    const KIND: &'static str = "connections_closed";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// Where reports go.
#[derive(Clone)]
enum Sink {
    /// The metrics page and the structured log.
    Events {
        meters: Box<Meters>,
        events: EventLog,
    },
    /// The plain log.
    Log,
}

/// Reports on one listener.
#[derive(Clone)]
pub struct Reports {
    listener: &'static str,
    sink: Sink,
    reported: ClosedCounts,
}

impl Reports {
    /// Reports on the listener that the metrics call `listener`.
    pub fn new(listener: &'static str, meters: &Meters, events: &EventLog) -> Self {
        Self {
            listener,
            sink: Sink::Events {
                meters: Box::new(meters.clone()),
                events: events.clone(),
            },
            reported: ClosedCounts::default(),
        }
    }

    /// Reports on a listener in the plain log.
    pub fn logged(listener: &'static str) -> Self {
        Self {
            listener,
            sink: Sink::Log,
            reported: ClosedCounts::default(),
        }
    }

    /// Updates the metrics, and logs one line if connections were closed for want of time or room.
    pub fn update(&mut self, open: usize, closed: ClosedCounts) {
        let new = closed.since(&self.reported);
        self.reported = closed;
        let is_worth_a_line = new.total() > new.routine();
        match &self.sink {
            Sink::Events { meters, events } => {
                meters.set_connections(self.listener, open, &closed);
                if is_worth_a_line {
                    events.emit(&ConnectionsClosed {
                        listener: self.listener,
                        open,
                        closed: new,
                    });
                }
            }
            Sink::Log if is_worth_a_line => {
                warn!(
                    "{}: closed connections, {open} open: {new:?}",
                    self.listener
                );
            }
            Sink::Log => {}
        }
    }
}
