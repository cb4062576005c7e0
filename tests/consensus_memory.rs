//! Memory of a voter whose commands are large. The only test of its binary, since it measures the process.

use std::fs;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use medlarlift::consensus::Envelope;
use medlarlift::consensus::Handle;
use medlarlift::consensus::RestoreError;
use medlarlift::consensus::SharedMachine;
use medlarlift::consensus::StateMachine;
use medlarlift::consensus::Transport;
use medlarlift::consensus::VoterConfig;
use medlarlift::types::VmName;
use tokio::time::sleep;

/// Size of a large configuration.
const COMMAND_BYTES: usize = 1_000_000;
const COMMANDS: usize = 200;
/// A small part of the 256 MB that a controller has, and of the commands' size.
const MAX_GROWTH_KIB: u64 = 64 * 1_024;

/// A state machine that keeps the last command, like a controller the last configuration.
#[derive(Default)]
struct LastCommand(Vec<u8>);

impl StateMachine for LastCommand {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        self.0 = command.to_vec();
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.clone()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        self.0 = snapshot.to_vec();
        Ok(())
    }
}

/// No other voter.
struct NoTransport;

impl Transport for NoTransport {
    fn send(&self, _to: &VmName, _envelope: Envelope) {}
}

fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let words = line.and_then(|line| line.split_whitespace().nth(1));
    words.unwrap().parse().unwrap()
}

async fn propose(voter: &Handle, number: usize) {
    let mut command = number.to_be_bytes().to_vec();
    command.resize(COMMAND_BYTES, 0);
    while voter.propose(command.clone()).await.is_err() {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against controllers that exceed their memory with the changes of a large configuration: the log kept
/// 1,024 entries before its snapshot, whatever their size.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_commands_are_not_retained() {
    let folder = tempfile::tempdir().unwrap();
    let mut config = VoterConfig::new("a".into(), folder.path(), vec!["a".into()]);
    config.snapshot_every_entries = 96;
    let machine: SharedMachine<LastCommand> = Arc::new(Mutex::new(LastCommand::default()));
    let voter = Handle::open_voter(config, machine, Arc::new(NoTransport)).unwrap();
    propose(&voter, 0).await;
    let before_kib = resident_kib();
    for number in 1..=COMMANDS {
        propose(&voter, number).await;
    }
    let growth_kib = resident_kib().saturating_sub(before_kib);
    assert!(growth_kib <= MAX_GROWTH_KIB, "{growth_kib} KiB more");
    voter.shutdown().await;
}
