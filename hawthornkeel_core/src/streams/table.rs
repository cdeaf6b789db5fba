//! Table of the origins of streams that may be taken up.
//!
//! Records are dropped by generations, so that neither time nor memory is spent on each of them. What
//! is recorded lasts for one to two generations.

use std::mem;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::streams::origin::StreamBatch;
use crate::streams::origin::StreamKey;
use crate::streams::origin::StreamOrigin;
use crate::streams::origin::StreamSource;
use crate::streams::origin::Unproved;
use crate::time::Instant;

/// Duration of a generation, and so the least time for which a record is kept.
pub const GENERATION: Duration = Duration::from_secs(30);
/// Maximum number of records of a generation; further ones begin the next one early.
const MAX_RECORDS: usize = 250_000;

/// What is known of the origin of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Record {
    Origin {
        origin: Rc<StreamOrigin>,
        unproved: Option<Unproved>,
    },
    /// Different origins were reported for the same attempt, so none is certain.
    Conflict,
}

type Generation = IndexMap<StreamKey, Record>;

/// Origins of streams.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    current: Generation,
    previous: Generation,
    /// Origins that the records share.
    origins: IndexSet<Rc<StreamOrigin>>,
    /// Start of the current generation.
    since: Instant,
}

impl OriginTable {
    /// Records the source of a stream.
    pub fn record(&mut self, now: Instant, stream: StreamKey, source: &StreamSource) {
        self.rotate(now);
        let unproved = source.unproved;
        let known = self.current.get(&stream).or_else(|| self.previous.get(&stream));
        let record = match known {
            Some(Record::Origin { origin, unproved: before }) if **origin == source.origin => {
                // What was proved once stays so.
                let unproved = before.and(unproved);
                Record::Origin { origin: Rc::clone(origin), unproved }
            }
            Some(_) => Record::Conflict,
            None => Record::Origin { origin: self.shared(&source.origin), unproved },
        };
        self.current.insert(stream, record);
    }

    /// Records a batch of streams.
    pub fn record_batch(&mut self, now: Instant, batch: &StreamBatch) {
        let source = batch.source(now);
        for stream in &batch.streams {
            self.record(now, *stream, &source);
        }
    }

    /// Returns the source of a stream, if it is known.
    pub fn source(&self, stream: StreamKey) -> Option<StreamSource> {
        match self.current.get(&stream).or_else(|| self.previous.get(&stream))? {
            Record::Origin { origin, unproved } => {
                Some(StreamSource { origin: origin.as_ref().clone(), unproved: *unproved })
            }
            Record::Conflict => None,
        }
    }

    /// Returns all records, by source.
    pub fn batches(&self, now: Instant) -> Vec<StreamBatch> {
        let mut streams: IndexMap<(&StreamOrigin, Option<Unproved>), Vec<StreamKey>> =
            IndexMap::new();
        for (stream, record) in self.previous.iter().chain(&self.current) {
            if let Record::Origin { origin, unproved } = record {
                streams.entry((origin, *unproved)).or_default().push(*stream);
            }
        }
        let batch = |((origin, unproved), streams): ((&StreamOrigin, _), _)| {
            StreamSource { origin: origin.clone(), unproved }.batch(now, streams)
        };
        streams.into_iter().map(batch).collect()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shared(&mut self, origin: &StreamOrigin) -> Rc<StreamOrigin> {
        if let Some(known) = self.origins.get(origin) {
            return Rc::clone(known);
        }
        let shared = Rc::new(origin.clone());
        self.origins.insert(Rc::clone(&shared));
        shared
    }

    /// Begins the next generation if the current one has ended.
    fn rotate(&mut self, now: Instant) {
        let age = now.since(self.since);
        if age < GENERATION && self.current.len() < MAX_RECORDS {
            return;
        }
        self.previous = mem::take(&mut self.current);
        if age >= 2 * GENERATION {
            self.previous.clear();
        }
        self.origins.retain(|origin| Rc::strong_count(origin) > 1);
        self.since = now;
    }
}
