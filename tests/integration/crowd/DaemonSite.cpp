#include "tests/integration/crowd/DaemonSite.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace redwing::test {

using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr int kCallersPort = 21001;
constexpr int kPeersPort = 21002;
constexpr int kLocalPort = 21003;
constexpr int kStorePort = 21005;
constexpr int kStoreControlPort = 21006;
constexpr const char* kToken = "crowd-operator-token";

Json
Configuration()
{
  constexpr double kUnlimited = 1e6;
  return { { "version", 1 },
           { "workspaces",
             Json::array(
               { { { "id", "public" }, { "rate", kUnlimited }, { "burst", kUnlimited } } }) },
           { "services",
             Json::array({ { { "id", "desk" },
                             { "mode", "pooled" },
                             { "coldStart", { { "initial", 100 }, { "rampMs", 1 } } } } }) },
           { "routes",
             Json::array({ { { "id", "all" },
                             { "pathPrefix", "/" },
                             { "service", "desk" },
                             { "open", true },
                             { "openWorkspace", "public" },
                             { "timeoutMs", 20000 } } }) },
           { "dataCentres", Json::array({ { { "id", "braga" }, { "region", "pt-norte" } } }) } };
}

} // namespace

DaemonSite::DaemonSite(Machine aMachine,
                       const std::string& aProgram,
                       const std::vector<std::string>& aArguments)
  : machine_(aMachine)
  , directory_(
      (std::filesystem::temp_directory_path() / ("redwing-daemons-" + std::to_string(::getpid())))
        .string())
{
  std::filesystem::create_directories(directory_);
  store_ = std::make_unique<bench::Process>(
    STORE_STANDIN,
    std::vector<std::string>{ "--address=" + Address{ Ip(0), kStorePort }.ToString(),
                              "--control-address=" +
                                Address{ Ip(0), kStoreControlPort }.ToString() },
    directory_ + "/store.log");
  // One after the other: two that join an empty store at the same moment may never hear of each
  // other (integration.isolated-instance).
  for (int i = 0; i < kInstances; ++i) {
    instances_.push_back(StartInstance(i, aProgram, aArguments));
    BOOST_REQUIRE(RepeatUntilAnswered([this] { return Configure(); }));
  }
  announcer_ = std::jthread([this](const std::stop_token& aStop) { Announce(aStop); });
  BOOST_REQUIRE(OrdinaryRequestIsAnswered());
}

DaemonSite::~DaemonSite()
{
  announcer_.request_stop();
  announcer_.join();
  for (const auto& instance : instances_) {
    instance->Signal(SIGTERM);
  }
  instances_.clear();
  store_.reset();
  std::filesystem::remove_all(directory_);
}

std::string
DaemonSite::Ip(int aHost) const
{
  // An address of this process's own, so that several runs may go on at once.
  return "127." + std::to_string(128 + ::getpid() / 250 % 60) + "." +
         std::to_string(::getpid() % 250) + "." + std::to_string(aHost + 1);
}

Address
DaemonSite::At(int aInstance, int aPort) const
{
  return { Ip(aInstance + 1), static_cast<std::uint16_t>(aPort) };
}

std::unique_ptr<bench::Process>
DaemonSite::StartInstance(int aInstance,
                          const std::string& aProgram,
                          const std::vector<std::string>& aArguments) const
{
  const std::string name = "i" + std::to_string(aInstance);
  std::vector<std::string> arguments{ "--instance-id=" + name,
                                      "--data-centre=braga",
                                      "--region=pt-norte",
                                      "--callers-address=" + At(aInstance, kCallersPort).ToString(),
                                      "--peers-address=" + At(aInstance, kPeersPort).ToString(),
                                      "--local-address=" + At(aInstance, kLocalPort).ToString(),
                                      "--store-address=" + Address{ Ip(0), kStorePort }.ToString(),
                                      "--fleet-key=0123456789abcdef",
                                      std::string("--operator-token=") + kToken };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  return std::make_unique<bench::Process>(
    aProgram, std::move(arguments), directory_ + "/" + name + ".log");
}

bool
DaemonSite::Configure() const
{
  return bench::Call(At(0, kLocalPort),
                     "PUT",
                     "/v1/configuration?operation=first",
                     Configuration().dump(),
                     { { "Authorization", std::string("Bearer ") + kToken } })
    .Ok();
}

unsigned
DaemonSite::Post(std::size_t aBytes, int aLimitMs) const
{
  return bench::Call(
           At(0, kCallersPort), "POST", "/store/a", std::string(aBytes, 'x'), {}, aLimitMs)
    .status_;
}

bool
DaemonSite::OrdinaryRequestIsAnswered() const
{
  return RepeatUntilAnswered([this] {
    return bench::Call(At(0, kCallersPort), "POST", "/small/a", "hello", {}, 2000).Ok();
  });
}

void
DaemonSite::Announce(const std::stop_token& aStop) const
{
  const Json body{ { "service", "desk" },
                   { "address", Address{ "127.0.0.1", server_.Port() }.ToString() },
                   { "slots", 100 },
                   { "connections", 200 } };
  while (!aStop.stop_requested()) {
    bench::Call(At(kInstances - 1, kLocalPort), "POST", "/v1/announce", body.dump(), {}, 500);
    std::this_thread::sleep_for(500ms);
  }
}

void
DaemonSite::Withstand(std::size_t aCallers, const CallerPlan& aPlan) const
{
  std::vector<WatchedProcess> processes;
  for (int i = 0; i < kInstances; ++i) {
    processes.push_back({ instances_[i].get(), At(i, kCallersPort).ip_ });
  }
  HoldCrowd(processes, machine_, { At(0, kCallersPort) }, aCallers, aPlan, kCrowdTime, [this] {
    return OrdinaryRequestIsAnswered();
  });
}

} // namespace redwing::test
