//! Candidacies: of many agents without an owner, one at a time loads the stored state.

use std::rc::Rc;
use std::time::Duration;

use assert_matches::assert_matches;
use cactusdoor_fleet::appender::{AppenderError, TopicAppender};
use cactusdoor_fleet::decision_log::DecisionLog;
use cactusdoor_fleet::finder::{OwnerFinder, OwnerHeartbeat};
use cactusdoor_fleet::topic::OWNER;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_platform::store::StoreClient;
use cactusdoor_standin::harness::address::free_address;
use cactusdoor_standin::platform_store::{PlatformStore, StoreEndpoint};

/// An empty store at one address.
fn endpoint() -> StoreEndpoint {
    PlatformStore::open().open_endpoint(free_address().unwrap()).unwrap()
}

fn finder(store: &StoreEndpoint, name: &str) -> Rc<OwnerFinder> {
    let log = DecisionLog::open(name.into(), std::io::sink()).unwrap();
    OwnerFinder::open(StoreClient::open(store.address()), MonotonicClock::open(), log)
}

async fn heartbeat(store: &StoreEndpoint, epoch: u64) {
    let (client, clock) = (StoreClient::open(store.address()), MonotonicClock::open());
    let mut appender = TopicAppender::open(client, clock, OWNER, "owner".to_owned(), epoch);
    let heartbeat = OwnerHeartbeat {
        epoch,
        owner: "a".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        resigned: false,
        repeats_appends: true,
        loads: true,
        backlogs: true,
    };
    appender.append(None, &[heartbeat.record()]).await.unwrap();
}

/// Pattern: the owner is gone and all agents notice it at once. Guards against candidates that
/// depose one another, each after loading the whole state.
#[actix_web::test]
async fn of_candidates_that_announce_themselves_at_once_one_goes_on() {
    let store = endpoint();
    heartbeat(&store, 1).await;
    let finders: Vec<_> = (0..20).map(|index| finder(&store, &format!("a{index}"))).collect();
    for finder in &finders {
        finder.read().await.unwrap();
        assert!(!finder.has_candidate());
    }
    let mut announced = Vec::new();
    for (index, finder) in finders.iter().enumerate() {
        match finder.announce_candidacy(&format!("a{index}").into()).await {
            Ok(()) => announced.push(index),
            Err(error) => assert_matches!(error, AppenderError::EndMismatch),
        }
    }
    assert_eq!(announced, [0]);
    for finder in &finders[1..] {
        finder.read().await.unwrap();
        assert!(finder.has_candidate(), "the others wait for the first");
    }
    assert!(!finders[0].has_candidate(), "a candidate does not wait for itself");
    heartbeat(&store, 2).await;
    for finder in &finders {
        finder.read().await.unwrap();
        assert!(!finder.has_candidate());
    }
}

/// A candidate that stops must not keep the others from running.
#[actix_web::test]
async fn a_candidate_without_a_heartbeat_is_not_waited_for_forever() {
    let store = endpoint();
    heartbeat(&store, 1).await;
    let (gone, other) = (finder(&store, "gone"), finder(&store, "other"));
    gone.read().await.unwrap();
    gone.announce_candidacy(&"gone".into()).await.unwrap();
    other.read().await.unwrap();
    assert!(other.has_candidate());
    tokio::time::sleep(Duration::from_millis(1_900)).await;
    other.read().await.unwrap();
    assert!(!other.has_candidate());
    other.announce_candidacy(&"other".into()).await.unwrap();
}

/// An owner whose heartbeat arrives is alive, however slow it is.
#[actix_web::test]
async fn a_heartbeat_since_the_last_read_prevents_a_candidacy() {
    let store = endpoint();
    heartbeat(&store, 1).await;
    let finder = finder(&store, "a");
    finder.read().await.unwrap();
    heartbeat(&store, 2).await;
    let announced = finder.announce_candidacy(&"a".into()).await;
    assert_matches!(announced, Err(AppenderError::EndMismatch));
}
