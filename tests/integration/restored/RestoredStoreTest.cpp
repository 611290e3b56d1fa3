#include "bench/Process.hpp"
#include "platform/PlatformStore.hpp"

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
#include <thread>
#include <unistd.h>

using boost::asio::ip::tcp;
using redwing::bench::Process;
using redwing::standins::PlatformStore;
using redwing::standins::StoreTrouble;
using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Instances on a store that comes back from older copies. There are no backend servers: an
/// instance answers a route that its configuration has with 503, and any other with 404.
namespace {

constexpr int kInstances = 3;
/// Bounds of the users' settings: a configuration is in force after the first, counted where the
/// store has been without disturbance for the second.
constexpr milliseconds kConfigurationBound{ 2000 };
constexpr milliseconds kContactTime{ 3000 };
constexpr milliseconds kOutage{ 500 };

/// Repeats aCondition until it holds; returns false after aLimit.
template<typename Condition>
bool
Await(milliseconds aLimit, Condition&& aCondition)
{
  const auto limit = steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

/// Returns the configuration of a version: its routes are /0/ to /VERSION/.
std::string
Manifest(int aVersion)
{
  Json routes = Json::array();
  for (int i = 0; i <= aVersion; ++i) {
    routes.push_back({ { "name", "r" + std::to_string(i) },
                       { "host", "desk.example" },
                       { "pathPrefix", "/" + std::to_string(i) + "/" },
                       { "kind", "safe" },
                       { "timeoutMs", 300 },
                       { "targetLatencyMs", 100 },
                       { "priority", 1 },
                       { "service", "desk" },
                       { "maxAttempts", 1 },
                       { "allowAnonymous", true } });
  }
  const Json services = Json::array(
    { { { "name", "desk" }, { "healthCheckPath", "/health" }, { "maxConnections", 8 } } });
  return Json{
    { "version", "r" + std::to_string(aVersion) },
    { "routes", std::move(routes) },
    { "services", services },
    { "limits", { { "maxHeaderBytes", 16384 } } }
  }.dump();
}

struct Fleet
{
  Fleet()
  {
    std::filesystem::create_directories(directory_);
    Configure(1);
    thread_ = std::thread([this] { context_.run(); });
    for (int i = 1; i <= kInstances; ++i) {
      const std::string settings = directory_ + "/" + std::to_string(i) + ".json";
      std::ofstream(settings) << Settings(i);
      instances_.push_back(std::make_unique<Process>(
        REDWINGD_PLATFORM,
        std::vector<std::string>{ "--settings=" + settings, "--fleet-key=0123456789abcdef" },
        directory_ + "/" + std::to_string(i) + ".log"));
    }
    BOOST_REQUIRE(Await(std::chrono::seconds(30), [&] { return AllServe(1); }));
  }

  ~Fleet()
  {
    for (const auto& instance : instances_) {
      instance->Signal(SIGTERM);
    }
    for (const auto& instance : instances_) {
      BOOST_TEST(instance->Wait(20000) == 0);
    }
    work_.reset();
    context_.stop();
    thread_.join();
    std::filesystem::remove_all(directory_);
  }

  std::string Ip(int aHost) const { return network_ + std::to_string(aHost); }

  std::string Settings(int aInstance) const
  {
    const std::string ip = Ip(aInstance);
    return Json{
      { "nodeName", "side-" + std::to_string(aInstance) },
      { "ipAddress", ip },
      { "zone", "a" },
      { "region", "north" },
      { "zones", { { "a", "north" }, { "b", "north" } } },
      { "listenAddresses",
        { { "outbound", ip + ":21001" },
          { "ready", ip + ":21002" },
          { "controlPlane", ip + ":21003" } } },
      { "internalPortRange", { 21010, 21011 } },
      { "heartbeatIntervalMs", 1000 },
      { "bounds",
        { { "holdMaxMs", 10000 },
          { "drainTimeoutMs", 2000 },
          { "evacuationMs", 5000 },
          { "gracePeriodS", 6 },
          { "quotaWindowS", 5 },
          { "quotaOvershoot", 0.1 },
          { "quotaSlack", 20 },
          { "retryBudgetRatio", 0.2 } } },
      { "applicationAddress", ip + ":21020" },
      { "service", "desk" },
      { "platformConfig", { { "address", Ip(kStoreHost) + ":21000" } } }
    }.dump();
  }

  /// Runs aTask on the store's thread; at once while that does not run yet.
  void OnStore(const std::function<void()>& aTask)
  {
    if (!thread_.joinable()) {
      aTask();
      return;
    }
    std::promise<void> done;
    boost::asio::post(context_, [&] {
      aTask();
      done.set_value();
    });
    done.get_future().wait();
  }

  void Configure(int aVersion)
  {
    OnStore([&] { store_.Put("op/config", Manifest(aVersion)); });
  }

  /// Takes the store away for a moment; it comes back from its last copy.
  void Restore()
  {
    OnStore([&] { store_.SetTrouble(StoreTrouble::Reset); });
    std::this_thread::sleep_for(kOutage);
    OnStore([&] {
      store_.Restore();
      store_.SetTrouble(StoreTrouble::None);
    });
  }

  /// Returns the first line of the answer of an instance to a request of a route.
  std::string Ask(int aInstance, int aRoute) const
  {
    boost::asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect({ boost::asio::ip::make_address(Ip(aInstance)), 21001 }, error);
    if (error) {
      return {};
    }
    const std::string request = "GET /" + std::to_string(aRoute) +
                                "/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: 1\r\n"
                                "Connection: close\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request), error);
    std::string answer;
    boost::asio::async_read_until(socket,
                                  boost::asio::dynamic_buffer(answer),
                                  "\r\n",
                                  [](boost::system::error_code, std::size_t) {});
    io.run_for(std::chrono::seconds(2));
    return answer.substr(0, answer.find("\r\n"));
  }

  /// Returns whether all instances have the configuration of a version or a later one.
  bool AllServe(int aVersion) const
  {
    for (int i = 1; i <= kInstances; ++i) {
      if (!Ask(i, aVersion).starts_with("HTTP/1.1 503")) {
        return false;
      }
    }
    return true;
  }

  static constexpr int kStoreHost = 100;
  // Runs of several worktrees at once must not share addresses.
  std::string network_ =
    "127." + std::to_string(1 + getpid() / 256 % 250) + "." + std::to_string(getpid() % 256) + ".";
  std::string directory_ =
    (std::filesystem::temp_directory_path() / ("redwing-restored-" + std::to_string(getpid())))
      .string();
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
    context_.get_executor()
  };
  PlatformStore store_{ context_, { Ip(kStoreHost), 21000 } };
  std::thread thread_;
  std::vector<std::unique_ptr<Process>> instances_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RestoredStore, Fleet)

// Guards against instances that take the state of a restored store for an older one, or go back to
// the configuration of the copy.
BOOST_AUTO_TEST_CASE(ConfigurationsStoredAfterARestoreAreInForceInTime)
{
  int version = 1;
  for (int round = 0; round < 2; ++round) {
    OnStore([&] { store_.Copy(); });
    // More changes than the restored store has before the next configuration is due.
    for (int i = 0; i < 40; ++i) {
      Configure(++version);
    }
    BOOST_REQUIRE(Await(std::chrono::seconds(30), [&] { return AllServe(version); }));
    Restore();
    const auto calm = steady_clock::now() + kContactTime;
    while (steady_clock::now() < calm) {
      BOOST_REQUIRE(AllServe(version));
    }
    Configure(++version);
    BOOST_TEST(Await(kConfigurationBound, [&] { return AllServe(version); }));
  }
}

BOOST_AUTO_TEST_SUITE_END()
