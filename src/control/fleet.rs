//! State that the controllers of a deployment share: the operator's configuration document, the
//! current adapter versions, the controllers, and the VM that sends orders to the engines of each
//! data centre.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::scheduling::stream_origins::SoftwareVersions;
use crate::scheduling::stream_origins::StreamOrigin;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::VmName;
use crate::types::shared_bytes;

/// A complete configuration as the operator sent it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Increases with each configuration that takes effect.
    pub version: u64,
    /// The configuration as received, byte for byte.
    #[serde(with = "shared_bytes")]
    pub body: Arc<[u8]>,
}

/// A VM that stores the replicated log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Controller {
    /// Data centre of the controller.
    pub data_centre: DataCentre,
    /// Log index of the command by which the controller joined.
    pub joined_index: u64,
}

/// The VM that sends orders to the engines of one data centre.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderHolder {
    /// The VM.
    pub vm: VmName,
    /// Fencing token of its orders: the log index of the assignment.
    pub fence: u64,
}

/// A command about the state that the controllers share.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetCommand {
    /// Changes nothing. Its commit proves that the proposer's state is current.
    Barrier,
    /// Stores a document if its version is above the stored one.
    PutDocument(Document),
    /// Sets the version of an adapter if it is above the stored one.
    SetAdapterVersion {
        /// The adapter.
        adapter: ModelName,
        /// Its version.
        version: u64,
    },
    /// Adds a controller with its data centre.
    JoinController {
        /// The controller.
        vm: VmName,
        /// Its data centre.
        data_centre: DataCentre,
    },
    /// Removes a controller that has left permanently.
    DropController {
        /// The controller.
        vm: VmName,
    },
    /// Makes `vm` the only VM that sends orders to the engines of `data_centre`.
    AssignOrders {
        /// The data centre.
        data_centre: DataCentre,
        /// The new holder.
        vm: VmName,
    },
    /// Lists a software version whose streams may be resumed.
    AddSoftware(StreamOrigin),
    /// Removes a software version none of whose streams is resumed any more.
    RemoveSoftware(StreamOrigin),
}

/// Reply to a fleet command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetReply {
    /// The command is applied.
    Done,
    /// The stored version is as high or higher; nothing changed.
    Superseded {
        /// The stored version.
        version: u64,
    },
}

/// The state that the controllers share.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fleet {
    document: Option<Document>,
    adapter_versions: BTreeMap<ModelName, u64>,
    controllers: BTreeMap<VmName, Controller>,
    holders: BTreeMap<DataCentre, OrderHolder>,
    /// The last field of a snapshot. Snapshots of the format before end without it.
    software: SoftwareVersions,
}

impl Fleet {
    /// The current configuration.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// The latest version of each adapter for which a version was set.
    pub fn adapter_versions(&self) -> &BTreeMap<ModelName, u64> {
        &self.adapter_versions
    }

    /// All controllers.
    pub fn controllers(&self) -> &BTreeMap<VmName, Controller> {
        &self.controllers
    }

    /// The VM that sends orders to the engines, for each data centre.
    pub fn holders(&self) -> &BTreeMap<DataCentre, OrderHolder> {
        &self.holders
    }

    /// Software versions of the servers whose streams may be resumed.
    pub fn software(&self) -> &SoftwareVersions {
        &self.software
    }

    /// Applies the command of the log entry at `index`.
    pub fn apply(&mut self, index: u64, command: &FleetCommand) -> FleetReply {
        match command {
            FleetCommand::Barrier => FleetReply::Done,
            FleetCommand::PutDocument(document) => self.put_document(document),
            FleetCommand::SetAdapterVersion { adapter, version } => {
                self.set_adapter_version(adapter, *version)
            }
            FleetCommand::JoinController { vm, data_centre } => {
                let controller = Controller {
                    data_centre: data_centre.clone(),
                    joined_index: index,
                };
                self.controllers.entry(vm.clone()).or_insert(controller);
                FleetReply::Done
            }
            FleetCommand::DropController { vm } => {
                self.controllers.remove(vm);
                FleetReply::Done
            }
            FleetCommand::AssignOrders { data_centre, vm } => {
                let holder = OrderHolder {
                    vm: vm.clone(),
                    fence: index,
                };
                self.holders.insert(data_centre.clone(), holder);
                FleetReply::Done
            }
            FleetCommand::AddSoftware(origin) => {
                self.software.add(index, origin);
                FleetReply::Done
            }
            FleetCommand::RemoveSoftware(origin) => {
                self.software.remove(index, origin);
                FleetReply::Done
            }
        }
    }

    fn put_document(&mut self, document: &Document) -> FleetReply {
        let stored = self.document.as_ref().map(|stored| stored.version);
        if let Some(version) = stored.filter(|stored| document.version <= *stored) {
            return FleetReply::Superseded { version };
        }
        self.document = Some(document.clone());
        FleetReply::Done
    }

    fn set_adapter_version(&mut self, adapter: &ModelName, version: u64) -> FleetReply {
        let stored = self.adapter_versions.entry(adapter.clone()).or_insert(0);
        if version <= *stored {
            return FleetReply::Superseded { version: *stored };
        }
        *stored = version;
        FleetReply::Done
    }
}
