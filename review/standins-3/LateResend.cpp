// A backend drains while it runs requests, and loses the answers of some of them after
// drainTimeoutMs.

#include "PlainServer.hpp"

namespace {

using namespace review;

constexpr milliseconds kDrainTimeout{ 2000 };
constexpr int kRequests = 10;
/// Each of so many answers is lost: two of five.
constexpr int kLostOfFive = 2;
constexpr milliseconds kWork{ 2600 };

} // namespace

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  DeploymentSettings settings;
  settings.name_ = "late-resend";
  settings.manifest_ = ServiceManifest("files", false);
  const Json other = ServiceManifest("notes", false);
  settings.manifest_["services"].push_back(other["services"][0]);
  std::mutex mutex;
  std::vector<std::pair<std::string, Clock::time_point>> arrivals;
  int longOnes = 0;
  Deployment deployment(settings);
  deployment.Start(0, "notes");
  deployment.Start(1, "files");
  const auto after = [&](milliseconds aTime, std::function<void()> aTask) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(deployment.Io(), aTime);
    timer->async_wait([timer, task = std::move(aTask)](const auto&) { task(); });
  };
  PlainServerSettings plain;
  plain.id_ = "i-1";
  plain.service_ = "files";
  plain.address_ = Deployment::Application(1);
  plain.heartbeats_ = Deployment::ControlPlane(1);
  plain.handle_ = [&](const redwing::standins::HttpExchangePtr& aExchange) {
    const std::string id(aExchange->Request().Header("X-Request-Id"));
    const bool isLong = aExchange->Request().path_ == "/look/long";
    bool loses = false;
    {
      std::lock_guard lock(mutex);
      arrivals.emplace_back(id, Clock::now());
      loses = isLong && Troubled() && longOnes++ % 5 < kLostOfFive;
    }
    record.Add("backend runs request " + id);
    after(isLong ? kWork : 200ms, [&, aExchange, id, loses] {
      record.Add("backend " + std::string(loses ? "loses the answer to " : "answers ") + id);
      if (loses) {
        aExchange->Close();
        return;
      }
      redwing::standins::HttpResponse response;
      response.body_ = "whole";
      response.headers_ = { { "X-Request-Id", id }, { "X-Server-Signature", "i-1.1" } };
      aExchange->Respond(std::move(response));
    });
  };
  PlainServer server(deployment.Io(), std::move(plain));
  const auto ask = [&](const std::string& aId, const std::string& aPath) {
    return Call(
      Deployment::Outbound(0),
      "GET",
      aPath,
      {},
      { { "Host", "desk.example" }, { "X-Request-Id", aId }, { "X-Deadline-Ms", "3000" } },
      3200ms);
  };
  const auto askMany = [&](const std::string& aName, const std::string& aPath) {
    std::vector<std::thread> requesters;
    for (int i = 0; i < kRequests; ++i) {
      requesters.emplace_back([&, i] {
        const std::string id = aName + "-" + std::to_string(i);
        const Answer answer = ask(id, aPath);
        record.Add("requester gets " + std::to_string(answer.status_) + " for " + id);
      });
    }
    return requesters;
  };
  const auto start = Clock::now();
  while (!ask("ready", "/look/short").Ok()) {
    if (Since(start) > 20000ms) {
      record.Add("the service does not answer", true);
      return kCouldNotRun;
    }
    std::this_thread::sleep_for(100ms);
  }
  std::this_thread::sleep_for(4000ms);
  // Opens the connections that later requests use again.
  for (std::thread& requester : askMany("short", "/look/short")) {
    requester.join();
  }
  auto requesters = askMany("long", "/look/long");
  std::this_thread::sleep_for(50ms);
  const auto acknowledged = server.Drain(1500ms);
  for (std::thread& requester : requesters) {
    requester.join();
  }
  if (!acknowledged) {
    record.Add("the draining was not acknowledged", true);
    return kCouldNotRun;
  }
  int late = 0;
  std::lock_guard lock(mutex);
  for (const auto& [id, at] : arrivals) {
    const auto since = std::chrono::duration_cast<milliseconds>(at - *acknowledged);
    if (since > kDrainTimeout) {
      ++late;
      record.Add("request " + id + " reached the backend " + std::to_string(since.count()) +
                   " ms after its draining was acknowledged",
                 true);
    }
  }
  record.Add(std::to_string(late) + " requests came late; DRAIN " +
               (late > 0 ? "is broken" : "holds"),
             true);
  return late > 0 ? kBroken : 0;
}
