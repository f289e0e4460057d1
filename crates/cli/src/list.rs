//! The lists of plans and allowances that operators publish: as INI files, and as the
//! changes that lead from the current configuration to a file.
//!
//! Only items that differ are changed, and a change touches only the items of its own
//! list. Each change states the revision on which it is based, so that the fold rejects
//! it if another operator changed the item meanwhile.

use std::path::Path;

use cactusdoor_core::config::{AllowanceSpec, ItemChange, ItemName, ItemValue, PlanSpec};
use cactusdoor_core::name::{PlanName, TeamName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::Revision;
use cactusdoor_node::settings::{InvalidKind, SettingsError, SettingsFile};
use cactusdoor_operator::types::ConfigView;
use indexmap::IndexMap;

/// Accepted plan and team names, for error messages.
const NAME_FORMAT: &str = "letters, digits and -_.:@, 1 to 128";

/// One of the two lists, with one section or item per plan.
pub trait PublishedList: 'static {
    type Spec: PartialEq;

    fn read_spec(file: &mut SettingsFile, section: &str) -> Option<Self::Spec>;
    fn format_spec(spec: &Self::Spec) -> String;
    fn value(plan: PlanName, spec: Option<Self::Spec>) -> ItemValue;
    /// The plan and its specification, if the value belongs to this list.
    fn spec(value: &ItemValue) -> Option<(&PlanName, Option<&Self::Spec>)>;
}

impl PublishedList for crate::args::Plans {
    type Spec = PlanSpec;

    fn read_spec(file: &mut SettingsFile, section: &str) -> Option<PlanSpec> {
        let team: Option<TeamName> = file.required(section, "team", NAME_FORMAT);
        let weight = file.integer(section, "weight", (1, 1_000), None);
        Some(PlanSpec { team: team?, weight: u32::try_from(weight?).ok()? })
    }

    fn format_spec(spec: &PlanSpec) -> String {
        format!("team = {}\nweight = {}\n", spec.team, spec.weight)
    }

    fn value(plan: PlanName, spec: Option<PlanSpec>) -> ItemValue {
        ItemValue::Plan(plan, spec)
    }

    fn spec(value: &ItemValue) -> Option<(&PlanName, Option<&PlanSpec>)> {
        match value {
            ItemValue::Plan(plan, spec) => Some((plan, spec.as_ref())),
            _ => None,
        }
    }
}

impl PublishedList for crate::args::Allowances {
    type Spec = AllowanceSpec;

    fn read_spec(file: &mut SettingsFile, section: &str) -> Option<AllowanceSpec> {
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

    fn format_spec(spec: &AllowanceSpec) -> String {
        format!(
            "processors = {}\nmemory = {}\naccelerators = {}\nrequests_per_second = {}\n",
            spec.batch.processors,
            spec.batch.memory,
            spec.batch.accelerators,
            spec.requests_per_second
        )
    }

    fn value(plan: PlanName, spec: Option<AllowanceSpec>) -> ItemValue {
        ItemValue::Allowance(plan, spec)
    }

    fn spec(value: &ItemValue) -> Option<(&PlanName, Option<&AllowanceSpec>)> {
        match value {
            ItemValue::Allowance(plan, spec) => Some((plan, spec.as_ref())),
            _ => None,
        }
    }
}

/// Reads a list; the error reports every invalid setting of the file.
pub fn read<L: PublishedList>(
    mut file: SettingsFile,
) -> Result<IndexMap<PlanName, L::Spec>, SettingsError> {
    let mut list = Some(IndexMap::new());
    for section in file.sections() {
        let spec = L::read_spec(&mut file, &section);
        let plan = PlanName::new(&section);
        if plan.is_err() {
            let accepted = format!("a plan as section name ({NAME_FORMAT})");
            let kind = InvalidKind::Invalid { value: section.clone(), accepted };
            file.report_invalid(&section, "", kind);
        }
        match (plan, spec, &mut list) {
            (Ok(plan), Some(spec), Some(list)) => {
                if list.insert(plan, spec).is_some() {
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
pub fn open<L: PublishedList>(path: &Path) -> Result<IndexMap<PlanName, L::Spec>, SettingsError> {
    read::<L>(SettingsFile::open(path)?)
}

/// Formats the current list as an INI file.
#[must_use]
pub fn write<L: PublishedList>(view: &ConfigView) -> String {
    let specs = view.items.iter().filter_map(|item| L::spec(&item.value));
    let present = specs.filter_map(|(plan, spec)| Some((plan, spec?)));
    let sections = present.map(|(plan, spec)| format!("[{plan}]\n{}", L::format_spec(spec)));
    sections.collect::<Vec<_>>().join("\n")
}

/// The changes that lead from the current list to `wanted`: removals first.
#[must_use]
pub fn difference<L: PublishedList>(
    view: &ConfigView,
    wanted: IndexMap<PlanName, L::Spec>,
) -> Vec<ItemChange> {
    let mut current: IndexMap<&PlanName, (Revision, Option<&L::Spec>)> = IndexMap::new();
    for item in &view.items {
        if let Some((plan, spec)) = L::spec(&item.value) {
            current.insert(plan, (item.revision, spec));
        }
    }
    let mut changes = Vec::new();
    for (plan, (premise, spec)) in &current {
        if spec.is_some() && !wanted.contains_key(*plan) {
            let value = L::value((*plan).clone(), None);
            changes.push(ItemChange { premise: *premise, value });
        }
    }
    for (plan, spec) in wanted {
        let (premise, present) = current.get(&plan).copied().unwrap_or((0, None));
        if present != Some(&spec) {
            changes.push(ItemChange { premise, value: L::value(plan, Some(spec)) });
        }
    }
    changes
}

/// Describes a change in one line.
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
