//! `cactusdoor plans`: shows and publishes the list of plans. [`run_list`] also serves
//! `cactusdoor allowances`.

use std::io::Write;

use cactusdoor_operator::OperatorClient;

use crate::args::{ListAction, ListCommand, Plans};
use crate::list::{self, PublishedList};
use crate::{CommandError, Run};

/// Age of the entry's configuration above which the operator is warned.
const STALE_CONFIG_MS: u64 = 3_000;

impl Run for ListCommand<Plans> {
    async fn run(self, out: &mut dyn Write) -> Result<(), CommandError> {
        run_list::<Plans>(self.action, out).await
    }
}

/// Shows or publishes one of the two lists. A list without sections is published only
/// with `--allow-empty`, because it removes all plans or allowances.
pub async fn run_list<L: PublishedList>(
    action: ListAction,
    out: &mut dyn Write,
) -> Result<(), CommandError> {
    match action {
        ListAction::Show { entry } => {
            let view = OperatorClient::open(entry).config().await?;
            write!(out, "{}", list::write::<L>(&view))?;
        }
        ListAction::Publish { entry, dry_run, allow_empty, file } => {
            let wanted = list::open::<L>(&file)?;
            if wanted.is_empty() && !allow_empty {
                let reason = "the list is empty; --allow-empty removes every entry".to_owned();
                return Err(CommandError::InvalidFile { path: file, reason });
            }
            let client = OperatorClient::open(entry);
            let view = client.config().await?;
            if view.confirmed_age_ms.is_none_or(|age| age > STALE_CONFIG_MS) {
                eprintln!("cactusdoor: the entry has not read the log lately, its list may be old");
            }
            let changes = list::difference::<L>(&view, wanted);
            for change in &changes {
                writeln!(out, "{}", list::describe(change))?;
            }
            if changes.is_empty() {
                writeln!(out, "nothing to change at revision {}", view.revision)?;
            } else if dry_run {
                writeln!(out, "{} change(s) not published", changes.len())?;
            } else {
                let accepted = client.change(changes).await?;
                writeln!(out, "accepted as revision {}", accepted.revision)?;
            }
        }
    }
    Ok(())
}
