//! Which configuration an entry VM serves by, and which one may be the reason of a refusal.

use std::sync::Arc;

use medlarlift::gateway::configuration::Configuration;
use medlarlift::gateway::deployment::CallerLimits;
use medlarlift::gateway::deployment::Deployment;

fn deployment(version: u64) -> Arc<Deployment> {
    Arc::new(Deployment::new(version, CallerLimits::default()))
}

fn served(configuration: &Configuration) -> Option<u64> {
    configuration.deployment().map(|served| served.version)
}

#[test]
fn a_configuration_serves_once_it_is_confirmed() {
    let mut configuration = Configuration::default();
    assert!(configuration.receive(deployment(16)));
    assert_eq!(served(&configuration), None);
    configuration.confirm(50);
    assert_eq!(served(&configuration), None, "16 is known to be outdated");
    assert!(configuration.receive(deployment(50)));
    assert_eq!(served(&configuration), Some(50));
    assert!(configuration.is_confirmed());
}

#[test]
fn an_unconfirmed_configuration_may_serve_later_but_refuses_nothing() {
    let mut configuration = Configuration::default();
    assert!(!configuration.serve_unconfirmed(), "there is none");
    configuration.receive(deployment(16));
    assert!(configuration.serve_unconfirmed());
    assert_eq!(served(&configuration), Some(16));
    assert!(!configuration.is_confirmed());
    assert!(!configuration.serve_unconfirmed(), "it does already");
    configuration.confirm(16);
    assert!(configuration.is_confirmed());
}

#[test]
fn a_configuration_goes_on_serving_while_a_newer_one_is_on_its_way() {
    let mut configuration = Configuration::default();
    configuration.confirm(3);
    configuration.receive(deployment(3));
    configuration.confirm(4);
    assert_eq!(served(&configuration), Some(3));
    assert!(!configuration.is_confirmed(), "4 may allow what 3 refuses");
    assert!(!configuration.receive(deployment(2)));
    configuration.receive(deployment(4));
    assert_eq!(served(&configuration), Some(4));
    assert!(configuration.is_confirmed());
}
