#include "backend/RequestChecks.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

constexpr auto kGrace = 3500ms;

struct Withdrawal
{
  Withdrawal()
  {
    auto revision = std::make_shared<ConfigurationRevision>();
    revision->revision_ = 1;
    DataCentre braga;
    braga.id_ = "braga";
    braga.withdrawn_ = true;
    revision->configuration_.dataCentres_ = { braga };
    auto next = std::make_shared<RoutingView>();
    next->configuration_ = std::move(revision);
    next->selfDataCentre_ = "braga";
    next->selfWithdrawnSince_ = since_;
    view_.Set(std::move(next));
  }

  std::optional<ErrorCode> Check(bool aKeyed, TimePoint aNow)
  {
    RequestStart start;
    start.service_ = "desk";
    start.deadline_ = aNow + 1s;
    if (aKeyed) {
      start.shard_ = ShardTarget{ 1, 7 };
    }
    return checks_.CheckRequest(start, aNow);
  }

  TimePoint since_{ 100s };
  Published<RoutingView> view_{ std::make_shared<RoutingView>() };
  RequestChecks checks_{ view_, kGrace };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestsOfAWithdrawnDataCentre, Withdrawal)

// Guards against a withdrawal that begins with the first request after it.
BOOST_AUTO_TEST_CASE(TheFirstRequestAfterAQuietWithdrawalIsRefused)
{
  BOOST_TEST((Check(true, since_ + 6s) == ErrorCode::Draining));
}

// Guards against refusing requests of shards that can't have moved yet.
BOOST_AUTO_TEST_CASE(ShardsAreServedWhileTheyMove)
{
  BOOST_TEST((Check(false, since_) == ErrorCode::Draining));
  BOOST_TEST(!Check(true, since_ + kGrace - 1ms));
  BOOST_TEST((Check(true, since_ + kGrace) == ErrorCode::Draining));
}

// Guards against a second grace period after the restart of an instance.
BOOST_AUTO_TEST_CASE(AWithdrawalOfUnknownAgeHasNoGracePeriod)
{
  auto next = std::make_shared<RoutingView>(*view_.Get());
  next->selfWithdrawnSince_ = TimePoint::min();
  view_.Set(std::move(next));
  BOOST_TEST((Check(true, since_) == ErrorCode::Draining));
}

BOOST_AUTO_TEST_SUITE_END()
