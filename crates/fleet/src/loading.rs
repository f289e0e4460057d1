//! Reads the stored state of all jobs before an election.

use cactusdoor_core::unit::{Epoch, Millis, Moment, Offset};
use cactusdoor_platform::store::{ReadFault, StoreClient, StoredRecord};
use cactusdoor_queue::book::QueueBook;
use cactusdoor_queue::name::{JobId, TaskName};
use cactusdoor_queue::record::{JobEnding, OwnerElected, RequestKey, TaskKey, TaskRecord};
use cactusdoor_queue::spec::JobSpec;
use indexmap::IndexMap;

use crate::follower::read_newest;
use crate::topic::{REQUESTS, TASKS};

/// All that is stored, as of an offset of each topic.
#[derive(Debug, Default)]
pub struct StoredState {
    jobs: Vec<(JobId, JobSpec)>,
    cancels: Vec<JobId>,
    tasks: Vec<(TaskName, TaskRecord)>,
    endings: Vec<(JobId, JobEnding)>,
    /// Of the last election; 0 if there was none.
    pub epoch: Epoch,
    /// Where `keyed.requests` goes on.
    pub requests_end: Offset,
    /// Where `keyed.tasks` ends.
    pub tasks_end: Offset,
}

impl StoredState {
    /// Reads both topics.
    pub async fn load(store: &StoreClient) -> Result<Self, ReadFault> {
        let mut state = Self::default();
        let (requests, requests_end) = read_newest(store, REQUESTS).await?;
        state.requests_end = requests_end;
        for stored in requests {
            state.take_request(&stored);
        }
        let (newest, end) = read_newest(store, TASKS).await?;
        let mut tasks: IndexMap<String, StoredRecord> = IndexMap::new();
        for stored in newest {
            tasks.insert(stored.record.key.clone(), stored);
        }
        state.tasks_end = read_rest(store, end, &mut tasks).await?;
        for stored in tasks.values() {
            state.take_task(stored);
        }
        Ok(state)
    }

    fn take_request(&mut self, stored: &StoredRecord) {
        let Some(value) = &stored.record.value else { return };
        match RequestKey::parse(&stored.record.key) {
            RequestKey::Cancel(job) => self.cancels.push(job),
            RequestKey::Job(job) => match serde_json::from_slice(value) {
                Ok(spec) => self.jobs.push((job, spec)),
                Err(error) => log::error!("job {job} is not used: {error}"),
            },
        }
    }

    fn take_task(&mut self, stored: &StoredRecord) {
        let Some(value) = &stored.record.value else { return };
        let parsed = match TaskKey::parse(&stored.record.key) {
            TaskKey::Election => serde_json::from_slice(value)
                .map(|elected: OwnerElected| self.epoch = elected.epoch),
            TaskKey::Task(name) => {
                serde_json::from_slice(value).map(|record| self.tasks.push((name, record)))
            }
            TaskKey::Job(job) => {
                serde_json::from_slice(value).map(|ending| self.endings.push((job, ending)))
            }
        };
        if let Err(error) = parsed {
            log::error!("record {} is not used: {error}", stored.record.key);
        }
    }

    /// The book of the owner of `epoch`.
    #[must_use]
    pub fn into_book(self, epoch: Epoch, grants: Moment, now: Moment, unix: Millis) -> QueueBook {
        let mut book = QueueBook::open(epoch, grants);
        for (job, ending) in self.endings {
            book.restore_ending(&job, ending);
        }
        let mut jobs = self.jobs;
        jobs.sort_by(|(_, one), (_, other)| one.accepted.cmp(&other.accepted));
        for (job, spec) in jobs {
            book.submit(&job, spec);
        }
        for (name, record) in &self.tasks {
            book.restore_task(name, record, now);
        }
        book.finish_loading(unix);
        for job in self.cancels {
            book.cancel(&job, unix);
        }
        book
    }
}

/// Reads what was appended while the pages were read; returns the end.
async fn read_rest(
    store: &StoreClient,
    mut from: Offset,
    tasks: &mut IndexMap<String, StoredRecord>,
) -> Result<Offset, ReadFault> {
    loop {
        let page = store.read(TASKS, from, std::time::Duration::ZERO).await?;
        for stored in page.records {
            let known = tasks.get(&stored.record.key).map(|known| known.offset);
            if known.is_none_or(|known| known < stored.offset) {
                tasks.insert(stored.record.key.clone(), stored);
            }
        }
        from = page.next;
        if from >= page.end {
            return Ok(page.end);
        }
    }
}
