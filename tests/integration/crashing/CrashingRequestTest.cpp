#include "tests/integration/crashing/CrashingServer.hpp"

#include <algorithm>
#include <csignal>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace redwing::test;
using namespace std::chrono_literals;
using Json = nlohmann::json;

/// Backend servers that crash: by a request that comes again, and for other reasons.
namespace {

constexpr int kInstances = 8;
/// The users' bound: after the third crash and this time, a request that crashes servers reaches
/// them in no more than kLateRuns retries.
constexpr auto kContactTime = 3000ms;
constexpr std::size_t kBoundCrashes = 3;
constexpr std::size_t kLateRuns = 3;

Json
Manifest()
{
  Json routes = Json::array();
  for (const char* name : { "poison", "hot" }) {
    routes.push_back({ { "name", name },
                       { "host", "desk.example" },
                       { "pathPrefix", std::string("/") + name + "/" },
                       { "kind", std::string(name) == "hot" ? "safe" : "unsafe" },
                       { "timeoutMs", 1500 },
                       { "targetLatencyMs", 1000 },
                       { "priority", 1 },
                       { "service", "desk" },
                       { "maxAttempts", 2 },
                       { "allowAnonymous", true } });
  }
  return {
    { "version", "r1" },
    { "routes", routes },
    { "services",
      Json::array(
        { { { "name", "desk" }, { "healthCheckPath", "/health" }, { "maxConnections", 80 } } }) },
    { "limits", { { "maxHeaderBytes", 16384 } } }
  };
}

struct Fleet
{
  Fleet()
  {
    PlatformFleetSettings settings;
    settings.name_ = "crashing";
    settings.manifest_ = Manifest();
    settings.service_ = "desk";
    settings.slots_ = 4;
    for (int i = 0; i < kInstances; ++i) {
      servers_.push_back(std::make_unique<CrashingServer>(i, 1000ms, [this] {
        std::lock_guard lock(mutex_);
        poisoned_.push_back(Clock::now());
      }));
      settings.serverPorts_.push_back(servers_.back()->Port());
    }
    settings.serverState_ = [this](int aInstance) { return servers_[aInstance]->State(); };
    fleet_.emplace(std::move(settings));
  }

  /// Sends a request to an instance; returns the status, 0 if there was no answer.
  unsigned Ask(int aInstance, const std::string& aPath)
  {
    const std::string id = "q" + std::to_string(++requests_);
    return redwing::bench::Call(
             fleet_->Callers(aInstance),
             aPath.starts_with("/hot/") ? "GET" : "POST",
             aPath,
             {},
             { { "Host", "desk.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "1500" } })
      .status_;
  }

  /// Returns whether an instance serves a request within aLimit.
  bool Serves(int aInstance, const std::string& aPath, std::chrono::milliseconds aLimit)
  {
    const auto limit = Clock::now() + aLimit;
    while (Ask(aInstance, aPath) != 200) {
      if (Clock::now() > limit) {
        return false;
      }
      std::this_thread::sleep_for(50ms);
    }
    return true;
  }

  std::size_t Poisoned()
  {
    std::lock_guard lock(mutex_);
    return poisoned_.size();
  }

  /// Returns how often the crashing request was begun later than kContactTime after it had ended
  /// kBoundCrashes servers.
  std::size_t LateRuns()
  {
    std::lock_guard lock(mutex_);
    if (poisoned_.size() < kBoundCrashes) {
      return 0;
    }
    const auto from = poisoned_[kBoundCrashes - 1] + kContactTime;
    return static_cast<std::size_t>(
      std::count_if(poisoned_.begin(), poisoned_.end(), [&](auto aTime) { return aTime > from; }));
  }

  std::mutex mutex_;
  std::vector<Clock::time_point> poisoned_;
  std::vector<std::unique_ptr<CrashingServer>> servers_;
  std::atomic<int> requests_{ 0 };
  std::optional<PlatformFleet> fleet_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingRequests, Fleet)

// Guards against a request that crashes one server after another because the instances count its
// crashes separately, and against an instance that forgets them when it starts again.
BOOST_AUTO_TEST_CASE(ARequestThatCrashesServersStopsAcrossInstances)
{
  const auto send = [&](int aRounds) {
    for (int i = 0; i < aRounds; ++i) {
      Ask(i % kInstances, "/poison/1");
      std::this_thread::sleep_for(2000ms);
    }
  };
  send(kInstances + 3);
  BOOST_TEST(Poisoned() >= kBoundCrashes);
  BOOST_TEST(LateRuns() <= kLateRuns);
  for (const int instance : { 0, 3 }) {
    fleet_->Instance(instance).Signal(SIGKILL);
    fleet_->Instance(instance).Wait(2000);
    fleet_->Start(instance);
    BOOST_REQUIRE(fleet_->AwaitReady(instance));
  }
  send(4);
  BOOST_TEST_MESSAGE("runs " << Poisoned() << ", of them late " << LateRuns());
  BOOST_TEST(LateRuns() <= kLateRuns);
  for (int i = 0; i < kInstances; ++i) {
    BOOST_TEST(Serves(i, "/hot/1", 3000ms));
  }
}

// Guards against a request that many callers send being refused because it ran at servers that
// crashed for other reasons, one after the other and all at once.
BOOST_AUTO_TEST_CASE(AHotRequestThatRanDuringUnrelatedCrashesIsServed)
{
  std::atomic<bool> stopped{ false };
  std::atomic<int> served{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kInstances * 3; ++i) {
    clients.emplace_back([&, i] {
      while (!stopped) {
        served += Ask(i % kInstances, "/hot/1") == 200 ? 1 : 0;
        std::this_thread::sleep_for(20ms);
      }
    });
  }
  std::this_thread::sleep_for(1s);
  for (const std::vector<int>& crashed :
       std::vector<std::vector<int>>{ { 0 }, { 1 }, { 2, 3 }, { 0, 1, 2, 3, 4, 5, 6, 7 }, { 4 } }) {
    for (const int server : crashed) {
      servers_[server]->Crash();
    }
    std::this_thread::sleep_for(2500ms);
    // The servers are back; each instance must serve the request, and its own server take part.
    for (int i = 0; i < kInstances; ++i) {
      BOOST_TEST(Serves(i, "/hot/1", 1000ms));
    }
  }
  served = 0;
  std::this_thread::sleep_for(1s);
  stopped = true;
  for (auto& client : clients) {
    client.join();
  }
  BOOST_TEST_MESSAGE("served in the last second: " << served);
  // Each client makes a request in about 100 ms.
  BOOST_TEST(served > kInstances * 3 * 5);
}

BOOST_AUTO_TEST_SUITE_END()
