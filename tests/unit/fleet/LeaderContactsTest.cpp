#include "fleet/LeaderContacts.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Contacts)

// Guards against an allowance that is lent in full while instances that are cut off from the store
// and the leader use their fixed shares of it. With 25 of 70 instances cut off for 12 s, a
// workspace got 2293 requests in 5 s where 2152 were allowed.
BOOST_AUTO_TEST_CASE(InstancesThatLostTheirMembershipCount)
{
  const TimePoint start{ 100s };
  LeaderContacts contacts(WindowBudgetSettings{});
  BOOST_TEST(contacts.CountOutOfContact({ "a", "b" }, start) == 2U);
  BOOST_TEST(contacts.OnReport("a", 1, 1, true, start));
  BOOST_TEST(contacts.OnReport("b", 1, 1, true, start));
  BOOST_TEST(contacts.CountOutOfContact({ "a", "b" }, start) == 0U);
  const TimePoint lapsed = start + 6s;
  BOOST_TEST(contacts.OnReport("a", 1, 2, true, lapsed));
  BOOST_TEST(contacts.CountOutOfContact({ "a", "b" }, lapsed) == 1U);
  contacts.OnMemberRemoved("b", lapsed);
  BOOST_TEST(contacts.CountOutOfContact({ "a" }, lapsed) == 1U);
  // A new leader also saw the removal of the member.
  contacts.Reset();
  BOOST_TEST(contacts.OnReport("a", 1, 3, true, lapsed + 14s));
  BOOST_TEST(contacts.CountOutOfContact({ "a" }, lapsed + 14s) == 1U);
  BOOST_TEST(contacts.OnReport("a", 1, 4, true, lapsed + 15s));
  BOOST_TEST(contacts.CountOutOfContact({ "a" }, lapsed + 15s) == 0U);
}

// Guards against counting an instance as in contact although it gets no replies, and against
// applying reports that arrive out of order.
BOOST_AUTO_TEST_CASE(OnlyInstancesThatHearTheLeaderAreInContact)
{
  const TimePoint start{ 100s };
  LeaderContacts contacts(WindowBudgetSettings{});
  BOOST_TEST(contacts.OnReport("a", 1, 5, true, start));
  BOOST_TEST(!contacts.OnReport("a", 1, 4, true, start));
  BOOST_TEST(contacts.OnReport("a", 1, 6, false, start));
  BOOST_TEST(contacts.CountOutOfContact({ "a" }, start) == 1U);
  // A new process restarts its sequence numbers.
  BOOST_TEST(contacts.OnReport("a", 2, 1, true, start));
  BOOST_TEST(contacts.CountOutOfContact({ "a" }, start) == 0U);
  BOOST_TEST(contacts.CountOutOfContact({ "a" }, start + 1s) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
