//! Runs the tool.

use std::process::{Command, Output};

/// The tool, at the top of the workspace.
pub fn monsoon() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_monsoon"));
    command.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    // Help texts wrap at the terminal's width.
    command.env("COLUMNS", "100");
    command
}

/// What the tool told, and how it ended.
pub fn told(output: &Output) -> String {
    format!(
        "{}{}exit code {:?}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
        output.status.code()
    )
}
