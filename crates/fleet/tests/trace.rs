//! The decisions about one job are found in the logs of several processes.

use cactusdoor_fleet::trace::{print, read_lines};

const LOG: &str = r#"  1.5 edge-1 {"at":20,"process":"edge-1","event":"job_accepted","job":"ab12"}
{"at":10,"process":"side-1","event":"task_placed","task":"ab12.0.0.3","run":1}
{"at":15,"process":"side-1","event":"task_placed","task":"ab123.0.0.3","run":1}
{"at":5,"process":"side-1","event":"job_shown","job":"ab123"}
not a decision about ab12
"#;

/// The id of one job may begin with the id of another.
#[test]
fn a_trace_shows_only_the_decisions_about_its_job_in_order_of_time() {
    let found = read_lines(LOG.as_bytes(), "ab12").unwrap();
    let mut text = Vec::new();
    print(found, &mut text).unwrap();
    let text = String::from_utf8(text).unwrap();
    let events: Vec<_> = text.lines().map(|line| line.contains("job_accepted")).collect();
    assert_eq!(events, [false, true]);
}
