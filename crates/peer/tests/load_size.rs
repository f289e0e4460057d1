//! Size of the load that an agent adds to its reports.

use std::pin::Pin;

use cactusdoor_queue::report::{ServingLoad, WorkerLoad};
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

/// Most reports of an agent in a second: one every 600 ms, and one with each order or end.
const REPORTS: usize = 8;
/// Limit of a node's control traffic, bytes a second, for all messages.
const NODE_LIMIT: usize = 15_000;

fn encoded_length(load: &WorkerLoad) -> usize {
    let mut codec = Bincode::<(), &WorkerLoad>::default();
    Pin::new(&mut codec).serialize(&load).unwrap().len()
}

fn load(images: usize) -> WorkerLoad {
    let serving = (0..images).map(|index| ServingLoad {
        image: format!("image-with-24-bytes-{index:04}").into(),
        tasks: 4,
        baseline: 2.5,
        fall: 0.3,
    });
    WorkerLoad { serving: serving.collect(), best_effort_cpu: 30_000, age: 300 }
}

/// Guards against loads that take a notable share of a node's traffic.
#[test]
fn a_load_is_a_small_part_of_the_traffic() {
    let sizes = [0, 1, 4, 32].map(|images| encoded_length(&load(images)));
    println!("bytes of a load with 0, 1, 4 and 32 images: {sizes:?}");
    assert!(sizes[2] * REPORTS <= NODE_LIMIT / 10, "{sizes:?}");
    assert!(sizes[3] <= 1_200, "{sizes:?}");
}
