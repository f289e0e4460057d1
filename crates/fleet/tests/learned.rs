//! Loading of what an earlier owner has learned.

use cactusdoor_fleet::owner::learning;
use cactusdoor_node::clock::unix_ms;
use cactusdoor_platform::store::StoreClient;
use cactusdoor_queue::interference::InterferenceModel;
use cactusdoor_queue::learned::LearnedRecord;
use cactusdoor_standin::harness::address::free_address;
use cactusdoor_standin::platform_store::PlatformStore;

const TOPIC: &str = "keyed.learned";

/// Guards against an election that fails, or a term that begins with odd estimates, because of
/// this record: it is optional.
#[actix_web::test]
async fn an_election_goes_on_without_a_usable_record() {
    let store = PlatformStore::open();
    let endpoint = store.open_endpoint(free_address().unwrap()).unwrap();
    let client = StoreClient::open(endpoint.address());
    assert_eq!(learning::load(&client).await, None, "no record");
    store.write(TOPIC, "interference", b"[]");
    assert_eq!(learning::load(&client).await, None, "odd record");
    let record = LearnedRecord::of(&InterferenceModel::default(), unix_ms());
    store.write(TOPIC, "interference", &record.encode());
    assert_eq!(learning::load(&client).await, Some(record));
    endpoint.set_reads_refused(true);
    assert_eq!(learning::load(&client).await, None, "store refuses the read");
}
