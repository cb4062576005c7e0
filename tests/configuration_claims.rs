//! Confirmations that a controller cannot have.

use std::sync::Arc;

use medlarlift::gateway::configuration::Configuration;
use medlarlift::gateway::deployment::CallerLimits;
use medlarlift::gateway::deployment::Deployment;

/// Shows that one status with a version that no log holds leaves an entry VM without refusals until it is
/// restarted, although all controllers confirm the configuration that it has.
#[test]
fn a_claimed_version_that_no_controller_has_does_not_unconfirm_the_configuration_for_good() {
    let mut configuration = Configuration::default();
    configuration.confirm(50);
    configuration.receive(Arc::new(Deployment::new(50, CallerLimits::default())));
    assert!(configuration.is_confirmed());
    configuration.confirm(u64::MAX);
    for _ in 0..100 {
        configuration.confirm(50);
    }
    assert!(configuration.is_confirmed());
}

/// Shows that a VM begins to serve by a configuration that it knows to be outdated: a controller has confirmed a newer
/// version, in which a key may have been withdrawn.
#[test]
fn a_configuration_that_is_known_to_be_outdated_does_not_begin_to_serve() {
    let mut configuration = Configuration::default();
    configuration.confirm(50);
    configuration.receive(Arc::new(Deployment::new(16, CallerLimits::default())));
    assert!(!configuration.serve_unconfirmed());
    assert!(configuration.deployment().is_none());
}
