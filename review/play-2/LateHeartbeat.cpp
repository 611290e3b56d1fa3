// A backend server says goodbye to an instance that has just been started again, and a heartbeat
// that it sent before arrives late.

#include "Stage.hpp"

#include <csignal>

using namespace stage;

namespace {

constexpr milliseconds kDrainTimeout{ 2000 };
constexpr milliseconds kContactTimeout{ 3000 };
/// Time that the heartbeat is on its way.
constexpr milliseconds kOnItsWay{ 2000 };

int
Play(Record& aRecord)
{
  Store store({ Ip(9), 24500 });
  store.Put("op/config", Manifest(false, milliseconds(1000)).dump());
  Backend lab("i-lab", "lab", "a", { Ip(0), 24700 }, 9);
  Backend desk("i-desk", "desk", "b", { Ip(1), 24700 }, 9);
  std::atomic<std::int64_t> forbiddenFrom{ INT64_MAX };
  std::atomic<int> forbidden{ 0 };
  HttpServer labServer(lab.At(), [&](const Request& aRequest) -> std::optional<Response> {
    const bool late = aRecord.Now() > forbiddenFrom;
    aRecord.Line(aRequest.headers_.Get("X-Request-Id") + " reaches i-lab" +
                 (late ? "  AFTER IT LEFT" : ""));
    forbidden += late ? 1 : 0;
    return Served(aRequest, lab);
  });
  HttpServer deskServer(desk.At(), [&](const Request& aRequest) -> std::optional<Response> {
    return Served(aRequest, desk);
  });
  Instance besideLab(0, SettingsOf(0, "a", "lab", lab.At(), store.At()), TemporaryFolder());
  Instance ingress(1, SettingsOf(1, "b", "desk", desk.At(), store.At()), TemporaryFolder());
  besideLab.Start();
  ingress.Start();
  std::optional<Beats> labBeats(std::in_place, lab, besideLab.Heartbeats(), false);
  Beats deskBeats(desk, ingress.Heartbeats(), false);
  if (!besideLab.AwaitReady(milliseconds(10000)) || !ingress.AwaitReady(milliseconds(10000))) {
    aRecord.Line("an instance did not get ready");
    return 2;
  }
  Poller requester(
    ingress.Callers(),
    [](int aNumber) {
      return SafeRequest("q" + std::to_string(aNumber), "/lab/1", milliseconds(1000));
    },
    milliseconds(50),
    aRecord);
  std::this_thread::sleep_for(std::chrono::seconds(8));
  if (requester.Served() < 40) {
    aRecord.Line("only " + std::to_string(requester.Served()) + " requests were served");
    return 2;
  }
  labBeats.reset();
  std::int64_t inTouchFrom = 0;
  std::thread late;
  if (!Calm()) {
    const Request heartbeat = lab.NextHeartbeat(false);
    aRecord.Line("i-lab sends a heartbeat, which is held up on its way");
    late = std::thread([&, heartbeat] {
      std::this_thread::sleep_for(kOnItsWay);
      const int status = Call(besideLab.Heartbeats(), heartbeat, milliseconds(1000)).status_;
      aRecord.Line("the heartbeat arrives, and is answered " + std::to_string(status));
    });
    aRecord.Line("SIGKILL to the instance beside i-lab");
    besideLab.Signal(SIGKILL);
    besideLab.Wait();
    std::this_thread::sleep_for(milliseconds(200));
    aRecord.Line("the instance is started again");
    besideLab.Start();
    inTouchFrom = aRecord.Now() + kContactTimeout.count();
    if (!besideLab.AwaitReady(milliseconds(1000))) {
      aRecord.Line("the instance did not get ready");
    }
  }
  const bool acknowledged = lab.Leave(besideLab.Heartbeats());
  const std::int64_t confirmed = aRecord.Now();
  aRecord.Line(std::string("i-lab sends DELETE: ") +
               (acknowledged ? "acknowledged" : "not acknowledged"));
  forbiddenFrom = std::max(confirmed + kDrainTimeout.count(), inTouchFrom);
  // The server goes on for the drain time and some seconds.
  std::this_thread::sleep_for(std::chrono::seconds(8));
  if (late.joinable()) {
    late.join();
  }
  aRecord.Line("confirmed at " + std::to_string(confirmed) + ", machine in touch again from " +
               std::to_string(inTouchFrom) +
               ", requests that the rule forbids: " + std::to_string(forbidden));
  return !acknowledged ? 2 : forbidden > 0 ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Play);
}
