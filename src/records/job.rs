//! Values of jobs, those that wait for others included.

use super::{Encoding, NameList, Transfer};
use crate::protocol::{JobSpec, JobStatus, Json};
use crate::ranges::RangeSet;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The done tasks of a job, as its value has them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DoneTasks {
    /// The tasks.
    pub tasks: RangeSet,
    /// How they are written.
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

/// The value of a job that need not wait for others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Specification.
    #[serde(rename = "s")]
    pub spec: JobSpec,
    /// State: pending, done or cancelled.
    #[serde(rename = "st")]
    pub status: JobStatus,
    /// Tasks done.
    #[serde(rename = "d")]
    pub done: DoneTasks,
    /// Time of day of the submission, milliseconds since the epoch.
    #[serde(rename = "t")]
    pub submitted_ms: u64,
    /// Time of day, milliseconds since the epoch, at which the last job that this one depends on was done.
    /// Absent for a job that waited for none; the version before format 2 does not know it and may drop it.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub ready_ms: Option<u64>,
    /// Its transfer between cells. Never there before [`SPILLOVER_FORMAT`](super::SPILLOVER_FORMAT) is recorded.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub transfer: Option<Box<Transfer>>,
}

impl JobRecord {
    /// Shortens the value of a job that is over to `max_bytes`, as far as that is possible.
    ///
    /// Guards against a cancellation, a completion or an archiving that the store refuses because an
    /// earlier, higher limit allowed a larger value. Where such a job may run is of no use any more, and
    /// which of its tasks were done is for display only.
    pub fn shorten(&mut self, max_bytes: usize) {
        let over = self.status != JobStatus::Pending;
        let too_large = |record: &Self| Json::of(record).size() > max_bytes;
        if !over || !too_large(self) {
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

/// A job that waits until other jobs are done. It stands under a key of its own, which the version
/// before format 2 does not read, and becomes an ordinary [`JobRecord`] once it is ready.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitingRecord {
    /// Specification.
    #[serde(rename = "s")]
    pub spec: JobSpec,
    /// State: pending or cancelled. A job is cancelled too when one that it depends on is.
    #[serde(rename = "st")]
    pub status: JobStatus,
    /// Time of day of the submission, milliseconds since the epoch.
    #[serde(rename = "t")]
    pub submitted_ms: u64,
    /// The jobs that it depends on and that were not done when it was submitted.
    #[serde(rename = "n")]
    pub predecessors: NameList,
    /// Whether more of them are to be added before the job is accepted. Never true before
    /// [`DENSE_FORMAT`](super::DENSE_FORMAT) is recorded, for versions before it do not know this.
    #[serde(rename = "i", default, skip_serializing_if = "std::ops::Not::not")]
    pub incomplete: bool,
}
