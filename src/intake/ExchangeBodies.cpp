#include "intake/CallerSlot.hpp"
#include "intake/Exchange.hpp"
#include "intake/IntakeCore.hpp"

#include <algorithm>
#include <utility>

namespace redwing::Detail {

namespace {

constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
/// More unsent bytes than this mean that the serving side ignores its window.
constexpr std::size_t kMaxUnsentBytes = 4 * kBodyWindowBytes;

} // namespace

void
Exchange::SendBody()
{
  if (finished_ || bodySent_ || attempts_.size() != 1) {
    return;
  }
  if (deferred_) {
    SendDeferredBody();
    return;
  }
  while (!bodySent_ && (!pending_.empty() || bodyDone_)) {
    const std::size_t bytes = std::min(pending_.size(), kMaxChunkBytes);
    if (requestOutstanding_ + bytes > kBodyWindowBytes) {
      return;
    }
    // An event takes hundreds of bytes beside its payload, which the window does not count. A small
    // part therefore waits for more of the body while earlier ones are on their way.
    if (bytes < kMaxChunkBytes && !bodyDone_ && requestOutstanding_ > 0) {
      break;
    }
    RequestBody body;
    body.key_ = { kLocalLink, attempts_.front().id_ };
    // A buffer with much room that was reserved stays for the rest of the body.
    if (bytes == pending_.size() && pending_.capacity() <= 2 * kMaxChunkBytes) {
      body.bytes_ = std::move(pending_);
      pending_.clear();
      body.last_ = bodyDone_;
    } else {
      body.bytes_ = pending_.substr(0, bytes);
      pending_.erase(0, bytes);
      body.last_ = pending_.empty() && bodyDone_;
    }
    bodySent_ = body.last_;
    requestOutstanding_ += bytes;
    SendToAttempt(attempts_.front(), std::move(body));
  }
  ReduceReservation();
  if (!bodyDone_) {
    connection_.ResumeBody();
  }
}

void
Exchange::SendDeferredBody()
{
  while (!bodySent_ && requestOutstanding_ < kBodyWindowBytes) {
    const std::size_t bytes = std::min(
      { pending_.size() - sentBytes_, kMaxChunkBytes, kBodyWindowBytes - requestOutstanding_ });
    RequestBody body;
    body.key_ = { kLocalLink, attempts_.front().id_ };
    body.bytes_ = pending_.substr(sentBytes_, bytes);
    sentBytes_ += bytes;
    body.last_ = sentBytes_ == pending_.size();
    bodySent_ = body.last_;
    requestOutstanding_ += bytes;
    SendToAttempt(attempts_.front(), std::move(body));
  }
  ReduceReservation();
}

BodyFraming
Exchange::FramingOf(const ResponseStart& aStart) const
{
  if (head_.method_ == "HEAD" || aStart.status_ == kNoContent || aStart.status_ == kNotModified) {
    return BodyFraming::None;
  }
  if (aStart.last_ || aStart.contentLength_) {
    return BodyFraming::ContentLength;
  }
  return connection_.SpeaksHttp11() ? BodyFraming::Chunked : BodyFraming::UntilClose;
}

void
Exchange::OnResponseStart(std::uint64_t aAttemptId, ResponseStart&& aStart)
{
  if (responding_) {
    BreakResponse("a second response began");
    return;
  }
  framing_ = FramingOf(aStart);
  const bool truncated = framing_ == BodyFraming::ContentLength && aStart.last_ &&
                         aStart.contentLength_ && *aStart.contentLength_ != aStart.body_.size();
  const bool invalid = aStart.status_ < kFirstFinalStatus || aStart.status_ > kLastStatus;
  if (truncated || invalid) {
    Refusal broken;
    broken.key_ = aStart.key_;
    broken.outcome_ = Outcome::Unknown;
    broken.code_ = ErrorCode::BackendFailed;
    broken.detail_ = truncated ? "the response body is incomplete" : "the status is invalid";
    OnResponseEvent(aAttemptId, std::move(broken));
    return;
  }
  responding_ = true;
  if (std::exchange(afterOverload_, false)) {
    core_.RetriesOfOverload().OnAnswered(start_.class_);
  }
  const TimePoint now = core_.Now();
  CancelAttempts(aAttemptId);
  ReduceReservation();
  core_.Timers().Remove(deadlineTimer_);
  core_.Timers().Remove(hedgeTimer_);
  if (MemberLoad* load = attempts_.front().load_) {
    load->OnResponse(aAttemptId, now);
    if (aStart.load_.slots_ > 0) {
      load->OnReport(aStart.load_, now);
    }
    core_.HedgesOf(entry_->route_->service_).OnLatency(now - firstSent_);
  }
  responseLength_ = aStart.contentLength_;
  if (aStart.last_ && !responseLength_) {
    responseLength_ = aStart.body_.size();
  }
  keepsConnection_ = connection_.KeepsAlive() && framing_ != BodyFraming::UntilClose;
  const bool showLength =
    responseLength_ && aStart.status_ != kNoContent &&
    (framing_ == BodyFraming::ContentLength || aStart.contentLength_.has_value());
  AppendResponseHead(
    connection_.Out(),
    core_.Settings().protocol_,
    { aStart, requestId_, framing_, responseLength_.value_or(0), showLength, !keepsConnection_ });
  core_.Outcomes().OnResponse(WorkspaceId(), aStart.status_);
  AppendBody(aStart.body_, aStart.last_);
}

void
Exchange::OnResponseBody(ResponseBody&& aBody)
{
  if (!responding_) {
    return;
  }
  AppendBody(aBody.bytes_, aBody.last_);
}

void
Exchange::AppendBody(std::string_view aBytes, bool aLast)
{
  received_ += aBytes.size();
  if (framing_ == BodyFraming::ContentLength) {
    const bool wrongLength =
      received_ > *responseLength_ || (aLast && received_ != *responseLength_);
    if (wrongLength) {
      BreakResponse("the response body does not have the stated length");
      return;
    }
  }
  // The window is that of one response; others wait in the output of the same connection.
  if (unsentBytes_ > kMaxUnsentBytes) {
    BreakResponse("the serving side ignores its window");
    return;
  }
  unsentBytes_ += aBytes.size();
  std::string& out = connection_.Out();
  if (framing_ == BodyFraming::Chunked) {
    AppendChunk(out, aBytes);
    out.append(aLast ? "0\r\n\r\n" : "");
  } else if (framing_ != BodyFraming::None) {
    out.append(aBytes);
  }
  connection_.Flush(aLast ? 0 : aBytes.size());
  if (aLast) {
    EndResponse();
  }
}

void
Exchange::OnResponseWritten(std::size_t aBytes)
{
  unsentBytes_ -= std::min(unsentBytes_, aBytes);
  if (finished_ || attempts_.empty()) {
    return;
  }
  SendToAttempt(
    attempts_.front(),
    ResponseCredit{ { kLocalLink, attempts_.front().id_ }, static_cast<std::uint32_t>(aBytes) });
}

void
Exchange::EndResponse()
{
  if (bodySent_) {
    EndAttempt(attempts_.front(), AttemptEnd::Answered);
    attempts_.clear();
  } else {
    // The response came before the end of the request body; the rest of the body is not sent.
    CancelAttempts(0);
  }
  keepsConnection_ = keepsConnection_ && bodyDone_;
  Finish();
  connection_.EndResponse();
}

void
Exchange::BreakResponse(const char* aDetail)
{
  if (connection_.DiscardResponse()) {
    // The caller has seen nothing of it, so the other requests of the connection can go on.
    Refuse(ErrorCode::BackendFailed, aDetail, Outcome::Unknown);
  } else {
    AbortResponse();
  }
}

void
Exchange::AbortResponse()
{
  CancelAttempts(0);
  Finish();
  connection_.AbortResponse();
}

} // namespace redwing::Detail
