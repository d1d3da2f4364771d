//! Unit tests of the decision to take the leadership.

use super::{Candidacy, LeaderStatus, PeerLeader, candidacy};

const HEALTHY: PeerLeader = PeerLeader {
    replaced: false,
    silent: false,
    without_store: false,
    restarted: false,
    rank: 0,
};

#[test]
fn a_vacant_leadership_is_taken_at_once() {
    assert_eq!(candidacy(LeaderStatus::None, None), Candidacy::Campaign);
    let earlier = LeaderStatus::EarlierIncarnation;
    assert_eq!(candidacy(earlier, None), Candidacy::Campaign);
}

#[test]
fn a_leadership_of_this_controller_is_not_taken_again() {
    let leader = LeaderStatus::ThisController;
    assert_eq!(candidacy(leader, None), Candidacy::Wait);
}

#[test]
fn a_healthy_leader_keeps_the_leadership() {
    assert_eq!(
        candidacy(LeaderStatus::Peer(HEALTHY), None),
        Candidacy::Wait
    );
}

#[test]
fn a_failed_leader_is_replaced_by_the_candidates_in_order_of_rank() {
    for failed in [
        PeerLeader {
            replaced: true,
            ..HEALTHY
        },
        PeerLeader {
            silent: true,
            ..HEALTHY
        },
        PeerLeader {
            without_store: true,
            ..HEALTHY
        },
    ] {
        assert!(failed.is_suspect());
        let first = LeaderStatus::Peer(failed);
        assert_eq!(candidacy(first, Some(0)), Candidacy::Campaign);
        let third = LeaderStatus::Peer(PeerLeader { rank: 2, ..failed });
        assert_eq!(candidacy(third, Some(1199)), Candidacy::Wait);
        assert_eq!(candidacy(third, Some(1200)), Candidacy::Campaign);
    }
}

#[test]
fn a_leader_that_reports_another_incarnation_is_given_a_grace_period() {
    let restarted = PeerLeader {
        restarted: true,
        ..HEALTHY
    };
    assert!(restarted.is_suspect());
    let leader = LeaderStatus::Peer(restarted);
    assert_eq!(candidacy(leader, Some(1499)), Candidacy::Wait);
    assert_eq!(candidacy(leader, Some(1500)), Candidacy::Campaign);
}
