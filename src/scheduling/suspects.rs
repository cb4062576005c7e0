//! Engine reservations for suspects of the crash quarantine, across all VMs.
//!
//! An engine runs at most one suspect and a suspect runs on at most one engine at a time. A crash
//! therefore identifies a single suspect, and a harmless request that shared an engine with the
//! cause of a crash does not share one with it again. A suspect that arrived at several VMs does
//! not crash one engine per VM. Reservations are made by the coordinator of the engine's data
//! centre.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Format version of [`SuspectRequest`].
pub const SUSPECT_FORMAT: u8 = 1;

/// Time after which a reservation lapses if the VM does not release it.
const RESERVATION_TIMEOUT_MS: u64 = 30_000;

/// Request of a VM to reserve an engine for one suspect, or to release it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRequest {
    /// [`SUSPECT_FORMAT`] of the sender.
    pub format: u8,
    /// The engine.
    pub server: ServerName,
    /// Digest that identifies the suspect.
    pub fingerprint: [u8; 32],
    /// The VM that dispatches the suspect.
    pub vm: VmName,
    /// Identifier of this dispatch, unique within the VM.
    pub dispatch: u64,
    /// Releases the reservation instead of making one.
    pub release: bool,
}

/// Reservation of one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Reservation {
    fingerprint: [u8; 32],
    vm: VmName,
    dispatch: u64,
    expires_at: MonoMs,
}

/// Reserved engines of a data centre.
#[derive(Clone, Debug, Default)]
pub struct SuspectReservations {
    reservations: HashMap<ServerName, Reservation>,
}

impl SuspectReservations {
    /// Handles `request`. Returns whether the sender may dispatch its suspect.
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
            let overlaps =
                *server == request.server || reservation.fingerprint == request.fingerprint;
            overlaps && !is_own(reservation)
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
