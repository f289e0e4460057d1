//! `cactusdoor allowances`: shows and publishes the list of allowances.

use std::io::Write;

use crate::args::{Allowances, ListCommand};
use crate::plans::run_list;
use crate::{CommandError, Run};

impl Run for ListCommand<Allowances> {
    async fn run(self, out: &mut dyn Write) -> Result<(), CommandError> {
        run_list::<Allowances>(self.action, out).await
    }
}
