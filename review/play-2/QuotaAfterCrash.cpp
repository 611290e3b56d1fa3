// A tenant presses against its limit while the only backend server of a keyed service is down.

#include "Stage.hpp"

#include <algorithm>

using namespace stage;

namespace {

constexpr const char* kKey = "3fexd9dnn2ctnfzs989a";
constexpr double kRatePerS = 30;
constexpr double kBurst = 30;
constexpr double kOvershoot = 0.1;
constexpr double kSlack = 20;
constexpr milliseconds kWindow{ 5000 };
constexpr milliseconds kDown{ 4500 };
/// coldStartS of the service.
constexpr milliseconds kCold{ 3000 };
constexpr milliseconds kTimeBudget{ 1000 };
constexpr int kKeys = 65536;

/// The requests of the tenant that a backend server ran.
struct Runs
{
  struct Run
  {
    std::int64_t sent_ = 0;
    std::int64_t arrived_ = 0;
  };

  void Sent(const std::string& aId, std::int64_t aAt)
  {
    std::lock_guard lock(mutex_);
    sent_[aId] = aAt;
  }

  void Ran(const std::string& aId, std::int64_t aAt)
  {
    std::lock_guard lock(mutex_);
    runs_.push_back({ sent_[aId], aAt });
  }

  /// Returns the largest number of runs that were both sent and arrived within one window, and the
  /// end of that window.
  std::pair<std::size_t, std::int64_t> Most()
  {
    std::lock_guard lock(mutex_);
    std::pair<std::size_t, std::int64_t> most{ 0, 0 };
    for (const Run& last : runs_) {
      const std::int64_t begin = last.arrived_ - kWindow.count();
      const auto count =
        static_cast<std::size_t>(std::count_if(runs_.begin(), runs_.end(), [&](const Run& aRun) {
          return aRun.sent_ > begin && aRun.arrived_ <= last.arrived_;
        }));
      most = std::max(most, { count, last.arrived_ });
    }
    return most;
  }

  std::mutex mutex_;
  std::map<std::string, std::int64_t> sent_;
  std::vector<Run> runs_;
};

int
Play(Record& aRecord)
{
  Json manifest = Manifest(true, kTimeBudget);
  for (Json& route : manifest["routes"]) {
    route["allowAnonymous"] = false;
  }
  manifest["tenants"] = Json::array({ { { "name", "hule930" },
                                        { "apiKeys", { kKey } },
                                        { "priority", 1 },
                                        { "ratePerS", kRatePerS },
                                        { "burstSize", kBurst } } });
  Store store({ Ip(9), 24500 });
  store.Put("op/config", manifest.dump());
  Runs runs;
  auto desk = std::make_unique<Backend>("i-desk-1", "desk", "a", Address{ Ip(0), 24700 }, 9);
  Backend lab("i-lab", "lab", "b", { Ip(1), 24700 }, 9);
  std::atomic<Backend*> present{ desk.get() };
  const auto run = [&](const Request& aRequest, const Backend& aBackend) {
    const std::string id = aRequest.headers_.Get("X-Request-Id");
    runs.Ran(id, aRecord.Now());
    aRecord.Line(id + " runs at " + aBackend.Id());
    std::this_thread::sleep_for(milliseconds(20));
    return Served(aRequest, aBackend);
  };
  const auto serveDesk = [&](const Request& aRequest) -> std::optional<Response> {
    const std::string key = aRequest.headers_.Get("X-Shard-Key");
    if (key.empty() || !present.load()->Holds(std::stoi(key))) {
      return Response{ 421,
                       { { "X-Request-Id", aRequest.headers_.Get("X-Request-Id") },
                         { "X-Not-Executed", "1" } },
                       {} };
    }
    return run(aRequest, *present.load());
  };
  auto deskServer = std::make_unique<HttpServer>(desk->At(), serveDesk);
  HttpServer labServer(lab.At(), [&](const Request& aRequest) -> std::optional<Response> {
    return run(aRequest, lab);
  });
  Instance first(0, SettingsOf(0, "a", "desk", desk->At(), store.At()), TemporaryFolder());
  Instance second(1, SettingsOf(1, "b", "lab", lab.At(), store.At()), TemporaryFolder());
  first.Start();
  second.Start();
  auto deskBeats = std::make_unique<Beats>(*desk, first.Heartbeats(), true);
  Beats labBeats(lab, second.Heartbeats(), false);
  if (!first.AwaitReady(milliseconds(10000)) || !second.AwaitReady(milliseconds(10000))) {
    aRecord.Line("an instance did not get ready");
    return 2;
  }
  std::this_thread::sleep_for(std::chrono::seconds(8));
  // About 45 requests a second for lab and 135 for desk, six times the limit.
  constexpr int kRequesters = 60;
  constexpr milliseconds kPeriod{ 333 };
  std::atomic<bool> stopped{ false };
  std::atomic<int> limited{ 0 };
  std::vector<std::thread> requesters;
  for (int i = 0; i < kRequesters; ++i) {
    requesters.emplace_back([&, i] {
      const Address to = i % 2 == 0 ? first.Callers() : second.Callers();
      const bool toLab = i % 8 < 2;
      auto next = SteadyClock::now() + kPeriod * i / kRequesters;
      for (int number = 1; !stopped; ++number) {
        std::this_thread::sleep_until(next);
        next += kPeriod;
        const std::string id = "q" + std::to_string(i) + "-" + std::to_string(number);
        Request request = SafeRequest(id, toLab ? "/lab/1" : "/desk/1", kTimeBudget);
        request.headers_.emplace_back("X-Key", kKey);
        if (!toLab) {
          request.headers_.emplace_back("X-Shard-Key",
                                        std::to_string((i * 7919 + number * 104729) % kKeys));
        }
        runs.Sent(id, aRecord.Now());
        const Response response = Ask(to, request, kTimeBudget, aRecord);
        limited += response.status_ == 429 ? 1 : 0;
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::seconds(12));
  if (!Calm()) {
    aRecord.Line("i-desk-1 crashes");
    deskBeats.reset();
    deskServer.reset();
    std::this_thread::sleep_for(kDown);
    auto next = std::make_unique<Backend>("i-desk-2", "desk", "a", Address{ Ip(0), 24700 }, 9);
    next->SetCold(kCold);
    present = next.get();
    desk = std::move(next);
    deskServer = std::make_unique<HttpServer>(desk->At(), serveDesk);
    deskBeats = std::make_unique<Beats>(*desk, first.Heartbeats(), true);
    aRecord.Line("i-desk-2 starts in its place");
  } else {
    std::this_thread::sleep_for(kDown);
  }
  std::this_thread::sleep_for(std::chrono::seconds(10));
  stopped = true;
  for (auto& requester : requesters) {
    requester.join();
  }
  const double limit =
    (kRatePerS * static_cast<double>(kWindow.count()) / 1000 + kBurst) * (1 + kOvershoot) + kSlack;
  const auto [most, end] = runs.Most();
  aRecord.Line("runs " + std::to_string(runs.runs_.size()) + ", answers 429 " +
               std::to_string(limited));
  aRecord.Line("most runs in a window of 5 s: " + std::to_string(most) +
               ", in the one that ends at " + std::to_string(end) + "; allowed " +
               std::to_string(limit));
  if (limited == 0) {
    aRecord.Line("the tenant did not reach its limit");
    return 2;
  }
  return static_cast<double>(most) > limit ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Play);
}
