#pragma once

#include "capacity/LargeResponses.hpp"
#include "core/Random.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace redwing::test {

using namespace std::chrono_literals;

struct LinkLoadSettings
{
  std::size_t links_ = 7;
  double bitsPerSecond_ = 10e6;
  /// The first link carries this share of what is stated.
  double firstLink_ = 1;
  double largePerSecond_ = 146;
  double meanBytes_ = 90e3;
  double mostBytes_ = 540e3;
  double smallPerSecond_ = 300;
  /// One of so many large responses has a reader that stops after the first window; 0: none.
  std::uint64_t stoppedOneOf_ = 0;
  bool limited_ = true;
  std::uint64_t seed_ = 1;
};

struct LinkLoadResult
{
  std::uint32_t sent_ = 0;
  std::uint32_t inTime_ = 0;
  std::uint32_t late_ = 0;
  std::uint32_t refused_ = 0;

  double ShareInTime() const { return static_cast<double>(inTime_) / sent_; }
  double ShareOfAnswered() const { return static_cast<double>(inTime_) / (inTime_ + late_); }
};

/// Simulates large and small responses of servers behind links, each a queue of bytes, in simulated
/// time. Servers have a slot for each request until its bytes were read.
class LinkLoad
{
public:
  explicit LinkLoad(LinkLoadSettings aSettings)
    : settings_(aSettings)
    , random_(aSettings.seed_)
  {
    for (std::size_t i = 0; i < settings_.links_; ++i) {
      auto& link = links_.emplace_back(std::make_unique<Link>());
      link->bytesPerSecond_ = settings_.bitsPerSecond_ / 8 * (i == 0 ? settings_.firstLink_ : 1);
      link->large_ = std::make_unique<LargeResponses>(settings_.bitsPerSecond_, counters_);
    }
  }

  void Run(Duration aTime)
  {
    end_ = now_ + aTime;
    Arrive(settings_.largePerSecond_, [this] { StartLarge(); });
    Arrive(settings_.smallPerSecond_, [this] { StartSmall(); });
    while (!tasks_.empty()) {
      const auto next = tasks_.begin();
      now_ = next->first;
      const auto task = std::move(next->second);
      tasks_.erase(next);
      task();
    }
  }

  LinkLoadResult large_;
  LinkLoadResult small_;

private:
  static constexpr Duration kWork = 41ms;
  static constexpr Duration kLargeTarget = 1500ms;
  static constexpr Duration kSmallTarget = 150ms;
  static constexpr Duration kGivenUp = 5s;
  static constexpr std::uint64_t kSmallBytes = 1000;
  static constexpr unsigned kSlots = 8;

  struct Link
  {
    double bytesPerSecond_ = 0;
    TimePoint free_{};
    std::unique_ptr<LargeResponses> large_;
    unsigned running_ = 0;
    std::vector<std::function<void()>> waiting_;
    bool scheduled_ = false;
  };
  struct Download
  {
    Link* link_ = nullptr;
    RequestStart start_;
    std::uint64_t bytes_ = 0;
    std::uint64_t arrived_ = 0;
    bool stops_ = false;
  };

  void At(TimePoint aTime, std::function<void()> aTask) { tasks_.emplace(aTime, std::move(aTask)); }

  void Arrive(double aPerSecond, std::function<void()> aStart)
  {
    const double seconds = -std::log(1 - random_.Unit()) / aPerSecond;
    const TimePoint at =
      now_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    if (at < end_) {
      At(at, [this, aPerSecond, start = std::move(aStart)] {
        start();
        Arrive(aPerSecond, start);
      });
    }
  }

  /// Puts bytes into the queue of a link and returns when they have arrived.
  TimePoint Send(Link& aLink, std::uint64_t aBytes)
  {
    const std::chrono::duration<double> time(static_cast<double>(aBytes) / aLink.bytesPerSecond_);
    aLink.free_ = std::max(aLink.free_, now_) + std::chrono::duration_cast<Duration>(time);
    return aLink.free_;
  }

  void Serve(Link& aLink, std::function<void()> aDone)
  {
    if (aLink.running_ == kSlots) {
      aLink.waiting_.push_back(std::move(aDone));
      return;
    }
    ++aLink.running_;
    At(now_ + kWork, std::move(aDone));
  }

  void Release(Link& aLink)
  {
    --aLink.running_;
    if (!aLink.waiting_.empty()) {
      auto next = std::move(aLink.waiting_.front());
      aLink.waiting_.erase(aLink.waiting_.begin());
      Serve(aLink, std::move(next));
    }
  }

  static void Count(LinkLoadResult& aResult, TimePoint aArrived, TimePoint aBy)
  {
    ++(aArrived <= aBy ? aResult.inTime_ : aResult.late_);
  }

  void StartSmall()
  {
    ++small_.sent_;
    Link& link = *links_[random_.Below(links_.size())];
    const TimePoint by = now_ + kSmallTarget;
    Serve(link, [this, &link, by] {
      Count(small_, Send(link, kSmallBytes), by);
      Release(link);
    });
  }

  void StartLarge()
  {
    const bool stops = settings_.stoppedOneOf_ > 0 && random_.Below(settings_.stoppedOneOf_) == 0;
    large_.sent_ += stops ? 0 : 1;
    auto download = std::make_shared<Download>();
    download->stops_ = stops;
    download->bytes_ = static_cast<std::uint64_t>(
      std::min(settings_.mostBytes_, -std::log(1 - random_.Unit()) * settings_.meanBytes_) + 1);
    download->start_.key_.exchangeId_ = ++lastId_;
    download->start_.class_ = "download";
    download->start_.targetTime_ = now_ + kLargeTarget;
    const std::size_t first = random_.Below(links_.size());
    for (std::size_t i = 0; i < links_.size(); ++i) {
      Link& link = *links_[(first + i) % links_.size()];
      download->link_ = &link;
      if (!settings_.limited_) {
        Serve(link, [this, download] { AnswerUnlimited(*download); });
        return;
      }
      if (!link.large_->Admit(download->start_, now_ + kGivenUp, kWork, now_)) {
        downloads_[lastId_] = download;
        Serve(link, [this, download] { Answer(*download); });
        return;
      }
    }
    large_.refused_ += stops ? 0 : 1;
  }

  void AnswerUnlimited(const Download& aDownload)
  {
    Link& link = *aDownload.link_;
    const TimePoint arrived = Send(link, aDownload.bytes_);
    Count(large_, arrived, aDownload.start_.targetTime_);
    // All but the last window was read from the server when it had been sent.
    const bool held = aDownload.bytes_ > kBodyWindowBytes;
    At(held ? arrived : now_, [this, &link] { Release(link); });
  }

  void Answer(const Download& aDownload)
  {
    Link& link = *aDownload.link_;
    ResponseStart response;
    response.key_ = aDownload.start_.key_;
    response.status_ = 200;
    response.contentLength_ = aDownload.bytes_;
    response.body_.assign(aDownload.bytes_, 'x');
    link.large_->Push(std::move(response));
    link.large_->OnEnded(aDownload.start_.key_);
    Release(link);
    Pace(link);
  }

  void Pace(Link& aLink)
  {
    while (auto event = aLink.large_->Take(now_)) {
      const ExchangeKey key = KeyOf(*event);
      const std::uint64_t bytes = BodyBytes(*event);
      const auto download = downloads_.at(key.exchangeId_);
      const bool last = EndsBody(*event);
      At(Send(aLink, bytes), [this, download, bytes, key, last] {
        download->arrived_ += bytes;
        if (download->arrived_ == download->bytes_ && !download->stops_) {
          Count(large_, now_, download->start_.targetTime_);
        }
        // A caller's instance gives no credit for the end of a response.
        if (!download->stops_ && !last) {
          download->link_->large_->OnCredit(key, bytes, now_);
          Pace(*download->link_);
        }
      });
    }
    const auto next = aLink.large_->NextAt(now_);
    if (next && !std::exchange(aLink.scheduled_, true)) {
      At(*next, [this, &aLink] {
        aLink.scheduled_ = false;
        Pace(aLink);
      });
    }
  }

  LinkLoadSettings settings_;
  Random random_;
  CounterRegistry counters_;
  std::vector<std::unique_ptr<Link>> links_;
  std::multimap<TimePoint, std::function<void()>> tasks_;
  std::map<std::uint64_t, std::shared_ptr<Download>> downloads_;
  std::uint64_t lastId_ = 0;
  TimePoint now_{ 1000s };
  TimePoint end_{};
};

} // namespace redwing::test
