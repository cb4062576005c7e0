//! State machine of the replicated log, which holds the control state.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use log::error;

use crate::consensus::RestoreError;
use crate::consensus::StateMachine;
use crate::control::Command;
use crate::control::FieldError;
use crate::control::Outcome;
use crate::control::State;

/// Control state, shared between the log that applies commands and the components that read it.
pub type SharedControlState = Arc<Mutex<ControlStateMachine>>;

/// Applies encoded commands to the control state.
#[derive(Debug, Default)]
pub struct ControlStateMachine {
    state: State,
}

impl ControlStateMachine {
    /// Returns the control state.
    pub fn state(&self) -> &State {
        &self.state
    }
}

/// Locks the shared control state for reading.
pub fn lock(shared: &SharedControlState) -> MutexGuard<'_, ControlStateMachine> {
    shared.lock().expect("the state machine does not panic")
}

impl StateMachine for ControlStateMachine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let outcome = match Command::from_bytes(command) {
            Ok(command) => self.state.apply(index, &command),
            Err(error) => {
                error!("control: failed to decode log entry {index}: {error}");
                Outcome::Invalid(FieldError::new("command", "", "an encoded command"))
            }
        };
        outcome.to_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.to_bytes()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        self.state = State::from_bytes(snapshot).map_err(|error| RestoreError {
            bytes: snapshot.len(),
            reason: error.to_string(),
        })?;
        Ok(())
    }
}
