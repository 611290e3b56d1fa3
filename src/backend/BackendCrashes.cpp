// BackendService: crashes of the backend server and the requests that are blamed for them.

#include "backend/BackendService.hpp"
#include "core/Log.hpp"

#include <chrono>
#include <utility>

namespace redwing {

namespace {

/// Number of consecutive probes without a response after which a broken connection is reported
/// although it is unknown whether the server crashed.
constexpr std::uint32_t kMaxUnansweredProbes = 3;
/// Time for which a request that failed without a reason is blamed for a crash that is noticed
/// later.
constexpr std::chrono::seconds kUnexplainedTime{ 3 };
constexpr std::size_t kMaxUnexplained = 64;

} // namespace

void
BackendService::ProbeForCrash()
{
  if (probingCrash_) {
    return;
  }
  probingCrash_ = true;
  monitor_->Probe([this](const std::optional<HealthReport>& aReport, bool aRefused) {
    probingCrash_ = false;
    // A process that is exiting may still accept a connection and close it without a response, so
    // the probe is repeated.
    if (!aReport && !aRefused && ++unansweredProbes_ < kMaxUnansweredProbes) {
      ProbeForCrash();
      return;
    }
    unansweredProbes_ = 0;
    if (aRefused && !down_) {
      OnCrash();
    }
    EndFailingExchanges(aRefused);
  });
}

void
BackendService::ProbeRefusedServer(BackendAnnouncement&& aAnnouncement)
{
  if (probingRefused_) {
    return;
  }
  probingRefused_ = true;
  // The announcement may have been sent before the crash. A server that only refused connections
  // for a while accepts them again.
  monitor_->Probe([this, announcement = std::move(aAnnouncement)](
                    const std::optional<HealthReport>& aReport, bool /*aRefused*/) mutable {
    probingRefused_ = false;
    const bool present = announcement_ && announcement_->life_ == announcement.life_;
    if (aReport && present && announcement.life_ == crashedRunId_) {
      crashedRunId_.clear();
      Announce(std::move(announcement));
    }
  });
}

void
BackendService::OnCrash()
{
  crashedRunId_ = announcement_->life_;
  crashedAt_ = clock_.Now();
  RecordCrash(crashedAt_);
  MarkDown("connection_refused");
}

void
BackendService::RecordCrash(TimePoint aNow)
{
  crashCount_.Add();
  ++crashes_;
  std::vector<std::uint64_t> fingerprints;
  for (const auto& [key, exchange] : exchanges_) {
    if (exchange->connection_ || exchange->phase_ == ServedPhase::Failing) {
      fingerprints.push_back(exchange->start_.fingerprint_);
    }
  }
  for (const auto& [fingerprint, failedAt] : std::exchange(unexplained_, {})) {
    if (aNow - failedAt < kUnexplainedTime) {
      fingerprints.push_back(fingerprint);
    }
  }
  const auto crashId = settings_.self_.id_ + '/' + std::to_string(settings_.self_.incarnation_) +
                       '/' + std::to_string(crashes_);
  const auto changed =
    quarantine_.RecordCrash(announcement_->service_, fingerprints, crashId, aNow);
  LogLine(LogLevel::Error, "backend_crashed")
    .With("service", announcement_->service_)
    .With("running", fingerprints.size());
  for (const QuarantineEntry& entry : changed) {
    LogLine(LogLevel::Warning, "request_suspected")
      .With("service", entry.service_)
      .With("fingerprint", entry.fingerprint_)
      .With("crashes", entry.crashes_.size());
  }
  if (hooks_.onQuarantine_ && !changed.empty()) {
    hooks_.onQuarantine_(changed);
  }
}

void
BackendService::EndFailingExchanges(bool aCrashed)
{
  std::vector<ExchangePtr> failing;
  for (const auto& [key, exchange] : exchanges_) {
    if (exchange->phase_ == ServedPhase::Failing) {
      failing.push_back(exchange);
    }
  }
  for (const auto& exchange : failing) {
    if (exchange->phase_ == ServedPhase::Failing) {
      if (!aCrashed && unexplained_.size() < kMaxUnexplained) {
        unexplained_.emplace_back(exchange->start_.fingerprint_, clock_.Now());
      }
      FailUnknown(exchange, aCrashed ? "server_crashed" : "connection_closed");
    }
  }
}

void
BackendService::ForgetUnexplained(TimePoint aNow)
{
  std::erase_if(unexplained_,
                [&](const auto& aItem) { return aNow - aItem.second >= kUnexplainedTime; });
}

} // namespace redwing
