//! Fold of the configuration stream: plans, allowances and states of data centres.
//!
//! The fold decides which changes are accepted. A change names, for each item, the
//! revision at which its author saw the item change last. The fold applies the whole
//! change or none of it: if two operators edit the same item, the change that comes
//! first in the log is accepted and the other is rejected with a conflict.

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::envelope::{LogEnvelope, WriterTable};
use crate::name::{DataCentre, PlanName, TeamName};
use crate::resource::ResourceVector;
use crate::unit::{Offset, Revision};

/// Settings of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSpec {
    pub team: TeamName,
    /// Relative share among competing plans, 1 to 1000.
    pub weight: u32,
}

/// The most that a plan may use at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllowanceSpec {
    /// Resources for batch work.
    pub batch: ResourceVector,
    /// Rate of interactive and binding requests together.
    pub requests_per_second: u32,
}

/// Whether a data centre is in service and accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DataCentreState {
    In,
    Out,
}

/// Name of a configuration item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemName {
    Plan(PlanName),
    Allowance(PlanName),
    DataCentre(DataCentre),
}

impl fmt::Display for ItemName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Plan(name) => write!(f, "plan {name}"),
            Self::Allowance(name) => write!(f, "allowance of {name}"),
            Self::DataCentre(name) => write!(f, "data centre {name}"),
        }
    }
}

/// Value of a configuration item; `None` removes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemValue {
    Plan(PlanName, Option<PlanSpec>),
    Allowance(PlanName, Option<AllowanceSpec>),
    DataCentre(DataCentre, DataCentreState),
}

impl ItemValue {
    #[must_use]
    pub fn name(&self) -> ItemName {
        match self {
            Self::Plan(name, _) => ItemName::Plan(name.clone()),
            Self::Allowance(name, _) => ItemName::Allowance(name.clone()),
            Self::DataCentre(name, _) => ItemName::DataCentre(name.clone()),
        }
    }
}

/// New value of one item; applies only if the item last changed at `premise`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemChange {
    /// Expected revision of the item, 0 if it should not exist.
    pub premise: Revision,
    pub value: ItemValue,
}

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigRecord {
    Noop,
    Changed { items: Vec<ItemChange> },
}

/// Why a change was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ConfigConflict {
    #[error("{item} changed at revision {current}, the change rests on {premise}")]
    StalePremise { item: ItemName, premise: Revision, current: Revision },
    #[error("{0} appears twice in one change")]
    RepeatedItem(ItemName),
    #[error("the change has no items")]
    Empty,
}

/// Effect of a record on the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigEffect {
    /// Repeated record or no-op.
    Ignored,
    Accepted(Revision),
    Rejected(ConfigConflict),
}

/// An item and the revision at which it last changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigItem {
    pub revision: Revision,
    pub value: ItemValue,
}

/// The accepted configuration.
///
/// Removed items are kept as tombstones, so that a delta can contain the removal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    revision: Revision,
    /// Serialised as a list, because keys of JSON objects must be strings.
    #[serde(with = "indexmap::map::serde_seq")]
    items: IndexMap<ItemName, ConfigItem>,
}

impl ConfigState {
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    #[must_use]
    pub fn item(&self, name: &ItemName) -> Option<&ConfigItem> {
        self.items.get(name)
    }

    pub fn items(&self) -> impl Iterator<Item = &ConfigItem> {
        self.items.values()
    }

    #[must_use]
    pub fn plan(&self, name: &PlanName) -> Option<&PlanSpec> {
        match &self.items.get(&ItemName::Plan(name.clone()))?.value {
            ItemValue::Plan(_, spec) => spec.as_ref(),
            _ => None,
        }
    }

    #[must_use]
    pub fn allowance(&self, plan: &PlanName) -> Option<&AllowanceSpec> {
        match &self.items.get(&ItemName::Allowance(plan.clone()))?.value {
            ItemValue::Allowance(_, spec) => spec.as_ref(),
            _ => None,
        }
    }

    /// State of a data centre; in service if the configuration has no item for it.
    #[must_use]
    pub fn data_centre(&self, name: &DataCentre) -> DataCentreState {
        match self.items.get(&ItemName::DataCentre(name.clone())).map(|item| &item.value) {
            Some(ItemValue::DataCentre(_, state)) => *state,
            _ => DataCentreState::In,
        }
    }

    /// Revision at which the item last changed, 0 if it never existed.
    #[must_use]
    pub fn premise(&self, name: &ItemName) -> Revision {
        self.items.get(name).map_or(0, |item| item.revision)
    }

    /// Items that changed after `revision`, with the revision of this state.
    #[must_use]
    pub fn delta_since(&self, revision: Revision) -> ConfigDelta {
        let items = self.items.values().filter(|item| item.revision > revision).cloned().collect();
        ConfigDelta { base: revision, revision: self.revision, items }
    }

    /// Applies the delta's newer items; `false` if its base is ahead of this state.
    pub fn apply_delta(&mut self, delta: &ConfigDelta) -> bool {
        if delta.base > self.revision {
            return false;
        }
        for item in &delta.items {
            let name = item.value.name();
            if item.revision > self.premise(&name) {
                self.items.insert(name, item.clone());
            }
        }
        self.revision = self.revision.max(delta.revision);
        true
    }

    fn check(&self, items: &[ItemChange]) -> Result<(), ConfigConflict> {
        if items.is_empty() {
            return Err(ConfigConflict::Empty);
        }
        for (position, change) in items.iter().enumerate() {
            let item = change.value.name();
            if items[..position].iter().any(|earlier| earlier.value.name() == item) {
                return Err(ConfigConflict::RepeatedItem(item));
            }
            let current = self.premise(&item);
            if current != change.premise {
                return Err(ConfigConflict::StalePremise {
                    item,
                    premise: change.premise,
                    current,
                });
            }
        }
        Ok(())
    }

    fn accept(&mut self, items: Vec<ItemChange>) -> Revision {
        self.revision += 1;
        for change in items {
            let item = ConfigItem { revision: self.revision, value: change.value };
            self.items.insert(item.value.name(), item);
        }
        self.revision
    }
}

/// Items that changed after revision `base`, up to `revision`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    pub base: Revision,
    pub revision: Revision,
    pub items: Vec<ConfigItem>,
}

/// Fold of the configuration stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFold {
    next: Offset,
    writers: WriterTable,
    state: ConfigState,
}

impl ConfigFold {
    /// Offset of the first record not yet folded.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    #[must_use]
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Folds the record at `offset`; offsets before [`next`](Self::next) have no effect.
    pub fn apply(&mut self, offset: Offset, record: LogEnvelope<ConfigRecord>) -> ConfigEffect {
        if offset < self.next {
            return ConfigEffect::Ignored;
        }
        self.next = offset + 1;
        if !self.writers.admit(&record.writer, record.sequence, offset) {
            return ConfigEffect::Ignored;
        }
        match record.body {
            ConfigRecord::Noop => ConfigEffect::Ignored,
            ConfigRecord::Changed { items } => match self.state.check(&items) {
                Ok(()) => ConfigEffect::Accepted(self.state.accept(items)),
                Err(conflict) => ConfigEffect::Rejected(conflict),
            },
        }
    }

    /// Moves past a record that does not parse.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset + 1);
    }
}
