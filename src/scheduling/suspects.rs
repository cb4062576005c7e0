//! At most one suspect of the crash quarantine on each engine, and each suspect on one engine at a
//! time, over all VMs.
//!
//! A crash then points at one suspect, and a request that only ran beside the one that crashes
//! engines is not with it a second time. A request that arrived at several VMs crashes no engine for
//! each of them. The coordinator of the engine's data centre decides.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Format version of [`SuspectRequest`].
pub const SUSPECT_FORMAT: u8 = 1;

/// Longest time for which a suspect holds an engine, if its VM does not give it back.
const RESERVATION_TIMEOUT_MS: u64 = 30_000;

/// A VM asks for an engine for one suspect, or gives it back.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRequest {
    /// [`SUSPECT_FORMAT`] of the sender.
    pub format: u8,
    /// The engine.
    pub server: ServerName,
    /// Digest that recognises the suspect.
    pub fingerprint: [u8; 32],
    /// The VM that dispatches the suspect.
    pub vm: VmName,
    /// Number that the VM gives to this dispatch.
    pub dispatch: u64,
    /// Whether the engine is given back.
    pub release: bool,
}

/// Who holds an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Reservation {
    fingerprint: [u8; 32],
    vm: VmName,
    dispatch: u64,
    expires_at: MonoMs,
}

/// Engines that run a suspect.
#[derive(Clone, Debug, Default)]
pub struct SuspectReservations {
    reservations: HashMap<ServerName, Reservation>,
}

impl SuspectReservations {
    /// Decides on `request`. True if the sender may dispatch its suspect.
    pub fn decide(&mut self, request: &SuspectRequest, now: MonoMs) -> bool {
        if request.format != SUSPECT_FORMAT {
            return false;
        }
        self.reservations
            .retain(|_, reservation| now < reservation.expires_at);
        let is_own = |reservation: &Reservation| {
            (&reservation.vm, reservation.dispatch) == (&request.vm, request.dispatch)
        };
        let conflicts = |(server, reservation): (&ServerName, &Reservation)| {
            let same = *server == request.server || reservation.fingerprint == request.fingerprint;
            same && !is_own(reservation)
        };
        if self.reservations.iter().any(conflicts) {
            return false;
        }
        if request.release {
            self.reservations.remove(&request.server);
            return false;
        }
        let reservation = Reservation {
            fingerprint: request.fingerprint,
            vm: request.vm.clone(),
            dispatch: request.dispatch,
            expires_at: now.plus(RESERVATION_TIMEOUT_MS),
        };
        self.reservations
            .insert(request.server.clone(), reservation);
        true
    }
}
