//! Which upstreams count as present.

use cactusdoor_core::unit::Moment;
use cactusdoor_upstream::announcement::{
    Announcement, AnnouncementBook, AnnouncementEffect, MAX_SERVICES, UPSTREAM_SILENCE,
};

const NOW: Moment = Moment(1_000_000);

fn announcement(service: &str) -> Announcement {
    Announcement {
        service: service.parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        slots: 8,
        connections: 64,
    }
}

/// Guards against requests to an upstream that died without a farewell.
#[test]
fn silent_upstream_is_gone() {
    let mut book = AnnouncementBook::default();
    assert_eq!(book.announce(NOW, announcement("s")), AnnouncementEffect::New);
    let service = "s".parse().unwrap();
    let last = NOW.after(UPSTREAM_SILENCE - 1);
    assert!(book.upstream(last, &service).is_some());
    let over = NOW.after(UPSTREAM_SILENCE);
    assert!(book.upstream(over, &service).is_none());
    assert_eq!(book.present(over).count(), 0);
    assert_eq!(book.announce(over, announcement("s")), AnnouncementEffect::New);
}

/// Guards against a late announcement that brings new work to a leaving upstream.
#[test]
fn late_announcement_does_not_revive_a_leaving_upstream() {
    let mut book = AnnouncementBook::default();
    book.announce(NOW, announcement("s"));
    assert_eq!(book.leave(NOW, None).len(), 1);
    let late = NOW.after(500);
    assert_eq!(book.announce(late, announcement("s")), AnnouncementEffect::Leaving);
    let service = "s".parse().unwrap();
    assert!(book.upstream(late, &service).unwrap().is_leaving());
}

/// Guards against an upstream that stays out for good after a quick restart.
#[test]
fn restarted_upstream_is_taken_back() {
    let mut book = AnnouncementBook::default();
    book.announce(NOW, announcement("s"));
    book.leave(NOW, None);
    for second in 1..=2 {
        book.announce(NOW.after(second * 1_000), announcement("s"));
    }
    let back = NOW.after(UPSTREAM_SILENCE);
    assert_eq!(book.announce(back, announcement("s")), AnnouncementEffect::New);
    assert!(!book.upstream(back, &"s".parse().unwrap()).unwrap().is_leaving());
}

/// Guards against the farewell of one service that takes out another on the VM.
#[test]
fn one_service_leaves_alone() {
    let mut book = AnnouncementBook::default();
    book.announce(NOW, announcement("a"));
    book.announce(NOW, announcement("b"));
    let a = "a".parse().unwrap();
    assert_eq!(book.leave(NOW, Some(&a)), std::slice::from_ref(&a));
    assert!(book.upstream(NOW, &a).unwrap().is_leaving());
    assert!(!book.upstream(NOW, &"b".parse().unwrap()).unwrap().is_leaving());
}

/// Guards against memory that a faulty upstream fills with service names.
#[test]
fn number_of_services_is_bounded() {
    let mut book = AnnouncementBook::default();
    for number in 0..MAX_SERVICES {
        book.announce(NOW, announcement(&format!("s{number}")));
    }
    assert_eq!(book.announce(NOW, announcement("more")), AnnouncementEffect::Full);
    assert_eq!(book.announce(NOW, announcement("s0")), AnnouncementEffect::Repeated);
}
