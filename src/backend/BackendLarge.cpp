// BackendService: large responses, which are admitted by the capacity of the machine's link and
// sent at a share of it; credit of callers' instances.

#include "backend/BackendService.hpp"
#include "core/Log.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace redwing {

bool
BackendService::RefuseForBytes(const ExchangePtr& aExchange, TimePoint aNow)
{
  const auto& start = aExchange->start_;
  if (!large_ || !checks_.HasLargeAnswers(start.class_)) {
    return false;
  }
  const Duration serviceTime = estimator_.Of(start.class_, aNow);
  const auto noRoom = large_->Admit(start, AnswerBy(start), serviceTime, aNow);
  if (!noRoom) {
    aExchange->large_ = true;
    return false;
  }
  using std::chrono::milliseconds;
  const auto retry = std::chrono::ceil<milliseconds>(noRoom->retryAfter_);
  if (aNow >= nextLinkLog_) {
    constexpr std::chrono::seconds kLogInterval{ 1 };
    nextLinkLog_ = aNow + kLogInterval;
    LogLine(LogLevel::Info, "link_full")
      .With("request", start.requestId_)
      .With("route", start.class_)
      .With("bytes", noRoom->bytes_)
      .With("wait_ms", std::chrono::duration_cast<milliseconds>(noRoom->wait_).count())
      .With("retry_after_ms", retry.count());
  }
  Refuse(aExchange,
         Outcome::NotRun,
         ErrorCode::Overloaded,
         "link_full",
         static_cast<std::uint32_t>(retry.count()));
  return true;
}

void
BackendService::SendResponse(const ServedExchange& aExchange, ResponseEvent&& aEvent)
{
  if (!aExchange.large_) {
    hooks_.sendResponse_(std::move(aEvent));
    return;
  }
  large_->Push(std::move(aEvent));
  ScheduleLarge();
}

void
BackendService::OnCredit(const ResponseCredit& aEvent)
{
  const auto it = exchanges_.find(aEvent.key_);
  if (it != exchanges_.end() && it->second->connection_) {
    const auto connection = it->second->connection_;
    connection->AddReadCredit(aEvent.bytes_);
  }
  if (large_) {
    large_->OnCredit(aEvent.key_, aEvent.bytes_, clock_.Now());
    ScheduleLarge();
  }
}

void
BackendService::ReadAhead(const ServedExchange& aExchange,
                          const std::optional<std::uint64_t>& aLength)
{
  if (!aExchange.large_ || !aExchange.connection_) {
    return;
  }
  if (const std::size_t bytes = large_->ReadAhead(aExchange.start_.key_, aLength); bytes > 0) {
    aExchange.connection_->AddReadCredit(bytes);
  }
}

void
BackendService::DropLarge(ServedExchange& aExchange)
{
  if (aExchange.large_) {
    aExchange.headSent_ = large_->Drop(aExchange.start_.key_);
  }
}

void
BackendService::ScheduleLarge()
{
  if (!std::exchange(largeScheduled_, true)) {
    Post([this] { ReleaseLarge(); });
  }
}

void
BackendService::ReleaseLarge()
{
  largeScheduled_ = false;
  if (stopped_) {
    return;
  }
  const auto now = clock_.Now();
  while (auto event = large_->Take(now)) {
    if (auto* start = std::get_if<ResponseStart>(&*event)) {
      // The report of the moment in which the server answered may be old by now.
      start->load_ = Load();
    }
    hooks_.sendResponse_(std::move(*event));
  }
  if (const auto next = large_->NextAt(now)) {
    largeScheduled_ = true;
    largeTimer_.expires_after(*next - now);
    largeTimer_.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        ReleaseLarge();
      }
    });
  }
  CheckDrained();
}

void
BackendService::ExpireLarge(TimePoint aNow)
{
  if (!large_) {
    return;
  }
  large_->Tick(aNow);
  for (const auto& [key, started] : large_->TakeExpired(aNow)) {
    EndLarge(key, started, ErrorCode::DeadlineExceeded);
  }
  CheckDrained();
}

void
BackendService::EndCancelledLarge(const ExchangeKey& aKey)
{
  // Its server is done with the request, but the response may still wait to be sent. Without a last
  // event the links on the way would keep the exchange.
  if (large_ && large_->Has(aKey)) {
    EndLarge(aKey, large_->Drop(aKey), ErrorCode::Cancelled);
  }
}

void
BackendService::EndLarge(const ExchangeKey& aKey, bool aStarted, ErrorCode aCode)
{
  if (aStarted) {
    hooks_.sendResponse_(ResponseAbort{ aKey });
    return;
  }
  Refusal refusal;
  refusal.key_ = aKey;
  refusal.outcome_ = Outcome::Unknown;
  refusal.code_ = aCode;
  refusal.detail_ = "link_full";
  refusal.load_ = Load();
  LogLine(LogLevel::Info, "dispatch_refused")
    .With("exchange", aKey.exchangeId_)
    .With("outcome", ToText(refusal.outcome_))
    .With("code", ToText(refusal.code_))
    .With("detail", refusal.detail_);
  unknown_.Add();
  hooks_.sendResponse_(std::move(refusal));
}

} // namespace redwing
