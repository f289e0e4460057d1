//! The two lists that operators publish, as files and as changes.

use std::path::Path;

use cactusdoor_core::config::{AllowanceSpec, ItemChange, ItemName, ItemValue, PlanSpec};
use cactusdoor_core::name::{PlanName, TeamName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::Revision;
use cactusdoor_node::settings::{InvalidKind, SettingsError, SettingsFile};
use cactusdoor_operator::types::ConfigView;
use indexmap::IndexMap;

const NAMES: &str = "letters, digits and -_.:@, 1 to 128";

/// One of the two lists.
pub trait PublishedList: 'static {
    type Entry: PartialEq;

    fn read_entry(file: &mut SettingsFile, section: &str) -> Option<Self::Entry>;
    fn write_entry(entry: &Self::Entry) -> String;
    fn value(plan: PlanName, entry: Option<Self::Entry>) -> ItemValue;
    /// The entry, if the value belongs to this list.
    fn entry(value: &ItemValue) -> Option<(&PlanName, Option<&Self::Entry>)>;
}

impl PublishedList for crate::args::Plans {
    type Entry = PlanSpec;

    fn read_entry(file: &mut SettingsFile, section: &str) -> Option<PlanSpec> {
        let team: Option<TeamName> = file.required(section, "team", NAMES);
        let weight = file.integer(section, "weight", (1, 1_000), None);
        Some(PlanSpec { team: team?, weight: u32::try_from(weight?).ok()? })
    }

    fn write_entry(entry: &PlanSpec) -> String {
        format!("team = {}\nweight = {}\n", entry.team, entry.weight)
    }

    fn value(plan: PlanName, entry: Option<PlanSpec>) -> ItemValue {
        ItemValue::Plan(plan, entry)
    }

    fn entry(value: &ItemValue) -> Option<(&PlanName, Option<&PlanSpec>)> {
        match value {
            ItemValue::Plan(plan, entry) => Some((plan, entry.as_ref())),
            _ => None,
        }
    }
}

impl PublishedList for crate::args::Allowances {
    type Entry = AllowanceSpec;

    fn read_entry(file: &mut SettingsFile, section: &str) -> Option<AllowanceSpec> {
        let limit = u64::from(u32::MAX);
        let mut amount = |key| file.integer(section, key, (0, limit), None);
        let (processors, memory) = (amount("processors"), amount("memory"));
        let (accelerators, requests) = (amount("accelerators"), amount("requests_per_second"));
        let accelerators = u32::try_from(accelerators?).ok()?;
        Some(AllowanceSpec {
            batch: ResourceVector::new(processors?, memory?, accelerators),
            requests_per_second: u32::try_from(requests?).ok()?,
        })
    }

    fn write_entry(entry: &AllowanceSpec) -> String {
        format!(
            "processors = {}\nmemory = {}\naccelerators = {}\nrequests_per_second = {}\n",
            entry.batch.processors,
            entry.batch.memory,
            entry.batch.accelerators,
            entry.requests_per_second
        )
    }

    fn value(plan: PlanName, entry: Option<AllowanceSpec>) -> ItemValue {
        ItemValue::Allowance(plan, entry)
    }

    fn entry(value: &ItemValue) -> Option<(&PlanName, Option<&AllowanceSpec>)> {
        match value {
            ItemValue::Allowance(plan, entry) => Some((plan, entry.as_ref())),
            _ => None,
        }
    }
}

/// Reads a list; every fault of the file is reported.
pub fn read<L: PublishedList>(
    mut file: SettingsFile,
) -> Result<IndexMap<PlanName, L::Entry>, SettingsError> {
    let mut list = Some(IndexMap::new());
    for section in file.sections() {
        let entry = L::read_entry(&mut file, &section);
        let plan = PlanName::new(&section);
        if plan.is_err() {
            let accepted = format!("a plan as section name ({NAMES})");
            let kind = InvalidKind::Invalid { value: section.clone(), accepted };
            file.report_invalid(&section, "", kind);
        }
        match (plan, entry, &mut list) {
            (Ok(plan), Some(entry), Some(list)) => {
                if list.insert(plan, entry).is_some() {
                    let accepted = "each plan once".to_owned();
                    let kind = InvalidKind::Invalid { value: section.clone(), accepted };
                    file.report_invalid(&section, "", kind);
                }
            }
            _ => list = None,
        }
    }
    file.finish(list)
}

/// Opens and reads a list.
pub fn open<L: PublishedList>(path: &Path) -> Result<IndexMap<PlanName, L::Entry>, SettingsError> {
    read::<L>(SettingsFile::open(path)?)
}

/// The current list as a file.
#[must_use]
pub fn write<L: PublishedList>(view: &ConfigView) -> String {
    let entries = view.items.iter().filter_map(|item| L::entry(&item.value));
    let present = entries.filter_map(|(plan, entry)| Some((plan, entry?)));
    let sections = present.map(|(plan, entry)| format!("[{plan}]\n{}", L::write_entry(entry)));
    sections.collect::<Vec<_>>().join("\n")
}

/// The changes that lead from the current list to `wanted`.
#[must_use]
pub fn difference<L: PublishedList>(
    view: &ConfigView,
    wanted: IndexMap<PlanName, L::Entry>,
) -> Vec<ItemChange> {
    let mut current: IndexMap<&PlanName, (Revision, Option<&L::Entry>)> = IndexMap::new();
    for item in &view.items {
        if let Some((plan, entry)) = L::entry(&item.value) {
            current.insert(plan, (item.revision, entry));
        }
    }
    let mut changes = Vec::new();
    for (plan, (premise, entry)) in &current {
        if entry.is_some() && !wanted.contains_key(*plan) {
            let value = L::value((*plan).clone(), None);
            changes.push(ItemChange { premise: *premise, value });
        }
    }
    for (plan, entry) in wanted {
        let (premise, present) = current.get(&plan).copied().unwrap_or((0, None));
        if present != Some(&entry) {
            changes.push(ItemChange { premise, value: L::value(plan, Some(entry)) });
        }
    }
    changes
}

/// One line per change.
#[must_use]
pub fn describe(change: &ItemChange) -> String {
    let item: ItemName = change.value.name();
    match &change.value {
        ItemValue::Plan(_, None) | ItemValue::Allowance(_, None) => format!("- {item}"),
        ItemValue::Plan(_, Some(spec)) => {
            format!("+ {item}: team {}, weight {}", spec.team, spec.weight)
        }
        ItemValue::Allowance(_, Some(spec)) => format!(
            "+ {item}: processors {}, memory {}, accelerators {}, {} requests per second",
            spec.batch.processors,
            spec.batch.memory,
            spec.batch.accelerators,
            spec.requests_per_second
        ),
        ItemValue::DataCentre(_, state) => format!("+ {item}: {state:?}"),
    }
}
