//! The manual page and the completions cover every command, option and exit code.

use std::fs;

use hawthornkeel::cli::command::Topic;
use hawthornkeel::cli::error;
use hawthornkeel::cli::help;
use rstest::rstest;

fn read(path: &str) -> String {
    let path = format!("{}/../extra/{path}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(path).expect("the file is there")
}

/// Returns the long options in the help of all commands, without leading hyphens.
fn options() -> Vec<String> {
    let mut options = Vec::new();
    for topic in Topic::COMMANDS {
        let help = help::text(topic);
        let words = help.split(|c: char| !c.is_ascii_alphanumeric() && c != '-');
        options.extend(words.filter_map(|word| word.strip_prefix("--").map(str::to_owned)));
    }
    options.sort();
    options.dedup();
    assert_eq!(options.len(), 9, "{options:?}");
    options
}

#[rstest]
#[case::bash("completions/hawthornkeel.bash", "--")]
#[case::zsh("completions/_hawthornkeel", "--")]
#[case::fish("completions/hawthornkeel.fish", "-l ")]
fn completions_are_complete(#[case] path: &str, #[case] prefix: &str) {
    let text = read(path);
    for topic in Topic::COMMANDS {
        assert!(text.contains(topic.name()), "{path}: {}", topic.name());
    }
    for option in options() {
        assert!(text.contains(&format!("{prefix}{option}")), "{path}: {option}");
    }
}

#[test]
fn man_page_is_complete() {
    let page = read("man/hawthornkeel.1").replace("\\-", "-");
    for topic in Topic::COMMANDS {
        assert!(page.contains(&format!(".TP\n.B {}\n", topic.name())), "{}", topic.name());
    }
    for option in options() {
        assert!(page.contains(&format!("--{option}")), "{option}");
    }
    let codes = [
        error::EXIT_FAILED,
        error::EXIT_USAGE,
        error::EXIT_REFUSED,
        error::EXIT_RETRY,
        error::EXIT_UNKNOWN,
    ];
    for code in codes {
        assert!(page.contains(&format!(".TP\n.B {code}\n")), "{code}");
    }
}
