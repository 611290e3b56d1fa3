#include "admission/ColdStartRamp.hpp"
#include "admission/IdempotencyTable.hpp"
#include "admission/LoadEstimator.hpp"
#include "admission/QuarantineRegistry.hpp"
#include "admission/ServiceTimes.hpp"
#include "admission/SlotLimiter.hpp"
#include "core/Random.hpp"

#include <array>
#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 100s };
const IdempotencyKey kKey{ { "booking", 3 }, "w", "once" };

} // namespace

// Guards against a limit above the announced slots, and against one that never recovers from sheds.
BOOST_AUTO_TEST_CASE(LimitStaysWithinSlotsAndRecovers)
{
  SlotLimiter limiter;
  limiter.SetSlots(9);
  Random random(5);
  TimePoint now = kNow;
  for (int i = 0; i < 20000; ++i) {
    now += 1ms;
    if (limiter.TryAcquire()) {
      BOOST_REQUIRE(limiter.Running() <= 9U);
    } else {
      if (random.Below(10) == 0) {
        limiter.OnShed(now);
      } else {
        limiter.OnSuccess();
      }
      limiter.Release();
    }
    BOOST_REQUIRE(limiter.Limit() >= 1U);
  }
  for (int i = 0; i < 200; ++i) {
    while (limiter.TryAcquire()) {
    }
    limiter.OnSuccess();
    limiter.Release();
  }
  BOOST_TEST(limiter.Limit() == 9U);
}

// Guards against full load on a cold server, growth without successes, and a ramp that never ends.
BOOST_AUTO_TEST_CASE(RampGrowsOnlyWithSuccessesAndFallsOnSheds)
{
  ColdStartRamp ramp;
  ramp.Configure(1, 4s, 12);
  TimePoint now = kNow;
  ramp.Begin(now);
  now += 1h;
  BOOST_TEST(ramp.Allowed() == 1U);
  ramp.OnSuccess(now);
  BOOST_TEST(ramp.Allowed() == 2U);
  now += 1s;
  ramp.OnShed(now);
  BOOST_TEST(ramp.Allowed() == 1U);
  ramp.SetCold(true, now);
  for (int i = 0; i < 1000; ++i) {
    now += 10ms;
    ramp.OnSuccess(now);
  }
  BOOST_TEST(ramp.Allowed() == 1U);
  ramp.SetCold(false, now);
  for (int i = 0; i < 1000; ++i) {
    now += 10ms;
    ramp.OnSuccess(now);
  }
  BOOST_TEST(!ramp.Ramping());
  for (int i = 0; i < 5; ++i) {
    ramp.OnShed(now);
  }
  BOOST_TEST(ramp.Allowed() == 6U);
}

// Guards against a server that stays limited to one request at a time because its first heartbeat
// arrived before the configuration. After a power loss of all instances, 9 of 10 servers took 12 s
// to reach their full slots.
BOOST_AUTO_TEST_CASE(RampFollowsAConfigurationThatArrivesAfterItsBegin)
{
  ColdStartRamp ramp;
  ramp.Configure(1, 5s, 12);
  ramp.Begin(kNow);
  BOOST_TEST(ramp.Allowed() == 1U);
  ramp.Configure(6, 3s, 12);
  BOOST_TEST(ramp.Allowed() == 6U);
  ramp.OnShed(kNow + 1s);
  BOOST_TEST(ramp.Allowed() == 3U);
  // A change of the configuration does not undo the reduction after a shed.
  ramp.Configure(12, 3s, 12);
  BOOST_TEST(ramp.Allowed() == 3U);
}

// Guards against a class of short requests that is judged by the service times of other classes, is
// therefore refused, and never gets a sample. Calls with 250 ms left were refused for 10 s after a
// restart because audits took 400 to 600 ms.
BOOST_AUTO_TEST_CASE(ClassWithoutSamplesIsAdmitted)
{
  ServiceTimes times;
  BOOST_TEST((times.Of("call", kNow) == 0ms));
  for (int i = 0; i < 20; ++i) {
    times.Add("audit", 500ms, kNow);
  }
  BOOST_TEST((times.Of("audit", kNow) > 400ms));
  BOOST_TEST((times.Of("call", kNow) > 0ms));
  BOOST_TEST((times.Of("call", kNow) <= 1ms));
  times.Add("call", 40ms, kNow);
  BOOST_TEST((times.Of("call", kNow) >= 30ms));
}

// Guards against refusing requests indefinitely because the last samples were slow.
BOOST_AUTO_TEST_CASE(EstimateDecaysWithoutSamples)
{
  LoadEstimator estimator;
  estimator.Add(1s, kNow);
  BOOST_TEST((estimator.ServiceTime(kNow) == Duration(1s)));
  BOOST_TEST((estimator.ServiceTime(kNow + 5s) < Duration(1ms)));
}

// Guards against a second run under the same key while the first runs, after its end, and after a
// change of owner.
BOOST_AUTO_TEST_CASE(EntryPreventsASecondRunAlsoAtTheNextOwner)
{
  IdempotencyTable owner;
  IdempotencyTable successor;
  BOOST_TEST((owner.Begin(kKey, 1, kNow) == IdempotencyVerdict::New));
  BOOST_TEST((owner.Begin(kKey, 1, kNow) == IdempotencyVerdict::InFlight));
  BOOST_TEST((owner.Begin(kKey, 2, kNow) == IdempotencyVerdict::Conflict));
  successor.Import(owner.Export(kKey.shard_));
  BOOST_TEST((successor.Begin(kKey, 1, kNow) == IdempotencyVerdict::Unknown));
  const auto running = owner.Export(kKey.shard_);
  owner.Complete(kKey, StoredResponse{ 200, {}, "first" }, kNow);
  successor.Import(owner.Export(kKey.shard_));
  successor.Import(running);
  BOOST_TEST((successor.Begin(kKey, 1, kNow) == IdempotencyVerdict::Replay));
  BOOST_TEST(successor.Find(kKey)->response_->body_ == "first");
  const std::array abandoned{ owner.Abandon(kKey) };
  successor.Import(abandoned);
  BOOST_TEST((successor.Begin(kKey, 1, kNow) == IdempotencyVerdict::New));
}

// Guards against unbounded memory, and against evicting entries instead of only their responses.
BOOST_AUTO_TEST_CASE(FullTableEvictsOnlyResponses)
{
  IdempotencyLimits limits;
  limits.entries_ = 10;
  limits.responseBytes_ = 100;
  IdempotencyTable table(limits);
  for (int i = 0; i < 10; ++i) {
    const IdempotencyKey key{ { "s", 0 }, "w", std::to_string(i) };
    BOOST_TEST((table.Begin(key, 1, kNow) == IdempotencyVerdict::New));
    table.Complete(key, StoredResponse{ 200, {}, std::string(40, 'x') }, kNow);
    BOOST_TEST(table.ResponseBytes() <= 100U);
  }
  BOOST_TEST((table.Begin({ { "s", 0 }, "w", "0" }, 1, kNow) == IdempotencyVerdict::Unknown));
  BOOST_TEST((table.Begin({ { "s", 0 }, "w", "9" }, 1, kNow) == IdempotencyVerdict::Replay));
  BOOST_TEST((table.Begin(kKey, 1, kNow) == IdempotencyVerdict::Full));
  BOOST_TEST((table.Begin(kKey, 1, kNow + 11min) == IdempotencyVerdict::New));
  BOOST_TEST(table.Size() == 1U);
}

// Guards against a flood of new keys that searches the full table for each of them.
BOOST_AUTO_TEST_CASE(AFullTableIsSweptOnceASecond)
{
  IdempotencyLimits limits;
  limits.entries_ = 1;
  limits.expiry_ = 500ms;
  IdempotencyTable table(limits);
  const IdempotencyKey other{ { "s", 0 }, "w", "other" };
  BOOST_TEST((table.Begin(kKey, 1, kNow) == IdempotencyVerdict::New));
  table.Complete(kKey, std::nullopt, kNow);
  BOOST_TEST((table.Begin(other, 1, kNow) == IdempotencyVerdict::Full));
  BOOST_TEST((table.Begin(other, 1, kNow + 600ms) == IdempotencyVerdict::Full));
  BOOST_TEST((table.Begin(other, 1, kNow + 1s) == IdempotencyVerdict::New));
}

// Guards against keys that together take more memory than the table may, and against bytes that
// stay counted after their entries have gone.
BOOST_AUTO_TEST_CASE(LongKeysFillTheTable)
{
  IdempotencyLimits limits;
  limits.entryBytes_ = 100 * 1024;
  IdempotencyTable table(limits);
  const std::string padding(250, 'k');
  const auto begin = [&](int aNumber, TimePoint aNow) {
    return table.Begin({ { "s", 0 }, "w", padding + std::to_string(aNumber) }, 1, aNow);
  };
  int added = 0;
  while (begin(added, kNow) == IdempotencyVerdict::New && added < 1000) {
    table.Complete({ { "s", 0 }, "w", padding + std::to_string(added) }, std::nullopt, kNow);
    ++added;
  }
  BOOST_TEST(added > 10);
  BOOST_TEST(added < 400);
  BOOST_TEST(table.EntryBytes() <= limits.entryBytes_);
  BOOST_TEST((begin(added, kNow) == IdempotencyVerdict::Full));
  BOOST_TEST((begin(added, kNow + 11min) == IdempotencyVerdict::New));
  table.Abandon({ { "s", 0 }, "w", padding + std::to_string(added) });
  BOOST_TEST(table.EntryBytes() == 0U);
}

// Guards against a third crash caused by the same request, against counting one crash twice through
// gossip, and against refusing harmless requests for long.
BOOST_AUTO_TEST_CASE(TwoCrashesQuarantineAndACompletedTrialClears)
{
  QuarantineRegistry first;
  QuarantineRegistry second;
  const std::array<std::uint64_t, 2> running{ 1, 2 };
  const auto gossip = first.RecordCrash("s", running, "a/1", kNow);
  second.Merge(gossip);
  second.Merge(gossip);
  BOOST_TEST((second.Check("s", 1, kNow) == QuarantineVerdict::Suspect));
  BOOST_TEST((second.Check("other", 1, kNow) == QuarantineVerdict::Clear));
  BOOST_TEST(second.BeginTrial("s", 1));
  BOOST_TEST(!second.BeginTrial("s", 1));
  second.EndTrial("s", 1, false);
  second.RecordCrash("s", std::span(running).first(1), "b/1", kNow);
  BOOST_TEST((second.Check("s", 1, kNow) == QuarantineVerdict::Quarantined));
  BOOST_TEST(second.BeginTrial("s", 2));
  second.EndTrial("s", 2, true);
  second.Merge(gossip);
  BOOST_TEST((second.Check("s", 2, kNow) == QuarantineVerdict::Clear));
  BOOST_TEST((second.Check("s", 1, kNow + 11min) == QuarantineVerdict::Clear));
}

// Guards against a request that all servers run all the time being refused after a loss of power.
BOOST_AUTO_TEST_CASE(CrashesAtTheSameMomentCountAsOne)
{
  QuarantineRegistry registry({ 2, 3 });
  const std::array<std::uint64_t, 1> hot{ 1 };
  for (int server = 0; server < 60; ++server) {
    registry.RecordCrash("s", hot, std::to_string(server), kNow + 10ms * server);
  }
  BOOST_TEST((registry.Check("s", 1, kNow + 1s) == QuarantineVerdict::Suspect));
  // A request that crashes its servers goes on to crash those that are back.
  registry.RecordCrash("s", hot, "a", kNow + 10s);
  registry.RecordCrash("s", hot, "b", kNow + 20s);
  BOOST_TEST((registry.Check("s", 1, kNow + 20s) == QuarantineVerdict::Quarantined));
}

// Guards against requests that are refused although they have run elsewhere since the crashes, and
// against late news of these crashes.
BOOST_AUTO_TEST_CASE(ARunWithoutACrashClearsARequestAtAllInstances)
{
  QuarantineRegistry first({ 2, 3 });
  QuarantineRegistry second({ 2, 3 });
  const std::array<std::uint64_t, 1> running{ 1 };
  std::vector<QuarantineEntry> spread;
  for (int crash = 0; crash < 3; ++crash) {
    spread = first.RecordCrash("s", running, std::to_string(crash), kNow + 5s * crash);
  }
  second.Merge(spread);
  BOOST_TEST((second.Check("s", 1, kNow + 15s) == QuarantineVerdict::Quarantined));
  BOOST_TEST(second.Suspects(kNow + 15s).size() == 1U);
  BOOST_TEST(!second.OnCompleted("s", 2, kNow + 15s).has_value());
  const auto cleared = first.OnCompleted("s", 1, kNow + 15s);
  BOOST_REQUIRE(cleared.has_value());
  second.Merge({ &*cleared, 1 });
  second.Merge(spread);
  BOOST_TEST((second.Check("s", 1, kNow + 15s) == QuarantineVerdict::Clear));
  BOOST_TEST(second.Size() == 0U);
  // Later crashes count anew.
  first.RecordCrash("s", running, "later", kNow + 20s);
  BOOST_TEST((first.Check("s", 1, kNow + 20s) == QuarantineVerdict::Clear));
  BOOST_TEST(first.Suspects(kNow + 20s).empty());
  BOOST_TEST(!first.OnCompleted("s", 1, kNow + 20s).has_value());
  BOOST_TEST(first.Size() == 0U);
}
