//! Support for tests that run the `monsoon` binary.

use std::process::{Command, Output};

/// A command that runs the tool in the workspace's root directory.
pub fn monsoon() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_monsoon"));
    command.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    // Help texts wrap at the terminal's width, so a fixed width keeps them the same everywhere.
    command.env("COLUMNS", "100");
    command
}

/// Standard output, standard error and exit code of a run, as one text.
pub fn printed(output: &Output) -> String {
    format!(
        "{}{}exit code {:?}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
        output.status.code()
    )
}
