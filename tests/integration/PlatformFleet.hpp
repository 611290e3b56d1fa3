#pragma once

#include "bench/HttpCall.hpp"
#include "bench/Process.hpp"
#include "standins/platform/PlatformStore.hpp"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
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
  std::string version_ = "v1";
  std::chrono::milliseconds coldFor_{ 0 };
};

struct PlatformFleetSettings
{
  std::string name_;
  nlohmann::json manifest_;
  std::string service_;
  /// Returns the service of an instance's server; service_ for all if empty.
  std::function<std::string(int aInstance)> serviceOf_{};
  /// Longest lease that the store grants.
  std::chrono::milliseconds leaseLimit_ = std::chrono::milliseconds::max();
  /// Program that the instances run.
  std::string program_ = REDWINGD_PLATFORM;
  int slots_ = 2;
  std::chrono::milliseconds grace_{ 6000 };
  /// Limits of the machine in the settings of each instance; none if null.
  nlohmann::json limits_{};
  /// Port of the backend server of each instance; 0 for one at an address of its own.
  std::vector<std::uint16_t> serverPorts_;
  /// Returns the state of a backend server; nothing while it is down and sends no heartbeats.
  /// Called on a thread of the fleet. Empty if the servers of the test send their own heartbeats.
  std::function<std::optional<ServerState>(int aInstance)> serverState_;
  /// Rolls out versions of services by order; the bounds are below.
  bool rollouts_ = false;
  double exposureShare_ = 0.1;
  double exposureSlack_ = 50;
  std::chrono::milliseconds rollbackTime_{ 5000 };
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
      store_ = std::make_unique<standins::PlatformStore>(storeContext_, Address{ Ip(0), kPort });
      store_->SetLeaseLimit(settings_.leaseLimit_);
      store_->Put("op/config", settings_.manifest_.dump());
      listening.set_value();
      const auto work = boost::asio::make_work_guard(storeContext_);
      storeContext_.run();
      store_.reset();
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
    for (const auto& instance : instances_) {
      if (instance->Running()) {
        instance->Signal(SIGTERM);
      }
    }
    instances_.clear();
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
      settings_.program_,
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

  /// Returns the address at which an instance takes the heartbeats of its server.
  Address Heartbeats(int aInstance) const { return At(aInstance, 3); }

  /// Returns the address at which an instance tells operators of its state.
  Address Metrics(int aInstance) const { return At(aInstance, 5); }

  /// Returns the address of the backend server of an instance.
  Address ServerAt(int aInstance) const
  {
    const std::uint16_t port = settings_.serverPorts_[aInstance];
    return port == 0 ? At(aInstance, 6) : Address{ "127.0.0.1", port };
  }

  /// Runs aTask on the thread of the store and of the context below, and waits for its end.
  void OnStore(const std::function<void(standins::PlatformStore&)>& aTask)
  {
    std::promise<void> done;
    boost::asio::post(storeContext_, [&] {
      aTask(*store_);
      done.set_value();
    });
    done.get_future().wait();
  }

  /// Copies the logs of the instances into aFolder.
  void KeepLogs(const std::string& aFolder) const
  {
    std::filesystem::create_directories(aFolder);
    std::filesystem::copy(directory_,
                          aFolder,
                          std::filesystem::copy_options::overwrite_existing |
                            std::filesystem::copy_options::recursive);
  }

  boost::asio::io_context& Context() { return storeContext_; }

  bench::Process& Instance(int aInstance) { return *instances_[aInstance]; }
  const bench::Process& Instance(int aInstance) const { return *instances_[aInstance]; }

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

  std::string ServiceOf(int aInstance) const
  {
    return settings_.serviceOf_ ? settings_.serviceOf_(aInstance) : settings_.service_;
  }

  nlohmann::json Settings(int aInstance) const
  {
    const auto at = [&](int aOffset) { return At(aInstance, aOffset).ToString(); };
    nlohmann::json settings{
      { "nodeName", "sidecar-" + std::to_string(aInstance) },
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
      { "applicationAddress", ServerAt(aInstance).ToString() },
      { "service", ServiceOf(aInstance) },
      { "platformConfig", { { "address", Address{ Ip(0), kPort }.ToString() } } }
    };
    if (settings_.rollouts_) {
      settings["contracts"] = { "quota", "rollout" };
      settings["bounds"].update({ { "exposureShare", settings_.exposureShare_ },
                                  { "exposureSlack", settings_.exposureSlack_ },
                                  { "rollbackMs", settings_.rollbackTime_.count() } });
    }
    if (!settings_.limits_.is_null()) {
      settings["limits"] = settings_.limits_;
    }
    return settings;
  }

  void Beat()
  {
    for (std::uint64_t sequence = 1; settings_.serverState_ && !stopped_; ++sequence) {
      for (int i = 0; i < Size(); ++i) {
        const auto state = settings_.serverState_(i);
        if (!state) {
          continue;
        }
        const nlohmann::json beat{ { "service", ServiceOf(i) },
                                   { "address", ServerAt(i).ToString() },
                                   { "zone", "a" },
                                   { "version", state->version_ },
                                   { "slots", settings_.slots_ },
                                   { "state", state->state_ },
                                   { "coldRemainingMs", state->coldFor_.count() },
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
  /// Used on storeThread_ only.
  std::unique_ptr<standins::PlatformStore> store_;
  std::thread storeThread_;
  int starts_ = 0;
  std::vector<std::unique_ptr<bench::Process>> instances_;
  std::atomic<bool> stopped_{ false };
  std::thread beats_;
};

} // namespace redwing::test
