//! Stand-ins for the scripts of the review: store, engines and callers, beside the project's own nodes.

mod all_killed;
mod caller;
mod engine;
mod forgotten;
mod http;
mod in_place;
mod node;
mod record;
mod store;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary] = &arguments[..] else {
        eprintln!("usage: review-standins CASE FOLDER TEMPORARY");
        std::process::exit(2);
    };
    let (folder, temporary) = (PathBuf::from(folder), PathBuf::from(temporary));
    let calm = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let code = match case.as_str() {
        "in-place" => in_place::run(&folder, &temporary, !calm),
        "all-killed" => all_killed::run(&folder, &temporary, !calm),
        "forgotten" => forgotten::run(&folder, &temporary, !calm),
        _ => 2,
    };
    std::process::exit(code);
}
