//! Replicated state of the fleet: documents, adapter versions, controllers and holders of orders.

use medlarlift::control::Command;
use medlarlift::control::Document;
use medlarlift::control::FleetCommand;
use medlarlift::control::FleetReply;
use medlarlift::control::Outcome;
use medlarlift::control::State;
use medlarlift::types::DataCentre;
use medlarlift::types::ModelName;
use medlarlift::types::VmName;

fn put(version: u64, body: &str) -> FleetCommand {
    FleetCommand::PutDocument(Document {
        version,
        body: body.as_bytes().into(),
    })
}

fn apply(state: &mut State, command: FleetCommand) -> FleetReply {
    let index = state.applied_index() + 1;
    match state.apply(index, &Command::Fleet(command)) {
        Outcome::Fleet(reply) => reply,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_document_with_the_highest_version_wins_and_its_content_never_changes() {
    let mut state = State::new();
    assert_eq!(apply(&mut state, put(7, "seven")), FleetReply::Done);
    let superseded = FleetReply::Superseded { version: 7 };
    assert_eq!(apply(&mut state, put(7, "other")), superseded);
    assert_eq!(apply(&mut state, put(3, "three")), superseded);
    let document = state.fleet().document().unwrap();
    assert_eq!((document.version, &*document.body), (7, &b"seven"[..]));
    assert_eq!(apply(&mut state, put(9, "nine")), FleetReply::Done);
    assert_eq!(state.fleet().document().unwrap().version, 9);
}

#[test]
fn adapter_versions_only_rise() {
    let mut state = State::new();
    let adapter = ModelName::from("base/a1");
    let name = |version| FleetCommand::SetAdapterVersion {
        adapter: adapter.clone(),
        version,
    };
    assert_eq!(apply(&mut state, name(3)), FleetReply::Done);
    assert_eq!(
        apply(&mut state, name(2)),
        FleetReply::Superseded { version: 3 }
    );
    assert_eq!(state.fleet().adapter_versions()[&adapter], 3);
}

#[test]
fn each_assignment_has_a_higher_fence() {
    let mut state = State::new();
    let assign = |vm: &str| FleetCommand::AssignOrders {
        data_centre: DataCentre::from("north"),
        vm: VmName::from(vm),
    };
    let mut last = 0;
    for vm in ["a", "b", "a"] {
        apply(&mut state, assign(vm));
        let holder = &state.fleet().holders()["north"];
        assert_eq!(holder.vm, VmName::from(vm));
        assert!(holder.fence > last);
        last = holder.fence;
    }
}

#[test]
fn a_snapshot_keeps_the_fleet() {
    let mut state = State::new();
    apply(&mut state, put(7, "seven"));
    let join = FleetCommand::JoinController {
        vm: VmName::from("10.0.0.1"),
        data_centre: DataCentre::from("north"),
    };
    apply(&mut state, join);
    let restored = State::from_bytes(&state.to_bytes()).unwrap();
    assert_eq!(restored.fleet(), state.fleet());
}
