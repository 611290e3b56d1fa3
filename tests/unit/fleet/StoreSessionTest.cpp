#include "fleet/StoreSession.hpp"
#include "support/HeldStore.hpp"
#include "support/ManualClock.hpp"
#include "support/MemoryStore.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace redwing;
using namespace redwing::test;
using namespace std::chrono_literals;

namespace {

constexpr auto kLeaseTime = 200ms;

/// One registered instance whose calls and replies at the store can be held back.
struct SessionFixture
{
  SessionFixture()
  {
    memory_.LimitLeases(kLeaseTime);
    session_.Start();
    session_.SetSelf(self_);
    BOOST_REQUIRE(RunUntil([this] { return session_.Confirmed(); }));
  }

  static MemberRecord Self()
  {
    MemberRecord self;
    self.member_.ref_ = { "one", 1 };
    return self;
  }

  template<typename Condition>
  bool RunUntil(Condition aCondition)
  {
    const TimePoint limit = clock_.Now() + 5s;
    while (!aCondition()) {
      if (clock_.Now() > limit) {
        return false;
      }
      memory_.Expire();
      context_.restart();
      context_.run_for(1ms);
      clock_.Set(clock_.Now() + 1ms);
    }
    return true;
  }

  /// Handles all replies that are not held and what they cause.
  void Settle(std::chrono::milliseconds aTime = 20ms)
  {
    const TimePoint end = clock_.Now() + aTime;
    BOOST_REQUIRE(RunUntil([this, end] { return clock_.Now() > end; }));
  }

  const StoreEntry* Stored() const
  {
    const auto entry = memory_.Entries().find(session_.MemberKey("one"));
    return entry == memory_.Entries().end() ? nullptr : &entry->second;
  }

  /// Begins a write of the changed record, which stays under way, and lets the lease end and the
  /// session notice it, up to the request for a new lease, which stays under way too.
  void LapseDuringAWrite(bool aExecuted)
  {
    store_.HoldCalls(HeldStore::Commits, !aExecuted);
    store_.HoldReplies(HeldStore::Commits, aExecuted);
    self_.member_.slots_ = 7;
    session_.SetSelf(self_);
    BOOST_REQUIRE(RunUntil([this] { return store_.Held(HeldStore::Commits) == 1; }));
    store_.HoldCalls(HeldStore::Renewals, true);
    BOOST_REQUIRE(RunUntil([this] { return Stored() == nullptr; }));
    store_.HoldCalls(HeldStore::Grants, true);
    store_.HoldCalls(HeldStore::Renewals, false);
    store_.Release(HeldStore::Renewals);
    BOOST_REQUIRE(RunUntil([this] { return store_.Held(HeldStore::Grants) == 1; }));
    store_.HoldCalls(HeldStore::Commits, false);
    store_.HoldReplies(HeldStore::Commits, false);
  }

  /// Lets all held requests for leases go, and checks that the record is kept by the lease that the
  /// session renews.
  void RegisterAgain()
  {
    store_.HoldCalls(HeldStore::Grants, false);
    while (store_.Held(HeldStore::Grants) > 0) {
      store_.Release(HeldStore::Grants);
    }
    BOOST_REQUIRE(RunUntil([this] { return session_.Confirmed(); }));
    Settle(3 * kLeaseTime);
    BOOST_REQUIRE(Stored() != nullptr);
    BOOST_TEST(Stored()->lease_ == session_.Lease());
    BOOST_TEST(session_.Confirmed());
  }

  boost::asio::io_context context_;
  /// Advances with the turns of the loop, so that no lease ends while the machine is busy.
  ManualClock clock_;
  MemoryStore memory_{ context_, clock_ };
  HeldStore store_{ memory_ };
  MemberRecord self_ = Self();
  std::deque<std::function<void(std::chrono::milliseconds)>> relayed_;
  StoreSession session_{ context_,
                         clock_,
                         store_,
                         { "redwing/", 1s, 50ms, 10ms },
                         { [] {},
                           [this](std::int64_t,
                                  std::function<void(std::chrono::milliseconds)> aDone) {
                             relayed_.push_back(std::move(aDone));
                           } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreSessions, SessionFixture)

// Guards against a second lease after a lapse, and a record that is bound to the one that is not
// renewed: a write with the ended lease is refused while a new lease is being requested.
BOOST_AUTO_TEST_CASE(ALateRefusalOfAWriteRequestsNoSecondLease)
{
  LapseDuringAWrite(false);
  store_.Release(HeldStore::Commits);
  Settle();
  BOOST_TEST(store_.Held(HeldStore::Grants) == 1U);
  RegisterAgain();
}

// Guards against a registration by the late success of a write with a lease that has ended since.
BOOST_AUTO_TEST_CASE(ALateSuccessOfAWriteDoesNotRegister)
{
  LapseDuringAWrite(true);
  store_.Release(HeldStore::Commits);
  Settle();
  BOOST_TEST(!session_.Confirmed());
  BOOST_TEST((session_.LeaseDeadline() < clock_.Now()));
  RegisterAgain();
}

// Guards against an instance that waits without a record: its write with the new lease was held up
// by one with the ended lease.
BOOST_AUTO_TEST_CASE(AWriteWithTheNewLeaseFollowsTheLateReply)
{
  LapseDuringAWrite(false);
  store_.HoldCalls(HeldStore::Grants, false);
  store_.Release(HeldStore::Grants);
  Settle();
  BOOST_TEST(!session_.Confirmed());
  store_.Release(HeldStore::Commits);
  RegisterAgain();
}

// Guards against a record that ends while its instance renews another lease.
BOOST_AUTO_TEST_CASE(ARecordThatIsBoundToAnotherLeaseIsWrittenAgain)
{
  std::int64_t other = 0;
  memory_.GrantLease(1s, [&](const StoreResult<StoreLease>& aLease) { other = aLease->id_; });
  BOOST_REQUIRE(RunUntil([&] { return other != 0; }));
  StoreTransaction write;
  write.writes_.push_back({ Stored()->key_, Stored()->value_, other });
  memory_.Commit(write, [](const auto&) {});
  session_.Reload();
  Settle();
  BOOST_REQUIRE(Stored() != nullptr);
  BOOST_TEST(Stored()->lease_ == session_.Lease());
}

// Guards against a lease that is taken to last longer than the store says: an earlier renewal
// through another instance is answered after a later one that was granted less time.
BOOST_AUTO_TEST_CASE(ALateAnswerAboutAnEarlierRenewalDoesNotExtendTheLease)
{
  store_.HoldCalls(HeldStore::Renewals, true);
  BOOST_REQUIRE(RunUntil([this] { return store_.Held(HeldStore::Renewals) == 1; }));
  store_.Fail(HeldStore::Renewals);
  BOOST_REQUIRE(RunUntil([this] { return relayed_.size() == 1; }));
  BOOST_REQUIRE(RunUntil([this] { return store_.Held(HeldStore::Renewals) == 1; }));
  store_.Release(HeldStore::Renewals);
  Settle();
  const TimePoint deadline = session_.LeaseDeadline();
  BOOST_TEST((deadline < clock_.Now() + kLeaseTime));
  relayed_.front()(1s);
  BOOST_TEST((session_.LeaseDeadline() <= deadline));
}

BOOST_AUTO_TEST_SUITE_END()
