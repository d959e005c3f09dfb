//! Reads the archived and the recent ledger batches of a team's jobs.

use std::collections::BTreeMap;
use std::time::Duration;

use bankvalve_cell::ids::PartitionIndex;
use bankvalve_cell::ledger::{verify_chain, LedgerBatch, LedgerEvent, RecordSegment};
use bankvalve_cell::link::{ObjectOutcome, ObjectRequest, StoreOutcome, StoreRequest};
use bankvalve_cell::owner::TeamPartition;
use bankvalve_link::{decode_message, encode_message, HttpClient, WIRE_TYPE};
use hyper::Method;
use serde::{Deserialize, Serialize};

use super::link_thread::send_object_request;

/// Timeout of each request to the table service or the object store.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of idle connections pooled for each host.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Largest reply that is read, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// One ledger event with the batch that holds it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordEntry {
    /// Sequence number of the batch.
    pub batch: u64,
    /// Name of the instance that committed the batch.
    pub instance: String,
    /// Epoch in which that instance owned the partition.
    pub epoch: u64,
    /// The ledger event.
    pub event: LedgerEvent,
}

/// Client that reads the ledger of a team partition from the table service and the object store.
#[derive(Clone, Debug)]
pub struct RecordReader {
    client: HttpClient,
    table_url: String,
    objects_url: String,
}

impl RecordReader {
    pub(super) fn new(table_url: &str, objects_url: &str) -> Self {
        Self {
            client: HttpClient::new(MAX_IDLE_CONNECTIONS, MAX_REPLY_BYTES),
            table_url: table_url.to_owned(),
            objects_url: objects_url.to_owned(),
        }
    }

    /// Reads a partition's ledger, verifies its hash chain, and returns the events of a team or of one of its
    /// jobs.
    ///
    /// # Errors
    ///
    /// Returns what could not be read, or where the hash chain is broken.
    pub async fn read(
        &self,
        partition: PartitionIndex,
        team: &str,
        job: Option<&str>,
    ) -> Result<Vec<RecordEntry>, String> {
        let batches = self.batches_of(partition).await?;
        let chain = batches.values().map(Vec::as_slice);
        verify_chain(chain).map_err(|problem| format!("the record is broken: {problem}"))?;
        let mut entries = Vec::new();
        for bytes in batches.values() {
            let Some(batch) = LedgerBatch::decode(bytes) else {
                continue;
            };
            for event in batch.events {
                let concerns = event
                    .job()
                    .is_some_and(|(t, j)| t == team && job.is_none_or(|job| job == j));
                if concerns {
                    entries.push(RecordEntry {
                        batch: batch.sequence,
                        instance: batch.writer.instance.clone(),
                        epoch: batch.writer.epoch,
                        event,
                    });
                }
            }
        }
        Ok(entries)
    }

    /// Returns all batches of a partition by sequence number.
    ///
    /// The table is read before the object store: a batch that is archived and deleted from the table between
    /// the two reads is then found in the object store.
    async fn batches_of(&self, partition: u32) -> Result<BTreeMap<u64, Vec<u8>>, String> {
        let mut batches = BTreeMap::new();
        for row in self.log_rows(partition).await? {
            if let Some(batch) = LedgerBatch::decode(&row) {
                batches.insert(batch.sequence, row);
            }
        }
        for name in self.segment_names(partition).await? {
            for bytes in self.segment(&name).await? {
                let Some(batch) = LedgerBatch::decode(&bytes) else {
                    return Err(format!("segment {name} holds an unreadable batch"));
                };
                let known = batches.insert(batch.sequence, bytes.clone());
                if known.is_some_and(|known| known != bytes) {
                    return Err(format!("batch {} has two contents", batch.sequence));
                }
            }
        }
        Ok(batches)
    }

    async fn log_rows(&self, partition: u32) -> Result<Vec<Vec<u8>>, String> {
        let prefix = format!("{}log/", TeamPartition::row_prefix(partition));
        let request = encode_message(&StoreRequest::Scan { prefix });
        let reply = self
            .client
            .send(
                Method::POST,
                &self.table_url,
                &[],
                WIRE_TYPE,
                request,
                READ_TIMEOUT,
            )
            .await
            .map_err(|failure| format!("the table service: {failure}"))?;
        match decode_message::<StoreOutcome>(&reply.body) {
            Some(StoreOutcome::Rows(rows)) => Ok(rows.into_iter().map(|row| row.value).collect()),
            _ => Err("the table service is busy".into()),
        }
    }

    async fn segment_names(&self, partition: u32) -> Result<Vec<String>, String> {
        let prefix = format!("record/{partition:04}/");
        let request = ObjectRequest::List { prefix };
        match send_object_request(&self.client, &self.objects_url, READ_TIMEOUT, &request).await {
            ObjectOutcome::Names(names) => Ok(names),
            _ => Err("the object store does not answer".into()),
        }
    }

    async fn segment(&self, name: &str) -> Result<Vec<Vec<u8>>, String> {
        let name = name.to_owned();
        let request = ObjectRequest::Get { name: name.clone() };
        let outcome =
            send_object_request(&self.client, &self.objects_url, READ_TIMEOUT, &request).await;
        let ObjectOutcome::Content(Some(bytes)) = outcome else {
            return Err(format!("segment {name} cannot be read"));
        };
        let segment = RecordSegment::decode(&bytes);
        let segment = segment.ok_or_else(|| format!("segment {name} is unreadable"))?;
        let batches = segment.batches.into_iter();
        Ok(batches.map(|batch| batch.into_vec()).collect())
    }
}
