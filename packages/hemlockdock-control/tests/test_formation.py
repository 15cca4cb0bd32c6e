"""Tests of how a member with an unused folder founds or joins its cluster."""

import unittest

from hemlockdock_control.consensus.configuration import Configuration, Member
from hemlockdock_control.consensus.formation import Formation, FormationOutcome
from hemlockdock_control.consensus.messages import Hello
from hemlockdock_control.storage.identity import FORMAT, Identity, MembershipOrigin
from hemlockdock_core.settings import MemberAddress


def addresses(ids):
    return [MemberAddress(m, "tcp://127.0.0.1:1", f"tcp://{m}") for m in ids]


def formation(member_id, ids, folder_id=None):
    identity = Identity(FORMAT, "c", member_id, folder_id or f"folder {member_id}")
    return Formation(identity, addresses(ids))


def founders(ids):
    members = [Member(m, f"folder {m}", f"tcp://{m}", True) for m in ids]
    return Configuration(tuple(members))


def hello(member_id, standing, known, cluster="c"):
    return Hello(cluster, f"folder {member_id}", f"tcp://{member_id}", standing, known, False)


class FormationTest(unittest.TestCase):
    def hear_fresh(self, formed, ids, named="abc", cluster="c"):
        for member_id in ids:
            named_members = formation(member_id, named).configured_members()
            formed.record_hello(
                member_id, hello(member_id, MembershipOrigin.FRESH, named_members, cluster)
            )

    def test_founded_once_a_hello_of_every_listed_member_was_received(self):
        formed = formation("a", "abc")
        self.hear_fresh(formed, "b")
        self.assertIs(formed.outcome(), FormationOutcome.WAITING)
        self.hear_fresh(formed, "c")
        self.assertIs(formed.outcome(), FormationOutcome.FOUNDED)
        self.assertEqual(formed.founders(), founders("abc"))

    def test_a_founder_that_crashed_early_adopts_the_founders_of_the_others(self):
        formed = formation("a", "abc")
        formed.record_hello("b", hello("b", MembershipOrigin.FOUNDER, founders("abc")))
        self.hear_fresh(formed, "c")
        self.assertIs(formed.outcome(), FormationOutcome.FOUNDED)
        self.assertEqual(formed.founders(), founders("abc"))

    def test_a_member_that_the_founders_lack_joins(self):
        formed = formation("d", "abd")
        formed.record_hello("a", hello("a", MembershipOrigin.FOUNDER, founders("abc")))
        self.assertIs(formed.outcome(), FormationOutcome.JOINING)
        formed = formation("e", "de")
        formed.record_hello("d", hello("d", MembershipOrigin.JOINER, Configuration()))
        self.assertIs(formed.outcome(), FormationOutcome.JOINING)

    def test_an_emptied_folder_is_refused(self):
        formed = formation("a", "abc", "another folder")
        self.hear_fresh(formed, "c")
        formed.record_hello("b", hello("b", MembershipOrigin.FOUNDER, founders("abc")))
        self.assertIs(formed.outcome(), FormationOutcome.REFUSED)

    def test_members_that_list_others_or_another_cluster_do_not_form_a_cluster(self):
        formed = formation("a", "ab")
        self.hear_fresh(formed, "b", named="abc")
        self.assertIs(formed.outcome(), FormationOutcome.WAITING)
        formed = formation("a", "ab")
        self.hear_fresh(formed, "b", named="ab", cluster="other")
        self.hear_fresh(formed, "x", named="ab")
        self.assertIs(formed.outcome(), FormationOutcome.WAITING)


if __name__ == "__main__":
    unittest.main()
