// Part of FleetService: what instances tell each other of requests that crash backend servers.

#include "core/Log.hpp"
#include "fleet/FleetService.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kNoticeTimeout{ 600 };
/// A notice that is not answered is sent again this often.
constexpr int kNoticeTries = 4;
/// Longest time for which the word of another instance keeps a request suspect.
constexpr milliseconds kLongestSuspicion{ 600'000 };

std::uint32_t
ToMs(Duration aTime)
{
  const Duration bounded = std::clamp<Duration>(aTime, Duration::zero(), kLongestSuspicion);
  return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(bounded).count());
}

Duration
FromMs(std::uint32_t aMilliseconds)
{
  return std::min(milliseconds(aMilliseconds), kLongestSuspicion);
}

QuarantineNotice
ToNotice(const std::vector<QuarantineEntry>& aEntries, TimePoint aNow)
{
  QuarantineNotice notice;
  for (const QuarantineEntry& entry : aEntries) {
    SuspectRequest request{
      entry.service_, entry.fingerprint_, entry.cleared_, ToMs(entry.expiry_ - aNow), {}
    };
    for (const auto& [crash, time] : entry.crashes_) {
      request.crashes_.emplace_back(crash, ToMs(aNow - time));
    }
    notice.requests_.push_back(std::move(request));
  }
  return notice;
}

std::vector<QuarantineEntry>
FromNotice(const QuarantineNotice& aNotice, TimePoint aNow)
{
  std::vector<QuarantineEntry> entries;
  for (const SuspectRequest& request : aNotice.requests_) {
    QuarantineEntry entry;
    entry.service_ = request.service_;
    entry.fingerprint_ = request.fingerprint_;
    entry.cleared_ = request.cleared_;
    entry.expiry_ = aNow + FromMs(request.remainingMs_);
    for (const auto& [crash, ageMs] : request.crashes_) {
      entry.crashes_.emplace(crash, aNow - FromMs(ageMs));
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

} // namespace

void
FleetService::SpreadQuarantine(const std::vector<QuarantineEntry>& aEntries)
{
  const std::string payload = WriteWire(FleetRequest(ToNotice(aEntries, clock_.Now())));
  for (const std::string& id : MemberIds()) {
    if (id != settings_.self_.ref_.id_ && !unreachable_.contains(id)) {
      SendQuarantine(id, payload, kNoticeTries);
    }
  }
}

void
FleetService::SendQuarantine(const std::string& aTo, const std::string& aPayload, int aTries)
{
  hooks_.call_(aTo,
               aPayload,
               kNoticeTimeout,
               [this, aTo, aPayload, aTries](bool aAnswered, const std::string&) {
                 // An instance that cannot be reached is told once it can be again.
                 if (aAnswered || unreachable_.contains(aTo) ||
                     !members_.contains(session_.MemberKey(aTo))) {
                   return;
                 }
                 if (aTries > 1) {
                   SendQuarantine(aTo, aPayload, aTries - 1);
                 } else {
                   LogLine(LogLevel::Warning, "quarantine_notice_unanswered").With("instance", aTo);
                 }
               });
}

void
FleetService::SendSuspects(const std::string& aTo)
{
  if (aTo.empty() || aTo == settings_.self_.ref_.id_ || !hooks_.exportQuarantine_) {
    return;
  }
  hooks_.exportQuarantine_([this, aTo](const std::vector<QuarantineEntry>& aEntries) {
    if (!aEntries.empty()) {
      SendQuarantine(aTo, WriteWire(FleetRequest(ToNotice(aEntries, clock_.Now()))), kNoticeTries);
    }
  });
}

void
FleetService::OnQuarantine(const QuarantineNotice& aNotice)
{
  if (hooks_.mergeQuarantine_) {
    hooks_.mergeQuarantine_(FromNotice(aNotice, clock_.Now()));
  }
}

} // namespace redwing
