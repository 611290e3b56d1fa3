#include "tests/integration/PlatformFleet.hpp"
#include "tests/integration/shutdown/Servers.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace redwing::test;
using namespace std::chrono_literals;
using Json = nlohmann::json;

/// Backend servers that state in their answers what they can take, or that they leave.
namespace {

constexpr int kInstances = 4;
constexpr int kClientsEach = 5;
/// The users' bounds: the limit counts from kContactTime after it was first named, in windows of
/// kWindow, with kOvershoot and kSlack; a leaving server gets nothing after kDrainTime.
constexpr auto kContactTime = 3000ms;
constexpr auto kDrainTime = 2000ms;
constexpr auto kWindow = 4000ms;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5;

/// A backend server that adds header lines to its answers, and remembers when requests came.
class StatingServer
{
public:
  StatingServer()
    : server_([this](const FakeRequest& aRequest) {
      std::string stated;
      {
        std::lock_guard lock(mutex_);
        arrivals_.push_back(Clock::now());
        stated = stated_;
      }
      std::this_thread::sleep_for(10ms);
      const std::string id = HeaderOf(aRequest.head_, "X-Request-Id");
      return FakeServer::Response{ FakeServer::Ok(
        "done", "X-Request-Id: " + id + "\r\nX-Server-Signature: s\r\n" + stated) };
    })
  {
  }

  std::uint16_t Port() const { return server_.Port(); }

  void State(const std::string& aLines)
  {
    std::lock_guard lock(mutex_);
    stated_ = aLines;
  }

  std::size_t Since(Clock::time_point aTime)
  {
    std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
      std::count_if(arrivals_.begin(), arrivals_.end(), [&](auto aAt) { return aAt > aTime; }));
  }

  /// Returns the most requests that came within kWindow, of those that came after aTime.
  std::size_t MostInWindow(Clock::time_point aTime)
  {
    std::lock_guard lock(mutex_);
    std::size_t most = 0;
    for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
      if (*first > aTime) {
        const auto end = std::upper_bound(first, arrivals_.end(), *first + kWindow);
        most = std::max(most, static_cast<std::size_t>(end - first));
      }
    }
    return most;
  }

private:
  std::mutex mutex_;
  std::string stated_;
  std::vector<Clock::time_point> arrivals_;
  FakeServer server_;
};

Json
Manifest()
{
  const Json route{ { "name", "look" },         { "host", "desk.example" },
                    { "pathPrefix", "/look/" }, { "kind", "safe" },
                    { "timeoutMs", 1500 },      { "targetLatencyMs", 1000 },
                    { "priority", 1 },          { "service", "desk" },
                    { "maxAttempts", 2 },       { "allowAnonymous", true } };
  const Json service{ { "name", "desk" },
                      { "healthCheckPath", "/health" },
                      { "maxConnections", 80 } };
  return { { "version", "r1" },
           { "routes", Json::array({ route }) },
           { "services", Json::array({ service }) },
           { "limits", { { "maxHeaderBytes", 16384 } } } };
}

/// A fleet under load: each client sends a request after the other.
struct Fleet
{
  Fleet()
  {
    PlatformFleetSettings settings;
    settings.name_ = "stated";
    settings.manifest_ = Manifest();
    settings.service_ = "desk";
    settings.slots_ = 4;
    for (int i = 0; i < kInstances; ++i) {
      servers_.push_back(std::make_unique<StatingServer>());
      settings.serverPorts_.push_back(servers_.back()->Port());
    }
    settings.serverState_ = [](int aInstance) {
      return ServerState{ "i-" + std::to_string(aInstance) };
    };
    fleet_.emplace(std::move(settings));
    for (int i = 0; i < kInstances * kClientsEach; ++i) {
      clients_.emplace_back([this, i] { Send(i); });
    }
    std::this_thread::sleep_for(1s);
  }

  ~Fleet()
  {
    stopped_ = true;
    for (auto& client : clients_) {
      client.join();
    }
  }

  void Send(int aClient)
  {
    for (int i = 0; !stopped_; ++i) {
      const std::string id = "q" + std::to_string(aClient) + "-" + std::to_string(i);
      const auto result = redwing::bench::Call(
        fleet_->Callers(aClient % kInstances),
        "GET",
        "/look/" + id,
        {},
        { { "Host", "desk.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "1500" } });
      (result.Ok() ? served_ : failed_) += 1;
      std::this_thread::sleep_for(20ms);
    }
  }

  std::vector<std::unique_ptr<StatingServer>> servers_;
  std::optional<PlatformFleet> fleet_;
  std::atomic<int> served_{ 0 };
  std::atomic<int> failed_{ 0 };
  std::atomic<bool> stopped_{ false };
  std::vector<std::thread> clients_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StatedNeeds, Fleet)

// Guards against a server in need that gets more requests than the limit that it names in its
// answers (halvorsen-ducts, incident second1), and against a limit that outlasts its end.
BOOST_AUTO_TEST_CASE(AServerGetsNoMoreThanTheLimitThatItNames)
{
  constexpr double kLimit = 6;
  const double allowed =
    kOvershoot * kLimit * std::chrono::duration<double>(kWindow).count() + kSlack;
  servers_[0]->State("Server-Limit: 6.0\r\n");
  const auto counted = Clock::now() + kContactTime;
  const int failed = failed_;
  std::this_thread::sleep_for(kContactTime + kWindow + 3s);
  BOOST_TEST(servers_[0]->MostInWindow(counted) <= allowed);
  // It still works as much as it can, and the others take the rest.
  BOOST_TEST(servers_[0]->Since(counted) >= 20U);
  BOOST_TEST(failed_ - failed < 20);
  servers_[0]->State("");
  const auto ended = Clock::now() + 1s;
  std::this_thread::sleep_for(3s);
  BOOST_TEST(servers_[0]->Since(ended) > kLimit * 2 * 2);
}

// Guards against requests to a server that says only in its answers that it leaves.
BOOST_AUTO_TEST_CASE(AServerThatSaysThatItLeavesGetsNothingAfterTheDrainTime)
{
  servers_[1]->State("Server-Leaving: 1\r\n");
  const auto left = Clock::now() + kDrainTime;
  const int failed = failed_;
  std::this_thread::sleep_for(kDrainTime + 3s);
  BOOST_TEST(servers_[1]->Since(left) == 0U);
  BOOST_TEST(failed_ == failed);
}

BOOST_AUTO_TEST_SUITE_END()
