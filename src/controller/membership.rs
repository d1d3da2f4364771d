//! This controller's lease and incarnation, and the authority that rests on them.
//!
//! Owns the lease at the state service, the key that makes this controller a member, and the times
//! at which lease and replica were last confirmed. Must never let the authority outlast the lease:
//! every time counts from when a request was *sent*, not from when its answer came.

use super::writes::WriteIntent;
use super::{Controller, Effect, WriteKind, put};
use crate::clock::Timestamp;
use crate::names::HostId;
use crate::protocol::Transaction;
use crate::records::ControllerRecord;
use crate::replica::{Holder, Incarnation, Replica, controller_key};
use crate::settings::Settings;
use rand::Rng;
use rand::rngs::SmallRng;
use tracing::{info, warn};

/// Shortest and longest interval of renewals, ms.
const RENEWAL_INTERVAL_MS: (u64, u64) = (500, 3000);
/// Pause before the next request for a lease after one that failed, ms.
const RETRY_MS: std::ops::Range<u64> = 250..500;
/// Renewals may fail for so long before the state service counts as away, ms.
const RENEWALS_FAILING_MS: u64 = 1200;
/// Reads and watches may be without an answer for so long before it does, ms.
const REPLICA_UNCONFIRMED_MS: u64 = 8000;

/// A refusal of the state service is remembered for so long, ms.
const REFUSED_LATELY_MS: u64 = 3000;

/// This controller's lease and incarnation, and what its authority rests on.
#[derive(Debug)]
pub(crate) struct Membership {
    /// This controller.
    me: HostId,
    /// Length of a lease, ms.
    lease_ms: u64,
    /// Length of the authority after a confirmation, ms; less than that of the lease.
    authority_ms: u64,
    /// The present incarnation of this controller.
    incarnation: Incarnation,
    /// The lease held, or held last.
    lease_id: Option<u64>,
    /// Whether the key of this controller was written under the present lease.
    joined: bool,
    /// When the last renewal that succeeded was sent; none once the lease has expired.
    renewed_at: Option<Timestamp>,
    /// When the last read or watch that was answered was sent.
    replica_confirmed_at: Option<Timestamp>,
    /// When the next request for a lease or a renewal is due.
    next_renewal: Timestamp,
    /// Whether such a request is without an answer yet.
    renewal_in_flight: bool,
    /// Since when such requests fail.
    store_failing_since: Option<Timestamp>,
}

/// What a granted lease means for the incarnation of this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
enum LeaseGranted {
    /// The first lease of this process.
    First,
    /// An earlier one is lost, and the incarnation that held it is over.
    NewIncarnation,
}

impl Membership {
    /// A controller without a lease, with a random incarnation.
    pub(crate) fn new(me: HostId, settings: &Settings, rng: &mut SmallRng) -> Self {
        Self {
            me,
            lease_ms: settings.block_lease_ms(),
            authority_ms: settings.authority_ms(),
            incarnation: random_incarnation(rng),
            lease_id: None,
            joined: false,
            renewed_at: None,
            replica_confirmed_at: None,
            next_renewal: Timestamp(0),
            renewal_in_flight: false,
            store_failing_since: None,
        }
    }

    /// The present incarnation of this controller.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The lease held, or held last.
    pub(crate) fn lease_id(&self) -> Option<u64> {
        self.lease_id
    }

    /// When the last read or watch that was answered was sent.
    pub(crate) fn replica_confirmed_at(&self) -> Option<Timestamp> {
        self.replica_confirmed_at
    }

    /// A read or watch that was sent at `sent` was answered.
    pub(super) fn confirm_replica(&mut self, sent: Timestamp) {
        self.replica_confirmed_at = self.replica_confirmed_at.max(Some(sent));
    }

    /// The key of this controller was written under the present lease.
    pub(crate) fn on_joined(&mut self) {
        self.joined = true;
        info!(incarnation = self.incarnation.0, "controller joined");
    }

    /// Whether a key names this controller in its present incarnation.
    pub(crate) fn is_mine(&self, holder: &Holder) -> bool {
        holder.controller == self.me && holder.incarnation == self.incarnation
    }

    /// Until when this controller may act on what the replica shows.
    ///
    /// Guards against renewals that succeed while the watch hangs, and the reverse: both the
    /// lease and the replica must have been confirmed by requests *sent* within the time.
    fn authority_until(&self, replica: &Replica) -> Option<Timestamp> {
        if !self.joined || !replica.synced {
            return None;
        }
        let basis = self.renewed_at?.min(self.replica_confirmed_at?);
        Some(basis.plus(self.authority_ms))
    }

    /// Whether the state service has answered lately.
    fn store_answers(&self, now: Timestamp) -> bool {
        self.store_failing_since
            .is_none_or(|since| now.since(since) < RENEWALS_FAILING_MS)
            && self
                .replica_confirmed_at
                .is_some_and(|confirmed| now.since(confirmed) < REPLICA_UNCONFIRMED_MS)
    }

    /// The request for a lease or a renewal that is due now.
    fn next_request(&mut self, now: Timestamp) -> Option<Effect> {
        if self.renewal_in_flight || now < self.next_renewal {
            return None;
        }
        self.renewal_in_flight = true;
        Some(match (self.lease_id, self.renewed_at) {
            (Some(lease_id), Some(_)) => Effect::Renew { lease_id },
            _ => Effect::NewLease {
                lease_ms: self.lease_ms,
            },
        })
    }

    /// The lease under which this controller's key is still to be written.
    fn lease_to_join(&self) -> Option<u64> {
        self.lease_id
            .filter(|_| !self.joined && self.renewed_at.is_some())
    }

    fn renewal_interval_ms(&self) -> u64 {
        (self.authority_ms / 10).clamp(RENEWAL_INTERVAL_MS.0, RENEWAL_INTERVAL_MS.1)
    }

    fn on_request_answered(&mut self) {
        self.renewal_in_flight = false;
        self.store_failing_since = None;
    }

    fn on_lease_granted(
        &mut self,
        lease_id: u64,
        sent: Timestamp,
        rng: &mut SmallRng,
    ) -> LeaseGranted {
        self.on_request_answered();
        // An incarnation ends with its lease, so that no grant to the earlier one counts any more.
        let granted = if self.lease_id.is_some() {
            self.incarnation = random_incarnation(rng);
            LeaseGranted::NewIncarnation
        } else {
            LeaseGranted::First
        };
        self.lease_id = Some(lease_id);
        self.joined = false;
        self.renewed_at = Some(sent);
        self.next_renewal = sent.plus(self.renewal_interval_ms());
        granted
    }

    fn on_lease_renewed(&mut self, lease_id: u64, sent: Timestamp) {
        self.on_request_answered();
        if self.lease_id == Some(lease_id) {
            self.renewed_at = self.renewed_at.max(Some(sent));
            self.next_renewal = sent.plus(self.renewal_interval_ms());
        }
    }

    /// Gives whether it was the present lease that expired.
    fn on_lease_expired(&mut self, lease_id: u64, now: Timestamp) -> bool {
        self.renewal_in_flight = false;
        let present = self.lease_id == Some(lease_id);
        if present {
            self.joined = false;
            self.renewed_at = None;
            self.next_renewal = now;
        }
        present
    }

    fn on_request_failed(&mut self, now: Timestamp, rng: &mut SmallRng) {
        self.renewal_in_flight = false;
        self.store_failing_since.get_or_insert(now);
        self.next_renewal = now.plus(rng.random_range(RETRY_MS));
    }
}

/// A random number of 52 bits: exact in JSON, whatever reads it.
fn random_incarnation(rng: &mut SmallRng) -> Incarnation {
    Incarnation(rng.random::<u64>() >> 12)
}

/// The answers of the state service about the lease.
impl Controller {
    /// A lease was granted to a request sent at `sent`.
    pub fn on_lease(&mut self, lease_id: u64, sent: Timestamp) {
        let granted = self
            .membership
            .on_lease_granted(lease_id, sent, &mut self.rng);
        if granted == LeaseGranted::NewIncarnation {
            self.replica.mark_all_blocks_changed();
        }
        let incarnation = self.membership.incarnation().0;
        info!(lease_id, incarnation, "lease granted");
    }

    /// A renewal sent at `sent` succeeded.
    pub fn on_renewed(&mut self, lease_id: u64, sent: Timestamp) {
        self.membership.on_lease_renewed(lease_id, sent);
    }

    /// The lease has expired at the state service.
    pub fn on_lease_gone(&mut self, lease_id: u64, now: Timestamp) {
        if self.membership.on_lease_expired(lease_id, now) {
            warn!(lease_id, "lease expired");
            self.writes.forget(WriteKind::Join);
        }
    }

    /// Asking for a lease or a renewal did not succeed.
    pub fn on_lease_failed(&mut self, now: Timestamp) {
        self.membership.on_request_failed(now, &mut self.rng);
    }
}

/// What this controller may do now.
impl Controller {
    /// Until when this controller may act on what it knows.
    pub fn authority_until(&self) -> Option<Timestamp> {
        self.membership.authority_until(&self.replica)
    }

    /// Whether this controller may act as holder or leader now.
    pub fn has_authority(&self, now: Timestamp) -> bool {
        !self.is_outdated() && self.authority_until().is_some_and(|until| now < until)
    }

    /// Whether a key names this controller in its present incarnation.
    pub(crate) fn is_mine(&self, holder: &Holder) -> bool {
        self.membership.is_mine(holder)
    }

    /// Whether this controller holds a block by this grant and its replica shows all that earlier
    /// holders wrote.
    ///
    /// Guards against an own grant that shows before the watch has brought what was written before
    /// it: the queues would still list tasks that the former holder had given away, and starting
    /// one needs no write that could fail.
    pub(crate) fn holds(&self, grant: &Holder) -> bool {
        self.is_mine(grant) && self.replica.revision >= grant.mod_revision
    }

    /// Whether this controller knows the present state, if its event loop ever paused. Nothing is
    /// concluded before.
    pub(crate) fn caught_up_after_pause(&self, now: Timestamp) -> bool {
        let listen_ms = (self.settings.options.peers_period_ms * 2.0) as u64;
        let confirmed = self.membership.replica_confirmed_at();
        self.pauses.caught_up(confirmed, listen_ms, now)
    }

    /// How old the replica may be, ms: every change that was made so long ago is in. None before it
    /// is whole.
    pub(crate) fn replica_age_ms(&self, now: Timestamp) -> Option<u64> {
        let whole = self.replica.synced && self.writes.is_whole(self.replica.revision);
        let confirmed = self.membership.replica_confirmed_at().filter(|_| whole)?;
        Some(now.since(confirmed))
    }

    /// Whether the state service has answered lately.
    pub fn state_ok(&self, now: Timestamp) -> bool {
        self.membership.store_answers(now)
    }

    /// Whether the state service refused something for its budget a moment ago.
    pub(crate) fn refused_lately(&self, now: Timestamp) -> bool {
        self.writes.refused_within(REFUSED_LATELY_MS, now)
    }

    /// Whether users should be sent here.
    pub fn ready(&self, now: Timestamp) -> bool {
        if !self.replica.synced || !self.catalog_known() || self.membership.lease_id().is_none() {
            return false;
        }
        if self.is_outdated() {
            return false;
        }
        // When nobody reaches the state service, being marked unhealthy would only keep users
        // away for longer than the outage lasts.
        self.state_ok(now) || self.peers.none_heard_has_store(now)
    }

    /// Asks for a lease, or renews it, when that is due.
    pub(crate) fn tick_lease(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        out.extend(self.membership.next_request(now));
    }

    /// Writes this controller's key under a new lease.
    pub(crate) fn tick_join(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        let Some(lease_id) = self.membership.lease_to_join() else {
            return;
        };
        if !self.may_plan(WriteKind::Join, now) {
            return;
        }
        let key = controller_key(self.my_name());
        let record = ControllerRecord {
            incarnation: self.membership.incarnation().0,
            lease: lease_id,
            format: self.formats.own(),
        };
        let transaction = Transaction {
            preconditions: vec![self.precondition(&key)],
            mutations: vec![put(&key, &record, Some(lease_id))],
        };
        self.writes
            .submit(WriteKind::Join, transaction, WriteIntent::default(), out);
    }
}
