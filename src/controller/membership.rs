//! Lease and incarnation of this controller, and the authority that depends on them.
//!
//! Owns the lease at the key-value store, the key that registers this controller, and the times at
//! which lease and replica were last confirmed. Authority never outlasts the lease: every period
//! starts when a request was *sent*, not when its answer arrived.

use super::writes::WriteIntent;
use super::{Controller, Effect, WriteKind, put};
use crate::clock::Timestamp;
use crate::names::ControllerId;
use crate::protocol::Transaction;
use crate::records::ControllerRecord;
use crate::replica::{Holder, Incarnation, Replica, controller_key};
use crate::settings::Settings;
use rand::Rng;
use rand::rngs::SmallRng;
use tracing::{info, warn};

/// Shortest and longest interval between lease renewals, ms.
const RENEWAL_INTERVAL_MS: (u64, u64) = (500, 3000);
/// Pause after a failed lease request, ms; chosen at random from this range.
const LEASE_RETRY_MS: std::ops::Range<u64> = 250..500;
/// Time for which renewals may fail before the store counts as unreachable, ms.
const MAX_RENEWAL_FAILURE_MS: u64 = 1200;
/// Time for which reads and watches may remain unanswered before the store counts as unreachable,
/// ms.
const MAX_UNCONFIRMED_REPLICA_MS: u64 = 8000;

/// Time for which a rejection by the store counts as recent, ms.
const STORE_REFUSAL_RECENT_MS: u64 = 3000;

/// Lease and incarnation of this controller, and the confirmations that its authority depends on.
#[derive(Debug)]
pub(crate) struct Membership {
    /// Id of this controller.
    own_id: ControllerId,
    /// Duration of a lease, ms.
    lease_ms: u64,
    /// Duration of the authority after a confirmation, ms; shorter than the lease.
    authority_ms: u64,
    /// Current incarnation of this controller.
    incarnation: Incarnation,
    /// The current lease, or the last one if it has expired.
    lease_id: Option<u64>,
    /// Whether this controller's key was written under the current lease.
    joined: bool,
    /// When the last successful lease request or renewal was sent; `None` once the lease has
    /// expired.
    renewed_at: Option<Timestamp>,
    /// When the last read or watch that succeeded was sent.
    replica_confirmed_at: Option<Timestamp>,
    /// When the next lease request or renewal is due.
    next_renewal: Timestamp,
    /// Whether a lease request or renewal is unanswered.
    renewal_in_flight: bool,
    /// Since when lease requests and renewals have failed.
    store_failing_since: Option<Timestamp>,
}

/// Effect of a granted lease on the incarnation of this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
enum LeaseGranted {
    /// The lease is the first one of this process.
    First,
    /// An earlier lease was lost, which ended the incarnation that held it.
    NewIncarnation,
}

impl Membership {
    /// Creates the state of a controller without a lease, with a random incarnation.
    pub(crate) fn new(own_id: ControllerId, settings: &Settings, rng: &mut SmallRng) -> Self {
        Self {
            own_id,
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

    /// Current incarnation of this controller.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The current lease, or the last one if it has expired.
    pub(crate) fn lease_id(&self) -> Option<u64> {
        self.lease_id
    }

    /// When the last read or watch that succeeded was sent.
    pub(crate) fn replica_confirmed_at(&self) -> Option<Timestamp> {
        self.replica_confirmed_at
    }

    /// Records that a read or watch sent at `sent` succeeded.
    pub(super) fn confirm_replica(&mut self, sent: Timestamp) {
        self.replica_confirmed_at = self.replica_confirmed_at.max(Some(sent));
    }

    /// Records that this controller's key was written under the current lease.
    pub(crate) fn on_joined(&mut self) {
        self.joined = true;
        info!(incarnation = self.incarnation.0, "controller joined");
    }

    /// Whether a grant names this controller in its current incarnation.
    pub(crate) fn is_own_grant(&self, holder: &Holder) -> bool {
        holder.controller == self.own_id && holder.incarnation == self.incarnation
    }

    /// Until when this controller may act on the state shown by the replica.
    ///
    /// Both the lease and the replica must have been confirmed by requests *sent* within this
    /// period, which covers renewals that succeed while the watch hangs, and the reverse.
    fn authority_until(&self, replica: &Replica) -> Option<Timestamp> {
        if !self.joined || !replica.synced {
            return None;
        }
        let basis = self.renewed_at?.min(self.replica_confirmed_at?);
        Some(basis.plus(self.authority_ms))
    }

    /// Whether the store answered recently.
    fn is_store_reachable(&self, now: Timestamp) -> bool {
        self.store_failing_since
            .is_none_or(|since| now.since(since) < MAX_RENEWAL_FAILURE_MS)
            && self
                .replica_confirmed_at
                .is_some_and(|confirmed| now.since(confirmed) < MAX_UNCONFIRMED_REPLICA_MS)
    }

    /// Returns the lease request or renewal that is due, if any.
    fn next_request(&mut self, now: Timestamp) -> Option<Effect> {
        if self.renewal_in_flight || now < self.next_renewal {
            return None;
        }
        self.renewal_in_flight = true;
        Some(match (self.lease_id, self.renewed_at) {
            (Some(lease_id), Some(_)) => Effect::RenewLease { lease_id },
            _ => Effect::RequestLease {
                lease_ms: self.lease_ms,
            },
        })
    }

    /// The lease under which this controller's key still has to be written.
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
        // An incarnation ends with its lease, so that grants to the earlier one become invalid.
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

    /// Returns whether the expired lease was the current one.
    fn on_lease_expired(&mut self, lease_id: u64, now: Timestamp) -> bool {
        self.renewal_in_flight = false;
        let is_current = self.lease_id == Some(lease_id);
        if is_current {
            self.joined = false;
            self.renewed_at = None;
            self.next_renewal = now;
        }
        is_current
    }

    fn on_request_failed(&mut self, now: Timestamp, rng: &mut SmallRng) {
        self.renewal_in_flight = false;
        self.store_failing_since.get_or_insert(now);
        self.next_renewal = now.plus(rng.random_range(LEASE_RETRY_MS));
    }
}

/// Returns a random number of 52 bits, which every JSON parser represents exactly.
fn random_incarnation(rng: &mut SmallRng) -> Incarnation {
    Incarnation(rng.random::<u64>() >> 12)
}

/// Answers to lease requests.
impl Controller {
    /// Handles a lease that was granted to a request sent at `sent`.
    pub fn on_lease_granted(&mut self, lease_id: u64, sent: Timestamp) {
        let granted = self
            .membership
            .on_lease_granted(lease_id, sent, &mut self.rng);
        if granted == LeaseGranted::NewIncarnation {
            self.replica.mark_all_blocks_changed();
        }
        let incarnation = self.membership.incarnation().0;
        info!(lease_id, incarnation, "lease granted");
    }

    /// Handles a successful renewal sent at `sent`.
    pub fn on_lease_renewed(&mut self, lease_id: u64, sent: Timestamp) {
        self.membership.on_lease_renewed(lease_id, sent);
    }

    /// Handles the expiry of a lease at the store.
    pub fn on_lease_expired(&mut self, lease_id: u64, now: Timestamp) {
        if self.membership.on_lease_expired(lease_id, now) {
            warn!(lease_id, "lease expired");
            self.writes.forget(WriteKind::Join);
        }
    }

    /// Handles a failed lease request or renewal.
    pub fn on_lease_failed(&mut self, now: Timestamp) {
        self.membership.on_request_failed(now, &mut self.rng);
    }
}

/// What this controller may do now.
impl Controller {
    /// Until when this controller may act on the state that it knows.
    pub fn authority_until(&self) -> Option<Timestamp> {
        self.membership.authority_until(&self.replica)
    }

    /// Whether this controller may act as holder or leader now.
    pub fn has_authority(&self, now: Timestamp) -> bool {
        !self.is_outdated() && self.authority_until().is_some_and(|until| now < until)
    }

    /// Whether a grant names this controller in its current incarnation.
    pub(crate) fn is_own_grant(&self, holder: &Holder) -> bool {
        self.membership.is_own_grant(holder)
    }

    /// Whether this controller holds a block by this grant and its replica includes everything that
    /// earlier holders wrote.
    ///
    /// An own grant may become visible before the watch has delivered earlier writes. The queues
    /// would then still list tasks that the former holder had moved away, and starting one requires
    /// no write that could fail.
    pub(crate) fn holds(&self, grant: &Holder) -> bool {
        self.is_own_grant(grant) && self.replica.revision >= grant.mod_revision
    }

    /// Whether this controller has up-to-date state after any pause of its event loop. Until then it
    /// draws no conclusions.
    pub(crate) fn caught_up_after_pause(&self, now: Timestamp) -> bool {
        let listen_ms = (self.settings.options.peers_period_ms * 2.0) as u64;
        let confirmed = self.membership.replica_confirmed_at();
        self.pauses.caught_up(confirmed, listen_ms, now)
    }

    /// Upper bound of the replica's age, ms: the replica includes every older change. `None` until the
    /// replica is consistent.
    pub(crate) fn replica_age_ms(&self, now: Timestamp) -> Option<u64> {
        let consistent = self.replica.synced && self.writes.is_consistent(self.replica.revision);
        let confirmed = self
            .membership
            .replica_confirmed_at()
            .filter(|_| consistent)?;
        Some(now.since(confirmed))
    }

    /// Whether the store answered recently.
    pub fn is_store_reachable(&self, now: Timestamp) -> bool {
        self.membership.is_store_reachable(now)
    }

    /// Whether the store recently rejected a write because its budget was exhausted, it was unavailable or
    /// the lease of the write had expired.
    pub(crate) fn store_refused_recently(&self, now: Timestamp) -> bool {
        self.writes.refused_within(STORE_REFUSAL_RECENT_MS, now)
    }

    /// Whether users should be routed to this controller.
    pub fn ready(&self, now: Timestamp) -> bool {
        if !self.replica.synced || !self.catalog_known() || self.membership.lease_id().is_none() {
            return false;
        }
        if self.is_outdated() {
            return false;
        }
        // If no controller reaches the store, reporting unhealthy would only keep users away for
        // longer than the outage lasts.
        self.is_store_reachable(now) || self.peers.is_store_outage_reported(now)
    }

    /// Requests or renews the lease when that is due.
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
        let key = controller_key(self.own_name());
        let record = ControllerRecord {
            incarnation: self.membership.incarnation().0,
            lease: lease_id,
            format: self.formats.own_format(),
        };
        let transaction = Transaction {
            preconditions: vec![self.precondition(&key)],
            mutations: vec![put(&key, &record, Some(lease_id))],
        };
        self.writes
            .submit(WriteKind::Join, transaction, WriteIntent::default(), out);
    }
}
