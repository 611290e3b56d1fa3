// The process that reads an instance's logs stops reading for a while.

#include "Stage.hpp"

#include <array>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

using namespace stage;

namespace {

/// Timeout of the routes; every request has this time budget, too.
constexpr milliseconds kTimeout{ 1000 };
/// A request without an answer this long after the timeout of its route counts.
constexpr milliseconds kGrace{ 500 };
/// Requesters wait a little longer, so that an answer just in time is told from none.
constexpr milliseconds kLate{ 20 };
constexpr std::chrono::seconds kBefore{ 10 };
constexpr std::chrono::seconds kWithoutReader{ 60 };

/// Reads the logs of an instance from a pipe, as a collector of logs does.
class Collector
{
public:
  Collector()
  {
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
      throw std::runtime_error("no pipe");
    }
    reads_ = ends[0];
    writes_ = ends[1];
    thread_ = std::thread([this] { Read(); });
  }

  ~Collector()
  {
    stopped_ = true;
    thread_.join();
    ::close(reads_);
    ::close(writes_);
  }

  int Output() const { return writes_; }
  void Pause(bool aPauses) { paused_ = aPauses; }
  std::size_t Bytes() const { return bytes_; }

private:
  void Read()
  {
    std::array<char, 4096> bytes{};
    while (!stopped_) {
      pollfd wait{ reads_, POLLIN, 0 };
      if (paused_ || ::poll(&wait, 1, 20) <= 0) {
        std::this_thread::sleep_for(milliseconds(5));
        continue;
      }
      const auto n = ::read(reads_, bytes.data(), bytes.size());
      bytes_ += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
  }

  int reads_ = -1;
  int writes_ = -1;
  std::atomic<bool> stopped_{ false };
  std::atomic<bool> paused_{ false };
  std::atomic<std::size_t> bytes_{ 0 };
  std::thread thread_;
};

struct Counts
{
  std::atomic<int> sent_{ 0 };
  std::atomic<int> served_{ 0 };
  /// Not answered at the timeout of the route.
  std::atomic<int> open_{ 0 };
  /// Not answered kGrace later either.
  std::atomic<int> unanswered_{ 0 };
};

int
Play(Record& aRecord)
{
  Store store({ Ip(9), 24500 });
  store.Put("op/config", Manifest(false, kTimeout).dump());
  Backend lab("i-lab", "lab", "a", { Ip(0), 24700 }, 9);
  HttpServer labServer(lab.At(), [&](const Request& aRequest) -> std::optional<Response> {
    std::this_thread::sleep_for(milliseconds(20));
    return Served(aRequest, lab);
  });
  Collector collector;
  Instance instance(0, SettingsOf(0, "a", "lab", lab.At(), store.At()), TemporaryFolder());
  instance.Start(collector.Output());
  Beats beats(lab, instance.Heartbeats(), false);
  if (!instance.AwaitReady(milliseconds(10000))) {
    aRecord.Line("the instance did not get ready");
    return 2;
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  Counts counts;
  std::atomic<bool> stopped{ false };
  std::vector<std::thread> requesters;
  for (int i = 0; i < 5; ++i) {
    requesters.emplace_back([&, i] {
      for (int number = 1; !stopped; ++number) {
        const std::string id = "q" + std::to_string(i) + "-" + std::to_string(number);
        const std::int64_t sentAt = aRecord.Now();
        ++counts.sent_;
        const Response response = Ask(instance.Callers(),
                                      SafeRequest(id, "/lab/1", kTimeout),
                                      kTimeout + kGrace + kLate,
                                      aRecord);
        const std::int64_t took = aRecord.Now() - sentAt;
        counts.served_ += response.status_ == 200 ? 1 : 0;
        counts.open_ += took >= kTimeout.count() ? 1 : 0;
        counts.unanswered_ += response.status_ == 0 && took >= (kTimeout + kGrace).count() ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(100));
      }
    });
  }
  std::this_thread::sleep_for(kBefore);
  aRecord.Line("served " + std::to_string(counts.served_) + " of " + std::to_string(counts.sent_) +
               ", logs " + std::to_string(collector.Bytes()) + " bytes");
  const int served = counts.served_;
  if (!Calm()) {
    aRecord.Line("the reader of the logs stops reading");
    collector.Pause(true);
  }
  std::this_thread::sleep_for(kWithoutReader);
  aRecord.Line("served " + std::to_string(counts.served_) + " of " + std::to_string(counts.sent_) +
               ", open at the timeout " + std::to_string(counts.open_) +
               ", of these without an answer half a second later " +
               std::to_string(counts.unanswered_));
  const bool ready =
    Call(instance.Readiness(), { "GET", "/-/readiness", {}, {} }, milliseconds(1000)).status_ ==
    200;
  aRecord.Line(std::string("readiness: ") + (ready ? "200" : "no answer"));
  const int open = counts.open_;
  const int unanswered = counts.unanswered_;
  collector.Pause(false);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  aRecord.Line("the reader goes on, logs " + std::to_string(collector.Bytes()) + " bytes, served " +
               std::to_string(counts.served_) + " of " + std::to_string(counts.sent_));
  stopped = true;
  for (auto& requester : requesters) {
    requester.join();
  }
  if (served == 0) {
    return 2;
  }
  return unanswered > 0 && unanswered * 2 > open ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunCase(aCount, aArguments, Play);
}
