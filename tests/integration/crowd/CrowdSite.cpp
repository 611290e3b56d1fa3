#include "tests/integration/crowd/CrowdSite.hpp"

#include "tests/integration/crowd/ProcessUse.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace redwing::test {

using Json = nlohmann::json;

namespace {

Json
Manifest(const Machine& aMachine)
{
  Json routes = Json::array();
  for (const char* name : { "small", "store", "large", "kept", "slow", "stuck" }) {
    const bool large = name == std::string("large");
    routes.push_back({ { "name", name },
                       { "host", "desk.example" },
                       { "pathPrefix", std::string("/") + name + "/" },
                       { "kind", large ? "download" : "upload" },
                       { "timeoutMs", 20000 },
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
        { { { "name", "desk" }, { "healthCheckPath", "/health" }, { "maxConnections", 200 } } }) },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", aMachine.maxBodyBytes_ },
        { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } } }
  };
}

} // namespace

CrowdSite::CrowdSite(SiteSettings aSettings)
  : settings_(std::move(aSettings))
{
  PlatformFleetSettings settings;
  settings.name_ = "crowd";
  settings.program_ = settings_.program_;
  settings.manifest_ = Manifest(settings_.machine_);
  settings.service_ = "desk";
  settings.slots_ = 100;
  if (settings_.statesLimits_) {
    settings.limits_ = { { "memoryMb", settings_.machine_.memoryMb_ },
                         { "fileDescriptors", settings_.machine_.descriptors_ } };
  }
  // Nothing listens beside an instance that only forwards, and no heartbeats reach it.
  settings.serverPorts_.assign(settings_.fronts_, 0);
  settings.serverPorts_.push_back(server_.Port());
  settings.serverState_ = [fronts = settings_.fronts_](int aInstance) {
    return aInstance < fronts ? std::nullopt : std::optional(ServerState{ "i-0" });
  };
  fleet_.emplace(std::move(settings));
  for (int i = 0; i < fleet_->Size(); ++i) {
    processes_.push_back({ &fleet_->Instance(i), fleet_->Callers(i).ip_ });
  }
  BOOST_REQUIRE(OrdinaryRequestIsAnswered());
}

bench::CallResult
CrowdSite::Post(const std::string& aPath, const std::string& aBody, int aLimitMs) const
{
  return bench::Call(fleet_->Callers(0),
                     "POST",
                     aPath,
                     aBody,
                     { { "Host", "desk.example" }, { "X-Deadline-Ms", "20000" } },
                     aLimitMs);
}

bool
CrowdSite::Ran(const std::string& aRequestId) const
{
  return server_.Ran(aRequestId);
}

unsigned
CrowdSite::Send(const std::string& aText) const
{
  using boost::asio::ip::tcp;
  const Address address = fleet_->Callers(0);
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect({ boost::asio::ip::make_address(address.ip_), address.port_ });
  boost::asio::async_write(
    socket, boost::asio::buffer(aText), [](boost::system::error_code, std::size_t) {});
  boost::beast::flat_buffer buffer;
  boost::beast::http::response<boost::beast::http::string_body> response;
  boost::beast::http::async_read(
    socket, buffer, response, [&](boost::system::error_code aError, std::size_t) {
      if (aError) {
        response.result(0U);
      }
      context.stop();
    });
  response.result(0U);
  context.run_for(std::chrono::seconds(30));
  return response.result_int();
}

bool
CrowdSite::OrdinaryRequestIsAnswered() const
{
  return RepeatUntilAnswered([this] { return Post("/small/a", "hello", 2000).Ok(); });
}

std::size_t
CrowdSite::PeakMemory() const
{
  std::size_t peak = 0;
  for (int i = 0; i < fleet_->Size(); ++i) {
    peak = std::max(peak, test::PeakMemory(fleet_->Instance(i).Id()));
  }
  return peak;
}

std::vector<Address>
CrowdSite::CallersOf() const
{
  std::vector<Address> addresses;
  for (int i = 0; i < std::max(settings_.fronts_, 1); ++i) {
    addresses.push_back(fleet_->Callers(i));
  }
  return addresses;
}

void
CrowdSite::Signal(int aInstance, int aSignal)
{
  fleet_->Instance(aInstance).Signal(aSignal);
}

void
CrowdSite::Restart(int aInstance, int aSignal)
{
  constexpr int kLongestStopMs = 20'000;
  // Otherwise the restart would hide a process that ended by itself.
  BOOST_TEST(fleet_->Instance(aInstance).Running());
  Signal(aInstance, aSignal);
  BOOST_TEST(fleet_->Instance(aInstance).Wait(kLongestStopMs) != -1);
  fleet_->Start(aInstance);
  processes_[aInstance].process_ = &fleet_->Instance(aInstance);
}

void
CrowdSite::Withstand(std::size_t aCallers,
                     const CallerPlan& aPlan,
                     std::chrono::seconds aTime) const
{
  HoldCrowd(processes_, settings_.machine_, CallersOf(), aCallers, aPlan, aTime, [this] {
    return OrdinaryRequestIsAnswered();
  });
}

} // namespace redwing::test
