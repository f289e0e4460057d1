//! When upstreams count as present, leaving or gone.

use cactusdoor_core::unit::Moment;
use cactusdoor_upstream::announcement::{
    Announcement, AnnouncementEffect, MAX_SERVICES, UPSTREAM_TIMEOUT, UpstreamTable,
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

/// Guards against requests to an upstream that ended without a leave request.
#[test]
fn upstream_without_announcements_counts_as_gone() {
    let mut table = UpstreamTable::default();
    assert_eq!(table.announce(NOW, announcement("s")), AnnouncementEffect::New);
    let service = "s".parse().unwrap();
    let last = NOW.after(UPSTREAM_TIMEOUT - 1);
    assert!(table.upstream(last, &service).is_some());
    let over = NOW.after(UPSTREAM_TIMEOUT);
    assert!(table.upstream(over, &service).is_none());
    assert_eq!(table.present(over).count(), 0);
    assert_eq!(table.announce(over, announcement("s")), AnnouncementEffect::New);
}

/// Guards against a late announcement that makes a leaving upstream accept requests.
#[test]
fn late_announcement_does_not_readmit_a_leaving_upstream() {
    let mut table = UpstreamTable::default();
    table.announce(NOW, announcement("s"));
    assert_eq!(table.leave(NOW, None).len(), 1);
    let late = NOW.after(500);
    assert_eq!(table.announce(late, announcement("s")), AnnouncementEffect::Leaving);
    let service = "s".parse().unwrap();
    assert!(table.upstream(late, &service).unwrap().is_leaving());
}

/// Guards against an upstream that is ignored for good after a quick restart.
#[test]
fn restarted_upstream_is_accepted_again() {
    let mut table = UpstreamTable::default();
    table.announce(NOW, announcement("s"));
    table.leave(NOW, None);
    for second in 1..=2 {
        table.announce(NOW.after(second * 1_000), announcement("s"));
    }
    let back = NOW.after(UPSTREAM_TIMEOUT);
    assert_eq!(table.announce(back, announcement("s")), AnnouncementEffect::New);
    assert!(!table.upstream(back, &"s".parse().unwrap()).unwrap().is_leaving());
}

/// Guards against a leave request for one service that affects another on the same VM.
#[test]
fn leaving_service_does_not_affect_another() {
    let mut table = UpstreamTable::default();
    table.announce(NOW, announcement("a"));
    table.announce(NOW, announcement("b"));
    let a = "a".parse().unwrap();
    assert_eq!(table.leave(NOW, Some(&a)), std::slice::from_ref(&a));
    assert!(table.upstream(NOW, &a).unwrap().is_leaving());
    assert!(!table.upstream(NOW, &"b".parse().unwrap()).unwrap().is_leaving());
}

/// Guards against a faulty upstream that fills the memory with service names.
#[test]
fn number_of_services_is_bounded() {
    let mut table = UpstreamTable::default();
    for number in 0..MAX_SERVICES {
        table.announce(NOW, announcement(&format!("s{number}")));
    }
    assert_eq!(table.announce(NOW, announcement("more")), AnnouncementEffect::Full);
    assert_eq!(table.announce(NOW, announcement("s0")), AnnouncementEffect::Repeated);
}
