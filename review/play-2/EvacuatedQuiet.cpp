// A data centre is evacuated while no requests arrive for its servers.

#include "Stage.hpp"

using namespace stage;

namespace {

constexpr milliseconds kEvacuationBound{ 5000 };
/// Time without requests after the evacuation.
constexpr milliseconds kQuiet{ 6000 };
constexpr int kKeys = 65536;

struct Server
{
  Server(int aHost, const std::string& aService, bool aKeyed, Store& aStore, Record& aRecord)
    : backend_("i-" + std::to_string(aHost),
               aService,
               aHost == 0 ? "a" : "b",
               Address{ Ip(aHost), 24700 },
               9)
    , keyed_(aKeyed)
    , http_(backend_.At(),
            [this, &aRecord](const Request& aRequest) { return Serve(aRequest, aRecord); })
    , instance_(aHost,
                SettingsOf(aHost, aHost == 0 ? "a" : "b", aService, http_.At(), aStore.At()),
                TemporaryFolder())
  {
  }

  std::optional<Response> Serve(const Request& aRequest, Record& aRecord)
  {
    const std::string id = aRequest.headers_.Get("X-Request-Id");
    const std::string key = aRequest.headers_.Get("X-Shard-Key");
    if (keyed_ && (key.empty() || !backend_.Holds(std::stoi(key)))) {
      return Response{
        421,
        { { "X-Request-Id", id }, { "X-Not-Executed", "1" }, { "X-Instance-Id", backend_.Id() } },
        {}
      };
    }
    lastRun_ = aRecord.Now();
    if (lastRun_ > forbiddenFrom_) {
      ++forbidden_;
    }
    aRecord.Line("runs " + id + " at " + backend_.Id() +
                 (lastRun_ > forbiddenFrom_ ? "  IN THE EVACUATED ZONE" : ""));
    return Served(aRequest, backend_);
  }

  Backend backend_;
  bool keyed_;
  /// Time of the record from which no request may reach this server.
  std::atomic<std::int64_t> forbiddenFrom_{ INT64_MAX };
  std::atomic<std::int64_t> lastRun_{ 0 };
  std::atomic<int> forbidden_{ 0 };
  HttpServer http_;
  Instance instance_;
};

int
Play(Record& aRecord)
{
  Store store({ Ip(9), 24500 });
  store.Put("op/config", Manifest(true, milliseconds(1000)).dump());
  Server desk(0, "desk", true, store, aRecord);
  Server lab(1, "lab", false, store, aRecord);
  desk.instance_.Start();
  lab.instance_.Start();
  Beats deskBeats(desk.backend_, desk.instance_.Heartbeats(), true);
  Beats labBeats(lab.backend_, lab.instance_.Heartbeats(), false);
  if (!desk.instance_.AwaitReady(milliseconds(10000)) ||
      !lab.instance_.AwaitReady(milliseconds(10000))) {
    aRecord.Line("an instance did not get ready");
    return 2;
  }
  int number = 0;
  int served = 0;
  // Sends one request after the other for aTime.
  const auto send = [&](milliseconds aTime) {
    const std::int64_t end = aRecord.Now() + aTime.count();
    while (aRecord.Now() < end) {
      ++number;
      Request request = SafeRequest("q" + std::to_string(number), "/desk/1", milliseconds(1000));
      request.headers_.emplace_back("X-Shard-Key", std::to_string(number * 7919 % kKeys));
      const Response response = Ask(lab.instance_.Callers(), request, milliseconds(2000), aRecord);
      served += response.status_ == 200 ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(50));
    }
  };
  // Traffic for a while, so that all machines are in touch.
  send(std::chrono::seconds(10));
  if (served < 50) {
    aRecord.Line("only " + std::to_string(served) + " requests were served");
    return 2;
  }
  store.Put("op/evacuate/a", "{}");
  const std::int64_t evacuated = aRecord.Now();
  aRecord.Line("op/evacuate/a is acknowledged by the store");
  desk.forbiddenFrom_ = evacuated + kEvacuationBound.count();
  if (Calm()) {
    send(kQuiet);
  } else {
    std::this_thread::sleep_for(kQuiet);
  }
  send(std::chrono::seconds(8));
  aRecord.Line("evacuated at " + std::to_string(evacuated) + ", last run in the zone at " +
               std::to_string(desk.lastRun_) +
               ", runs that the rule forbids: " + std::to_string(desk.forbidden_));
  return desk.forbidden_ > 0 ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Play);
}
