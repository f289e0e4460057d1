//! The program `cactusdoor`: runs one subcommand and maps its error to an exit code.

use std::process::ExitCode;

use cactusdoor_cli::{Run, args};

fn main() -> ExitCode {
    let command = args::parser().run();
    let result = actix_rt::System::new().block_on(command.run(&mut std::io::stdout()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cactusdoor: {}", error.chain());
            ExitCode::from(error.status() as u8)
        }
    }
}
