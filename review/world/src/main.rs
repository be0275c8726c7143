mod cases;
mod channel;
mod discovery;
mod endpoints;
mod json;
mod pilot;
mod proxies;
mod record;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, root] = &arguments[..] else {
        eprintln!("review-world CASE FOLDER ROOT");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::process::exit(cases::run(case, folder.as_ref(), root.as_ref(), trouble));
}
