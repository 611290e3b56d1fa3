#include "core/Random.hpp"
#include "limits/ShareBucket.hpp"
#include "limits/SliceHolder.hpp"
#include "support/ManualClock.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <variant>
#include <vector>

using namespace redwing;
using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

namespace {

constexpr Duration kStep = 1ms;
constexpr Duration kLongestDelay = 200ms;

struct Delayed
{
  TimePoint at_;
  std::size_t holder_ = 0;
  std::variant<SliceRequest, SliceReply, SliceReport> message_;
};

/// Several holders and one bucket, connected by a network that delays, loses and duplicates
/// messages.
class Simulation
{
public:
  Simulation(WorkspaceLimit aLimit, std::size_t aHolders, std::uint64_t aSeed, double aLoss)
    : limit_(aLimit)
    , random_(aSeed)
    , loss_(aLoss)
    , bucket_(aLimit, aLimit.SliceTimeToLive(), clock_.Now())
  {
    for (std::size_t i = 0; i < aHolders; ++i) {
      holders_.emplace_back("w");
    }
  }

  /// Runs for aTime with aLoad arrivals per second in total. Most of them go to one holder, which
  /// changes during the run.
  void Run(double aLoad, Duration aTime, Duration aOwnerChangeEvery = 0s)
  {
    const TimePoint end = clock_.Now() + aTime;
    TimePoint nextChange = clock_.Now() + aOwnerChangeEvery;
    double nextArrival = 0;
    double elapsed = 0;
    while (clock_.Now() < end) {
      clock_.Advance(kStep);
      elapsed += Seconds(kStep).count();
      if (aOwnerChangeEvery > 0s && clock_.Now() >= nextChange) {
        ChangeOwner();
        nextChange = clock_.Now() + aOwnerChangeEvery;
      }
      while (nextArrival <= elapsed) {
        Arrive();
        nextArrival += -std::log(1 - random_.Unit()) / aLoad;
      }
      DeliverDue();
      for (std::size_t i = 0; i < holders_.size(); ++i) {
        Step(i);
      }
    }
  }

  /// Largest excess over rate x T + burst in any interval between two accepted requests.
  double LargestExcess() const { return LargestExcess(limit_); }

  double LargestExcess(WorkspaceLimit aLimit) const
  {
    // For accepted times t_0..t_n: max over i<=j of (j-i+1) - rate*(t_j-t_i) - burst.
    double best = -aLimit.burst_;
    double potential = 0;
    double minimum = 1e300;
    for (std::size_t i = 0; i < accepted_.size(); ++i) {
      const double offset = aLimit.rate_ * Seconds(accepted_[i].time_since_epoch()).count();
      minimum = std::min(minimum, static_cast<double>(i) - offset);
      potential = static_cast<double>(i) + 1 - offset;
      best = std::max(best, potential - minimum - aLimit.burst_);
    }
    return best;
  }

  std::size_t Accepted() const { return accepted_.size(); }
  std::size_t Refused() const { return refused_; }
  std::size_t IdealRefused() const { return idealRefused_; }

private:
  /// Alternates between a handover with the bucket's state and the loss of the owner.
  void ChangeOwner()
  {
    isHandover_ = !isHandover_;
    const TimePoint now = clock_.Now();
    bucket_ = isHandover_ ? ShareBucket(limit_, bucket_.Export("w", now), now)
                          : ShareBucket(limit_, limit_.SliceTimeToLive(), now);
  }

  void Arrive()
  {
    CountIdeal();
    const bool shifted = (clock_.Now().time_since_epoch() / 700ms) % 2 == 0;
    const std::size_t busy = shifted ? 0 : holders_.size() - 1;
    const std::size_t target = random_.Unit() < 0.7 ? busy : random_.Below(holders_.size());
    const auto admission = holders_[target].Admit(++waiterId_, clock_.Now() + 2s, clock_.Now());
    if (admission == SliceHolder::Admission::Admitted) {
      accepted_.push_back(clock_.Now());
    } else if (admission == SliceHolder::Admission::Refused) {
      ++refused_;
    }
  }

  /// Counts the requests that a single central bucket would refuse.
  void CountIdeal()
  {
    const double added = limit_.rate_ * Seconds(clock_.Now() - idealAt_).count();
    idealLevel_ = std::min(limit_.burst_, idealLevel_ + added);
    idealAt_ = clock_.Now();
    if (idealLevel_ >= 1) {
      idealLevel_ -= 1;
    } else {
      ++idealRefused_;
    }
  }

  void Apply(const std::vector<WaiterDecision>& aDecisions)
  {
    for (const WaiterDecision& decision : aDecisions) {
      if (decision.admitted_) {
        accepted_.push_back(clock_.Now());
      } else {
        ++refused_;
      }
    }
  }

  void Step(std::size_t aHolder)
  {
    SliceHolder& holder = holders_[aHolder];
    Apply(holder.Tick(clock_.Now()));
    if (auto request = holder.TakeRequest(clock_.Now())) {
      Send(aHolder, *request);
    }
    for (const SliceReport& report : holder.TakeReports(clock_.Now())) {
      Send(aHolder, report);
    }
  }

  template<typename Message>
  void Send(std::size_t aHolder, const Message& aMessage)
  {
    const int copies = random_.Unit() < loss_ ? 0 : (random_.Unit() < loss_ ? 2 : 1);
    for (int i = 0; i < copies; ++i) {
      const bool late = random_.Unit() < loss_;
      const Duration delay = late ? Duration(random_.Below(kLongestDelay.count())) : Duration(1ms);
      network_.push_back(Delayed{ clock_.Now() + delay, aHolder, aMessage });
    }
  }

  void DeliverDue()
  {
    for (std::size_t i = 0; i < network_.size();) {
      if (network_[i].at_ > clock_.Now()) {
        ++i;
        continue;
      }
      const Delayed due = network_[i];
      network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(i));
      Deliver(due);
    }
  }

  void Deliver(const Delayed& aDue)
  {
    const std::string name = std::to_string(aDue.holder_);
    if (const auto* request = std::get_if<SliceRequest>(&aDue.message_)) {
      Send(aDue.holder_, bucket_.Grant(name, *request, clock_.Now()));
    } else if (const auto* reply = std::get_if<SliceReply>(&aDue.message_)) {
      Apply(holders_[aDue.holder_].OnReply(*reply, clock_.Now()));
    } else {
      bucket_.Close(name, std::get<SliceReport>(aDue.message_), clock_.Now());
    }
  }

  test::ManualClock clock_;
  WorkspaceLimit limit_;
  Random random_;
  double loss_;
  ShareBucket bucket_;
  std::vector<SliceHolder> holders_;
  std::vector<Delayed> network_;
  std::vector<TimePoint> accepted_;
  std::size_t refused_ = 0;
  std::size_t idealRefused_ = 0;
  double idealLevel_ = 0;
  TimePoint idealAt_ = clock_.Now();
  std::uint64_t waiterId_ = 0;
  bool isHandover_ = false;
};

} // namespace

// Guards against accepting more than rate x time + burst when messages are lost, late or duplicated
// and the bucket changes its owner.
BOOST_AUTO_TEST_CASE(AcceptedNeverExceedsRateAndBurst)
{
  std::uint64_t seed = 1;
  for (const WorkspaceLimit limit : { WorkspaceLimit{ 1, 1 },
                                      { 10, 1 },
                                      { 10, 10 },
                                      { 100, 20 },
                                      { 1000, 1000 },
                                      { 5000, 500 } }) {
    for (const double loss : { 0.0, 0.2 }) {
      for (const Duration change : { Duration(0s), Duration(1300ms) }) {
        Simulation simulation(limit, 5, seed++, loss);
        simulation.Run(limit.rate_ * 3, 8s, change);
        BOOST_TEST(simulation.LargestExcess() <= 1e-6,
                   "rate " << limit.rate_ << " burst " << limit.burst_ << " loss " << loss
                           << " seed " << seed - 1 << " excess " << simulation.LargestExcess());
      }
    }
  }
}

// Guards against refusing requests within the rate while the load shifts between holders.
BOOST_AUTO_TEST_CASE(RefusesAtMostOneInAThousandWithinRate)
{
  std::uint64_t seed = 100;
  for (const WorkspaceLimit limit :
       { WorkspaceLimit{ 1, 5 }, { 10, 20 }, { 100, 100 }, { 1000, 500 }, { 10000, 5000 } }) {
    Simulation simulation(limit, 7, seed++, 0);
    // The bucket starts empty; the time until it is full is not measured.
    simulation.Run(
      limit.rate_ * 0.01,
      Duration(std::chrono::duration_cast<Duration>(Seconds(limit.burst_ / limit.rate_ + 1.2))));
    const std::size_t refusedBefore = simulation.Refused();
    const std::size_t idealBefore = simulation.IdealRefused();
    const std::size_t acceptedBefore = simulation.Accepted();
    simulation.Run(limit.rate_ * 0.9, limit.rate_ < 50 ? 600s : 20s);
    const double refused = static_cast<double>(simulation.Refused() - refusedBefore);
    const double ideal = static_cast<double>(simulation.IdealRefused() - idealBefore);
    const double total = refused + static_cast<double>(simulation.Accepted() - acceptedBefore);
    BOOST_TEST_MESSAGE("rate " << limit.rate_ << " burst " << limit.burst_ << " refused " << refused
                               << " ideal " << ideal << " of " << total);
    BOOST_TEST(refused - ideal <= 0.001 * total,
               "rate " << limit.rate_ << " refused " << refused << " ideal " << ideal << " of "
                       << total);
  }
}

// Guards against an excess check that cannot fail: a bucket with twice the rate must exceed the
// limit.
BOOST_AUTO_TEST_CASE(TheCheckFindsAnExcess)
{
  Simulation simulation({ 200, 20 }, 3, 7, 0.2);
  simulation.Run(600, 5s);
  BOOST_TEST(simulation.LargestExcess({ 100, 10 }) > 0);
}

// Guards against a holder that reports itself idle while it waits for the owner, holds tokens to
// return, or has demand to prefetch tokens for.
BOOST_AUTO_TEST_CASE(HolderIsIdleOnlyWithoutWork)
{
  test::ManualClock clock;
  SliceHolder holder("w");
  BOOST_TEST(holder.Idle(clock.Now()));
  holder.Admit(1, clock.Now() + 1s, clock.Now());
  BOOST_TEST(!holder.Idle(clock.Now()));
  const auto request = holder.TakeRequest(clock.Now());
  BOOST_TEST_REQUIRE(request.has_value());
  SliceReply reply;
  reply.workspace_ = "w";
  reply.requestId_ = request->requestId_;
  reply.owner_ = true;
  reply.tokens_ = 3;
  reply.timeToLiveMs_ = 50;
  BOOST_TEST(holder.OnReply(reply, clock.Now()).size() == 1U);
  clock.Advance(5ms);
  BOOST_TEST(!holder.Idle(clock.Now()));
  clock.Advance(25ms);
  BOOST_TEST(holder.TakeReports(clock.Now()).size() == 1U);
  BOOST_TEST(holder.Idle(clock.Now()));
  for (std::uint64_t id = 2; id < 12; ++id) {
    holder.Admit(id, clock.Now() + 1ms, clock.Now());
  }
  clock.Advance(2ms);
  holder.Tick(clock.Now());
  BOOST_TEST(!holder.Idle(clock.Now()));
  clock.Advance(1s);
  BOOST_TEST(holder.Idle(clock.Now()));
}
