// BackendService: what the backend server states of itself in its answers: a limit, its load, that
// it leaves, or that it did not run a request.

#include "backend/BackendService.hpp"
#include "backend/ResponseHeaders.hpp"
#include "core/Log.hpp"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <cmath>
#include <utility>
#include <vector>

namespace redwing {

namespace {

constexpr std::chrono::seconds kLogInterval{ 1 };
constexpr std::chrono::milliseconds kShortestRetry{ 200 };
constexpr std::chrono::milliseconds kLongestRetry{ 5000 };

/// Returns the number that aText is; nothing unless it is finite and at least 0.
std::optional<double>
ParseRate(std::string_view aText)
{
  double rate = 0;
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), rate);
  const bool whole = parsed.ec == std::errc{} && parsed.ptr == aText.data() + aText.size();
  return whole && std::isfinite(rate) && rate >= 0 ? std::optional(rate) : std::nullopt;
}

} // namespace

void
BackendService::ReadStatements(const ServedExchange& aExchange, const HttpHead& aHead)
{
  // An answer without an id, or to a request of an earlier run, says nothing about this run.
  if (aHead.identified_ && aExchange.dispatchedAt_ >= serverSince_) {
    ReadStatedLimit(aExchange, aHead);
    ReadLeaving(aHead);
  }
}

void
BackendService::ReadLeaving(const HttpHead& aHead)
{
  const std::string& name = settings_.protocol_.leavingHeader_;
  if (name.empty() || leaving_ || !announcement_) {
    return;
  }
  const bool leaves =
    std::any_of(aHead.headers_.begin(), aHead.headers_.end(), [&](const Header& aHeader) {
      return boost::algorithm::iequals(aHeader.name_, name) && aHeader.value_ == "1";
    });
  if (!leaves) {
    return;
  }
  LogLine(LogLevel::Info, "server_leaves_by_answer").With("server", announcement_->serverId_);
  const bool held = std::exchange(pumpHeld_, true);
  Leave(clock_.Now());
  pumpHeld_ = held;
  if (hooks_.onServerLeaves_) {
    hooks_.onServerLeaves_(announcement_->serverId_);
  }
}

void
BackendService::ReadStatedLimit(const ServedExchange& aExchange, const HttpHead& aHead)
{
  const std::string& name = settings_.protocol_.limitHeader_;
  if (name.empty()) {
    return;
  }
  const auto now = clock_.Now();
  std::optional<double> stated;
  bool unreadable = false;
  for (const Header& header : aHead.headers_) {
    if (!boost::algorithm::iequals(header.name_, name)) {
      continue;
    }
    if (const auto rate = ParseRate(header.value_)) {
      // Of several, all are kept by keeping the lowest.
      stated = std::min(stated.value_or(*rate), *rate);
    } else {
      unreadable = true;
    }
  }
  if (unreadable && !stated) {
    LogStatedLimit("unreadable", now);
    return;
  }
  const double before = statedRate_.Rate();
  statedRate_.OnAnswer(stated, aExchange.dispatchedAt_, now);
  const double after = statedRate_.Rate();
  if (before == after) {
    return;
  }
  LogStatedLimit(after > 0 ? "in_force" : "ended", now);
  if (after > 0 && (before <= 0 || after < before)) {
    QueueAgain(now);
  }
}

void
BackendService::LogStatedLimit(std::string_view aState, TimePoint aNow)
{
  if (aNow < nextLimitLog_) {
    return;
  }
  nextLimitLog_ = aNow + kLogInterval;
  LogLine(LogLevel::Info, "server_limit")
    .With("service", announcement_ ? announcement_->service_ : std::string())
    .With("state", aState)
    .With("per_second", statedRate_.Rate())
    .With("queued", queue_.Size());
}

void
BackendService::QueueAgain(TimePoint aNow)
{
  std::vector<QueueItem> items;
  while (auto item = queue_.Pop()) {
    items.push_back(std::move(*item));
  }
  // Refusals must not dispatch what is still to be queued.
  const bool held = std::exchange(pumpHeld_, true);
  for (auto& item : items) {
    const ExchangePtr exchange = exchanges_[item.key_];
    if (queue_.Push(std::move(item), Rate(aNow), aNow) != QueueVerdict::Queued) {
      RefuseNotRun(exchange, ErrorCode::Overloaded, "deadline_cannot_be_met");
    }
  }
  pumpHeld_ = held;
}

Duration
BackendService::StatedWait(TimePoint aNow) const
{
  if (statedRate_.Rate() <= 0) {
    return Duration::zero();
  }
  const std::chrono::duration<double> queued(static_cast<double>(queue_.Size()) /
                                             statedRate_.Rate());
  return statedRate_.Wait(aNow) + std::chrono::duration_cast<Duration>(queued);
}

std::optional<std::uint32_t>
BackendService::StatedRetryAfter(ErrorCode aCode, TimePoint aNow) const
{
  if (aCode != ErrorCode::Overloaded || statedRate_.Rate() <= 0) {
    return std::nullopt;
  }
  const auto room = std::clamp<Duration>(StatedWait(aNow), kShortestRetry, kLongestRetry);
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(room).count());
}

std::optional<ServerLoad>
BackendService::LoadIn(const HttpHead& aHead) const
{
  const std::string& name = settings_.protocol_.loadHeader_;
  const std::string* load = name.empty() ? nullptr : FindHeader(aHead, name);
  return load == nullptr ? std::nullopt : ParseServerLoad(*load);
}

bool
BackendService::OnShed(const ExchangePtr& aExchange, const HttpHead& aHead, bool aLast)
{
  if (!ReportsNotRun(settings_.protocol_, aHead) || !aHead.identified_) {
    return false;
  }
  const bool misdirected = aHead.status_ == kStatusMisdirected;
  if (!misdirected) {
    const auto now = clock_.Now();
    sheds_.Add();
    // A server that sheds although it has free slots is not overloaded: with fewer requests at a
    // time it would shed as many of them.
    const auto load = LoadIn(aHead);
    const bool overloaded = !load || !load->HasFreeSlot();
    if (overloaded) {
      limiter_.OnShed(now);
    } else {
      shedsWithRoom_.Add();
    }
    // A server that reports its state also reports whether it is cold.
    if (overloaded && !settings_.serverReportsState_) {
      ramp_.OnShed(now);
    }
  }
  const auto connection = std::exchange(aExchange->connection_, nullptr);
  if (aLast) {
    sender_.Release(connection);
  }
  aExchange->reachedServer_ = true;
  if (aExchange->start_.shard_ && settings_.protocol_.serverEchoesId_) {
    sender_.UseNewConnectionFor(aExchange->start_.requestId_, aExchange->start_.deadline_);
  }
  if (misdirected) {
    RefuseNotRun(aExchange, ErrorCode::NotOwner, "misdirected");
  } else {
    RefuseNotRun(aExchange, ErrorCode::Overloaded, "shed");
  }
  if (!aLast) {
    // A connection with an unread response is never reused. Its later callbacks are ignored,
    // because the exchange has ended.
    connection->Close();
  }
  return true;
}

} // namespace redwing
