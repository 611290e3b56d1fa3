#pragma once

#include "bench/HttpCall.hpp"
#include "bench/Process.hpp"
#include "standins/platform/PlatformStore.hpp"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace redwing::test {

/// What a backend server says of itself in its heartbeats.
struct ServerState
{
  std::string id_;
  /// Unix millisecond of its start.
  std::uint64_t startedAt_ = 1789395282487;
  std::string state_ = "ready";
};

struct PlatformFleetSettings
{
  std::string name_;
  nlohmann::json manifest_;
  std::string service_;
  int slots_ = 2;
  std::chrono::milliseconds grace_{ 6000 };
  /// Port of the backend server of each instance.
  std::vector<std::uint16_t> serverPorts_;
  /// Returns the state of a backend server; nothing while it is down and sends no heartbeats.
  /// Called on a thread of the fleet.
  std::function<std::optional<ServerState>(int aInstance)> serverState_;
};

/// Instances as processes on a stand-in of the platform's store, with heartbeats for the backend
/// servers that a test provides.
class PlatformFleet
{
public:
  explicit PlatformFleet(PlatformFleetSettings aSettings)
    : settings_(std::move(aSettings))
    , instances_(settings_.serverPorts_.size())
  {
    std::filesystem::create_directories(directory_);
    std::promise<void> listening;
    storeThread_ = std::thread([&] {
      standins::PlatformStore store(storeContext_, { Ip(0), kPort });
      store.Put("op/config", settings_.manifest_.dump());
      listening.set_value();
      storeContext_.run();
    });
    listening.get_future().wait();
    for (int i = 0; i < Size(); ++i) {
      Start(i);
    }
    beats_ = std::thread([this] { Beat(); });
    for (int i = 0; i < Size(); ++i) {
      BOOST_REQUIRE(AwaitReady(i));
    }
  }

  ~PlatformFleet()
  {
    stopped_ = true;
    beats_.join();
    for (auto& instance : instances_) {
      instance.reset();
    }
    storeContext_.stop();
    storeThread_.join();
    std::filesystem::remove_all(directory_);
  }

  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  int Size() const { return static_cast<int>(instances_.size()); }

  /// Returns the address at which an instance takes the requests of callers.
  Address Callers(int aInstance) const { return At(aInstance, 1); }

  void Start(int aInstance)
  {
    const std::string name = directory_ + "/" + std::to_string(aInstance);
    std::ofstream(name + ".json") << Settings(aInstance).dump();
    instances_[aInstance] = std::make_unique<bench::Process>(
      REDWINGD_PLATFORM,
      std::vector<std::string>{ "--settings=" + name + ".json", "--fleet-key=0123456789abcdef" },
      name + "-" + std::to_string(++starts_) + ".log");
  }

  bool AwaitReady(int aInstance) const
  {
    using namespace std::chrono_literals;
    const auto limit = std::chrono::steady_clock::now() + 30s;
    while (!bench::Call(At(aInstance, 2), "GET", "/-/readiness").Ok()) {
      if (std::chrono::steady_clock::now() > limit) {
        return false;
      }
      std::this_thread::sleep_for(50ms);
    }
    return true;
  }

  bench::Process& Instance(int aInstance) { return *instances_[aInstance]; }

private:
  static constexpr std::uint16_t kPort = 23600;

  static std::string Ip(int aHost)
  {
    // An address of this process's own, so that several runs may go on at once.
    return "127." + std::to_string(64 + ::getpid() / 250 % 60) + "." +
           std::to_string(::getpid() % 250) + "." + std::to_string(aHost + 1);
  }

  Address At(int aInstance, int aOffset) const
  {
    return { Ip(aInstance + 1), static_cast<std::uint16_t>(kPort + aOffset) };
  }

  std::string ServerAddress(int aInstance) const
  {
    return "127.0.0.1:" + std::to_string(settings_.serverPorts_[aInstance]);
  }

  nlohmann::json Settings(int aInstance) const
  {
    const auto at = [&](int aOffset) { return At(aInstance, aOffset).ToString(); };
    return { { "nodeName", "sidecar-" + std::to_string(aInstance) },
             { "ipAddress", Ip(aInstance + 1) },
             { "zone", "a" },
             { "region", "north" },
             { "zones", { { "a", "north" } } },
             { "listenAddresses",
               { { "outbound", at(1) }, { "ready", at(2) }, { "controlPlane", at(3) } } },
             { "internalPortRange", { kPort + 4, kPort + 5 } },
             { "heartbeatIntervalMs", 300 },
             { "bounds",
               { { "holdMaxMs", 10000 },
                 { "drainTimeoutMs", 2000 },
                 { "evacuationMs", 5000 },
                 { "gracePeriodS", std::chrono::duration<double>(settings_.grace_).count() },
                 { "quotaWindowS", 5 },
                 { "quotaOvershoot", 0.1 },
                 { "quotaSlack", 20 },
                 { "retryBudgetRatio", 0.2 } } },
             { "applicationAddress", ServerAddress(aInstance) },
             { "service", settings_.service_ },
             { "platformConfig", { { "address", Address{ Ip(0), kPort }.ToString() } } } };
  }

  void Beat()
  {
    for (std::uint64_t sequence = 1; !stopped_; ++sequence) {
      for (int i = 0; i < Size(); ++i) {
        const auto state = settings_.serverState_(i);
        if (!state) {
          continue;
        }
        const nlohmann::json beat{ { "service", settings_.service_ },
                                   { "address", ServerAddress(i) },
                                   { "zone", "a" },
                                   { "version", "v1" },
                                   { "slots", settings_.slots_ },
                                   { "state", state->state_ },
                                   { "coldRemainingMs", 0 },
                                   { "born", state->startedAt_ },
                                   { "seq", sequence } };
        bench::Call(At(i, 3), "PUT", "/-/instances/" + state->id_, beat.dump(), {}, 200);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  }

  PlatformFleetSettings settings_;
  std::string directory_ = (std::filesystem::temp_directory_path() /
                            ("redwing-" + settings_.name_ + "-" + std::to_string(::getpid())))
                             .string();
  boost::asio::io_context storeContext_;
  std::thread storeThread_;
  int starts_ = 0;
  std::vector<std::unique_ptr<bench::Process>> instances_;
  std::atomic<bool> stopped_{ false };
  std::thread beats_;
};

} // namespace redwing::test
