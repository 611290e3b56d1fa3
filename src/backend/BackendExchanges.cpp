// BackendService: dispatch to the backend server, streamed bodies, responses and failures.

#include "backend/BackendService.hpp"
#include "backend/ResponseHeaders.hpp"
#include "core/Log.hpp"

#include <utility>

namespace redwing {

namespace {

/// Window of a response that begins while large bodies wait for memory.
constexpr std::size_t kSmallWindowBytes = 64 * 1024;
constexpr std::uint16_t kFirstSuccess = 200;
constexpr std::uint16_t kFirstRedirect = 300;

} // namespace

/// Passes the events of a connection to the service, together with the exchange that uses the
/// connection.
class BackendService::Observer final : public HttpObserver
{
public:
  Observer(BackendService& aService, ExchangePtr aExchange)
    : service_(aService)
    , exchange_(std::move(aExchange))
  {
  }

  void OnResponse(HttpHead&& aHead, std::string&& aBody, bool aLast) override
  {
    service_.OnResponse(exchange_, std::move(aHead), std::move(aBody), aLast);
  }
  void OnResponseBody(std::string&& aBytes, bool aLast) override
  {
    service_.OnResponseBody(exchange_, std::move(aBytes), aLast);
  }
  void OnRequestWritten(std::size_t aBytes) override
  {
    service_.OnRequestWritten(exchange_, aBytes);
  }
  void OnFailed(const HttpFailure& aFailure) override { service_.OnFailed(exchange_, aFailure); }

private:
  BackendService& service_;
  ExchangePtr exchange_;
};

void
BackendService::Dispatch(const ExchangePtr& aExchange)
{
  const auto sent = sender_.Send(
    *aExchange,
    announcement_ ? announcement_->serverId_ : std::string(),
    [&](HttpRequest& aRequest) { OnSending(*aExchange, aRequest); },
    std::make_shared<Observer>(*this, aExchange));
  if (!sent) {
    RefuseNotRun(aExchange, sent.error().code_, sent.error().detail_);
  }
}

void
BackendService::OnSending(ServedExchange& aExchange, HttpRequest& aRequest)
{
  aRequest.writeBy_ = rolloutGate_.PermittedUntil();
  if (hooks_.memory_ != nullptr && !hooks_.memory_->Fits(kBodyWindowBytes, MemoryUse::LargeBody)) {
    aRequest.responseWindow_ = kSmallWindowBytes;
  }
  coldRate_.OnSent(aExchange.dispatchedAt_);
  statedRate_.OnSent(aExchange.dispatchedAt_);
  CountSent(aExchange);
  if (settings_.bodiesNeedCredit_ && !aExchange.bodyComplete_ && !aExchange.bodyCreditSent_) {
    aExchange.bodyCreditSent_ = true;
    hooks_.sendResponse_(
      RequestCredit{ aExchange.start_.key_, static_cast<std::uint32_t>(kBodyWindowBytes) });
  }
}

void
BackendService::OnBody(RequestBody&& aEvent)
{
  const auto it = exchanges_.find(aEvent.key_);
  if (it == exchanges_.end() || it->second->bodyComplete_) {
    return;
  }
  const ExchangePtr exchange = it->second;
  exchange->bodyComplete_ = aEvent.last_;
  if (exchange->connection_) {
    exchange->connection_->SendBody(std::move(aEvent.bytes_), aEvent.last_);
  } else {
    exchange->pendingBody_.append(aEvent.bytes_);
  }
}

void
BackendService::OnRequestWritten(const ExchangePtr& aExchange, std::size_t aBytes)
{
  // A request that arrived with its complete body needs no credit.
  if (!aExchange->start_.last_ && !aExchange->detached_) {
    hooks_.sendResponse_(
      RequestCredit{ aExchange->start_.key_, static_cast<std::uint32_t>(aBytes) });
  }
}

void
BackendService::OnCancel(const ExchangePtr& aExchange)
{
  if (aExchange->detached_) {
    return;
  }
  if (aExchange->phase_ == ServedPhase::Queued) {
    queue_.Remove(aExchange->start_.key_);
    RefuseNotRun(aExchange, ErrorCode::Cancelled);
    return;
  }
  Detach(aExchange, ErrorCode::Cancelled);
}

void
BackendService::OnRecall(const ExchangePtr& aExchange)
{
  if (aExchange->phase_ == ServedPhase::Queued) {
    queue_.Remove(aExchange->start_.key_);
    RefuseNotRun(aExchange, ErrorCode::Draining, "recalled");
  } else if (aExchange->phase_ == ServedPhase::Replicating && !aExchange->detached_) {
    Detach(aExchange, ErrorCode::Draining);
  }
}

void
BackendService::Detach(const ExchangePtr& aExchange, ErrorCode aCode)
{
  const auto& start = aExchange->start_;
  DropLarge(*aExchange);
  if (aExchange->headSent_) {
    hooks_.sendResponse_(ResponseAbort{ start.key_ });
  } else {
    const bool sent = aExchange->phase_ != ServedPhase::Replicating;
    Refusal refusal;
    refusal.key_ = start.key_;
    refusal.outcome_ = sent ? Outcome::Unknown : Outcome::NotRun;
    refusal.code_ = aCode;
    refusal.load_ = Load();
    refusalLog_.Write(start, refusal.outcome_, aCode, "detached", clock_.Now());
    hooks_.sendResponse_(std::move(refusal));
    (sent ? unknown_ : notRun_).Add();
  }
  CountDetached(*aExchange, aCode);
  aExchange->detached_ = true;
  aExchange->detachedAt_ = clock_.Now();
  const auto connection = aExchange->connection_;
  if (!connection) {
    return;
  }
  // A request with an Idempotency-Key runs on, because the caller may retry and collect the
  // response.
  const bool cancelled = !aExchange->ownsEntry_ && monitor_->Cancel(start.requestId_);
  if (!aExchange->bodyComplete_ || (!aExchange->ownsEntry_ && !cancelled)) {
    connection->Close();
  } else {
    constexpr std::size_t kNoLimit = 1ULL << 40U;
    connection->AddReadCredit(kNoLimit);
  }
}

std::string_view
BackendService::FindFault(const HttpHead& aHead) const
{
  const HttpProtocol& protocol = settings_.protocol_;
  if (!aHead.identified_ && ReportsNotRun(protocol, aHead)) {
    // May be a copy of an earlier refusal, so it tells nothing about this request.
    return "unidentified_refusal";
  }
  if (PromisesNotRun(protocol, aHead.status_)) {
    return "unconfirmed_refusal";
  }
  if (protocol.signatureHeader_.empty()) {
    return {};
  }
  const bool success = aHead.status_ >= kFirstSuccess && aHead.status_ < kFirstRedirect;
  const bool isSigned = FindHeader(aHead, protocol.signatureHeader_) != nullptr;
  const bool valid = (isSigned || !success) && FindHeader(aHead, "content-encoding") == nullptr;
  return valid ? std::string_view() : "invalid_response";
}

void
BackendService::OnResponse(const ExchangePtr& aExchange,
                           HttpHead&& aHead,
                           std::string&& aBody,
                           bool aLast)
{
  if (aExchange->phase_ == ServedPhase::Ended) {
    return;
  }
  ReadStatements(*aExchange, aHead);
  if (OnShed(aExchange, aHead, aLast)) {
    return;
  }
  if (const auto load = LoadIn(aHead); load && load->slowdown_) {
    slowdown_ = *load->slowdown_;
    slowdownAt_ = clock_.Now();
  }
  const auto fault = FindFault(aHead);
  CountAnswer(*aExchange, aHead, !fault.empty());
  if (!fault.empty()) {
    std::exchange(aExchange->connection_, nullptr)->Close();
    if (aExchange->phase_ != ServedPhase::Ended) {
      FailUnknown(aExchange, fault);
    }
    return;
  }
  if (aExchange->start_.targetTime_ != TimePoint{}) {
    loadMetrics_.OnResponse(clock_.Now() <= aExchange->start_.targetTime_);
  }
  if (aExchange->ownsEntry_) {
    aExchange->storedResponse_ = StoredResponse{ aHead.status_, aHead.headers_, aBody };
  }
  if (!aExchange->detached_) {
    aExchange->headSent_ = true;
    ResponseStart response;
    response.key_ = aExchange->start_.key_;
    response.status_ = aHead.status_;
    response.headers_ = std::move(aHead.headers_);
    response.contentLength_ = aHead.contentLength_;
    response.body_ = std::move(aBody);
    response.last_ = aLast;
    response.load_ = Load();
    ReadAhead(*aExchange, response.contentLength_);
    if (aLast && aExchange->ownsEntry_ && !aExchange->large_) {
      // Completes the entry before the caller can receive the response and send the same key again.
      Complete(aExchange);
      hooks_.sendResponse_(std::move(response));
      return;
    }
    SendResponse(*aExchange, std::move(response));
  }
  if (aLast) {
    Complete(aExchange);
  }
}

void
BackendService::OnResponseBody(const ExchangePtr& aExchange, std::string&& aBytes, bool aLast)
{
  if (aExchange->phase_ == ServedPhase::Ended) {
    return;
  }
  if (aExchange->storedResponse_) {
    aExchange->storedResponse_->body_.append(aBytes);
    if (aExchange->storedResponse_->body_.size() > settings_.idempotency_.bytesPerResponse_) {
      aExchange->storedResponse_.reset();
    }
  }
  const auto key = aExchange->start_.key_;
  const bool wanted = !aExchange->detached_;
  if (aExchange->large_ && wanted) {
    // What is paced is sent by a later task, after the end of the entry.
    SendResponse(*aExchange, ResponseBody{ key, std::move(aBytes), aLast });
    if (aLast) {
      Complete(aExchange);
    }
    return;
  }
  if (aLast) {
    Complete(aExchange);
  }
  if (wanted) {
    hooks_.sendResponse_(ResponseBody{ key, std::move(aBytes), aLast });
  }
}

void
BackendService::Complete(const ExchangePtr& aExchange)
{
  const auto now = clock_.Now();
  answered_.Add();
  estimator_.Add(aExchange->start_.class_, now - aExchange->dispatchedAt_, now);
  limiter_.OnSuccess();
  ramp_.OnSuccess(now);
  if (!settings_.serverReportsState_ && estimator_.All().LatencyJumped()) {
    ramp_.OnLatencyJump(now);
  }
  sender_.Release(std::exchange(aExchange->connection_, nullptr));
  End(aExchange, Ending::Answered);
}

void
BackendService::OnFailed(const ExchangePtr& aExchange, const HttpFailure& aFailure)
{
  if (aExchange->phase_ == ServedPhase::Ended) {
    return;
  }
  aExchange->connection_.reset();
  CountFailed(*aExchange, aFailure);
  if (!aFailure.wrote_) {
    if (aFailure.refused_) {
      ProbeForCrash();
    }
    RefuseNotRun(aExchange, ErrorCode::BackendFailed, "connect_failed");
    return;
  }
  if (aFailure.closedByServer_ && aFailure.reused_ && aExchange->start_.idempotent_) {
    // The request may come back; the server may have closed other idle connections as well.
    sender_.UseNewConnectionFor(aExchange->start_.requestId_, aExchange->start_.deadline_);
  }
  if (aFailure.closedByServer_) {
    // The failure is reported only once it is known whether the server crashed, so that a request
    // that crashed it is recorded as a suspect before its caller can send it again.
    aExchange->phase_ = ServedPhase::Failing;
    ProbeForCrash();
    return;
  }
  FailUnknown(aExchange, "connection_given_up");
}

void
BackendService::FailUnknown(const ExchangePtr& aExchange, std::string_view aDetail)
{
  if (!aExchange->detached_) {
    DropLarge(*aExchange);
  }
  if (aExchange->headSent_ && !aExchange->detached_) {
    hooks_.sendResponse_(ResponseAbort{ aExchange->start_.key_ });
    aExchange->detached_ = true;
  }
  Refuse(aExchange, Outcome::Unknown, ErrorCode::BackendFailed, aDetail);
}

void
BackendService::End(const ExchangePtr& aExchange, Ending aEnding)
{
  const auto& start = aExchange->start_;
  const auto phase = std::exchange(aExchange->phase_, ServedPhase::Ended);
  // Only a request that has left the queue holds a slot. Requests that are refused on arrival also
  // have the phase Queued.
  if (phase != ServedPhase::Queued) {
    limiter_.Release();
  }
  if (aExchange->ownsEntry_) {
    EndEntry(aExchange, aEnding);
  }
  const bool completed = aEnding == Ending::Answered;
  const auto cleared =
    aExchange->trial_ ? quarantine_.EndTrial(start.service_, start.fingerprint_, completed)
    : completed       ? quarantine_.OnCompleted(start.service_, start.fingerprint_, clock_.Now())
                      : std::nullopt;
  if (cleared) {
    LogLine(LogLevel::Info, "request_cleared")
      .With("service", start.service_)
      .With("fingerprint", start.fingerprint_)
      .With("crashes", cleared->crashes_.size());
    if (hooks_.onQuarantine_) {
      hooks_.onQuarantine_({ *cleared });
    }
  }
  if (std::exchange(aExchange->countedByGate_, false)) {
    gate_.EndRequest({ start.service_, start.shard_->shard_ });
  }
  if (aExchange->large_) {
    large_->OnEnded(start.key_);
  }
  aExchange->held_.reset();
  exchanges_.erase(start.key_);
  CheckDrained();
  Pump();
}

void
BackendService::EndEntry(const ExchangePtr& aExchange, Ending aEnding)
{
  const auto key = EntryKey(aExchange->start_);
  const auto ignore = [](bool) {};
  if (aEnding == Ending::NotRun) {
    const auto abandoned = entries_.Abandon(key);
    if (hooks_.replicate_ && aExchange->start_.shard_) {
      hooks_.replicate_(abandoned, ignore);
    }
    return;
  }
  std::optional<StoredResponse> response;
  if (aEnding == Ending::Answered) {
    response = std::move(aExchange->storedResponse_);
  }
  const auto* entry = entries_.Complete(key, std::move(response), clock_.Now());
  if (entry && hooks_.replicate_ && aExchange->start_.shard_) {
    hooks_.replicate_(*entry, ignore);
  }
}

} // namespace redwing
