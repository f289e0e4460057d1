//! Pages of the changes that an entry gets from an owner.

use cactusdoor_fleet::state_changes::StateChanges;
use cactusdoor_queue::name::JobId;
use cactusdoor_queue::report::JobState;

const CHANGES: usize = 350_000;
/// Most bytes of one change on the wire: id of 64 characters, lengths and state.
const CHANGE_BYTES: usize = 64 + 12;
/// Bytes that a frame holds beside its envelope.
const FRAME_BYTES: usize = 8 * 1024 * 1024;

fn job(number: usize) -> JobId {
    format!("j{number}").as_str().into()
}

/// Guards against an entry that never learns a job's state: all changes of a long term went
/// with one answer, which exceeded a frame.
#[test]
fn changes_beyond_a_frame_go_with_later_answers() {
    let mut changes = StateChanges::default();
    for number in 0..CHANGES {
        changes.push((job(number), JobState::Queued));
    }
    let (mut from, mut known) = (0, 0);
    while changes.has_after(from) {
        let (page, next) = changes.page(from);
        assert!(page.len() * CHANGE_BYTES < FRAME_BYTES, "{} changes", page.len());
        assert!(!page.is_empty());
        for (id, _) in page {
            assert_eq!(*id, job(known), "each change is sent once, in sequence");
            known += 1;
        }
        from = next;
    }
    assert_eq!(known, CHANGES);
}

#[test]
fn a_position_beyond_the_last_change_gets_none() {
    let mut changes = StateChanges::default();
    changes.push((job(1), JobState::Running));
    assert_eq!(changes.page(7), (&[][..], 1));
    assert!(!changes.has_after(7));
}
