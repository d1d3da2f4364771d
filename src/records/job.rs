//! Values of jobs, waiting for predecessors or not.

use super::{Encoding, NameList, Transfer};
use crate::protocol::{JobSpec, JobStatus, Json};
use crate::ranges::RangeSet;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The done tasks of a job, with the encoding in which they are written.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DoneTasks {
    /// Numbers of the done tasks.
    pub tasks: RangeSet,
    /// Encoding used for writing; either one is read.
    pub encoding: Encoding,
}

impl Serialize for DoneTasks {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self.encoding {
            Encoding::Compatible => self.tasks.serialize(serializer),
            Encoding::Dense => serializer.serialize_str(&self.tasks.shortest_text()),
        }
    }
}

impl<'de> Deserialize<'de> for DoneTasks {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let tasks = RangeSet::deserialize(deserializer)?;
        let encoding = Encoding::default();
        Ok(Self { tasks, encoding })
    }
}

/// The value of a job that does not wait for predecessors.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Specification as submitted; a lent job permits no machine type in it.
    #[serde(rename = "s")]
    pub spec: JobSpec,
    /// State: pending, done or cancelled.
    #[serde(rename = "st")]
    pub status: JobStatus,
    /// Tasks of the job that are done.
    #[serde(rename = "d")]
    pub done: DoneTasks,
    /// Wall-clock time of the submission, milliseconds since the Unix epoch.
    #[serde(rename = "t")]
    pub submitted_ms: u64,
    /// Wall-clock time at which the last predecessor was done, milliseconds since the Unix epoch. Absent for a
    /// job without predecessors. Versions before format 2 do not know the field and may drop it.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub ready_ms: Option<u64>,
    /// Its transfer between cells. Never set before [`SPILLOVER_FORMAT`](super::SPILLOVER_FORMAT) is recorded.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub transfer: Option<Box<Transfer>>,
}

impl JobRecord {
    /// Reduces the value of a job in a final state to `max_bytes`, as far as possible.
    ///
    /// The limit may have been higher when the job was accepted. Unless the value is reduced, the store would
    /// refuse to cancel, complete or archive a job with a larger value. The placement constraints of such a
    /// job are no longer needed, and its done tasks are only displayed.
    pub fn shrink_if_final(&mut self, max_bytes: usize) {
        let is_final = self.status != JobStatus::Pending;
        let too_large = |record: &Self| Json::encode(record).size() > max_bytes;
        if !is_final || !too_large(self) {
            return;
        }
        if self.status == JobStatus::Cancelled {
            self.done.tasks = RangeSet::below(self.done.tasks.len());
        }
        if too_large(self) {
            (self.spec.machine_types, self.spec.zone) = (None, None);
        }
    }
}

/// The value of a job that waits until its predecessors are done. It is stored under a separate prefix, which
/// versions before format 2 do not read, and is replaced by a [`JobRecord`] once the job is ready.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitingRecord {
    /// Specification as submitted.
    #[serde(rename = "s")]
    pub spec: JobSpec,
    /// State: pending or cancelled. A job is also cancelled if a job that it depends on is cancelled.
    #[serde(rename = "st")]
    pub status: JobStatus,
    /// Wall-clock time of the submission, milliseconds since the Unix epoch.
    #[serde(rename = "t")]
    pub submitted_ms: u64,
    /// Its predecessors that were not done when it was submitted.
    #[serde(rename = "n")]
    pub predecessors: NameList,
    /// Whether more predecessors are to be added before the job is accepted. Never true before
    /// [`DENSE_FORMAT`](super::DENSE_FORMAT) is recorded, because earlier versions do not know this field.
    #[serde(rename = "i", default, skip_serializing_if = "std::ops::Not::not")]
    pub incomplete: bool,
}
