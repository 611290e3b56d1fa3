#include "intake/Exchange.hpp"

#include "core/Hash.hpp"
#include "intake/CallerSlot.hpp"
#include "intake/IntakeCore.hpp"
#include "routing/ShardMap.hpp"

#include <algorithm>
#include <limits>

namespace redwing::Detail {

namespace {

constexpr unsigned kServiceUnavailable = 503;
constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;

std::uint64_t
Combine(std::uint64_t aSeed, std::string_view aText)
{
  return aSeed * kMultiplier ^ HashBytes(aText);
}

bool
IsTemporary(ErrorCode aCode)
{
  return HttpStatus(aCode) == kServiceUnavailable && aCode != ErrorCode::PoisonRequest;
}

const std::string*
FindHeader(const HeaderList& aHeaders, std::string_view aName)
{
  for (const Header& header : aHeaders) {
    if (SameName(header.name_, aName)) {
      return &header.value_;
    }
  }
  return nullptr;
}

} // namespace

Exchange::Exchange(IntakeCore& aCore, CallerSlot& aConnection, TimePoint aArrived)
  : core_(aCore)
  , connection_(aConnection)
  , id_(aCore.NextExchangeId())
  , requestId_(aCore.NextRequestId())
  , arrived_(aArrived)
  , headHeld_(aCore.Memory(), MemoryHolder::CallerConnections)
  , bodyHeld_(aCore.Memory(), MemoryHolder::RequestBodies)
{
  core_.AddExchange(id_, *this);
}

Exchange::~Exchange()
{
  Finish();
}

void
Exchange::Begin(std::string&& aMethod,
                std::string&& aTarget,
                HeaderList&& aHeaders,
                std::optional<std::uint64_t> aContentLength,
                bool aBodyDone)
{
  bodyDone_ = aBodyDone;
  contentLength_ = aContentLength;
  if (const char* fault = CleanHead(core_.Settings().protocol_,
                                    std::move(aMethod),
                                    std::move(aTarget),
                                    std::move(aHeaders),
                                    head_)) {
    Refuse(ErrorCode::BadRequest, fault);
    return;
  }
  if (!head_.requestId_.empty()) {
    requestId_ = head_.requestId_;
  }
  if (aContentLength && BodyTooLarge(*aContentLength)) {
    core_.Memory().Count(MemoryAction::BodyTooLarge);
    Refuse(ErrorCode::BodyTooLarge, "the request body is too large");
    return;
  }
  if (core_.ExchangeCount() > core_.Settings().maxExchanges_) {
    Refuse(ErrorCode::QueueFull, "too many requests in progress");
    return;
  }
  routes_ = core_.Routes();
  entry_ = routes_->Match(head_.method_, head_.Path(), head_.host_);
  if (entry_ == nullptr) {
    const bool known = routes_->Revision().revision_ != 0;
    Refuse(known ? ErrorCode::NoRoute : ErrorCode::ConfigurationStale,
           known ? "no route matches the method and path" : "no configuration is known yet");
    return;
  }
  ChoosePart();
  if (!Authenticate() || !FindShard()) {
    return;
  }
  const Route& route = *entry_->route_;
  auto wait = route.timeout_;
  if (head_.timeout_) {
    wait = std::min(wait, *head_.timeout_ - core_.Settings().replyMargin_);
  }
  deadline_ = arrived_ + wait;
  BuildStart(aContentLength);
  deadlineTimer_ = core_.Timers().Add(deadline_, id_, TimerKind::Deadline);
  if (workspace_ == nullptr) {
    OnRateDecision({ true });
    return;
  }
  core_.Dependencies().rateLimiter_(
    *workspace_, deadline_, [core = &core_, id = id_](const RateAnswer& aAnswer) {
      return core->OnRateDecision(id, aAnswer);
    });
}

void
Exchange::Reject(const char* aFault)
{
  bodyDone_ = false;
  Refuse(ErrorCode::BadRequest, aFault);
}

void
Exchange::ChoosePart()
{
  if (!entry_->parts_.empty()) {
    entry_ = &entry_->parts_[core_.NextPart(*entry_)];
  }
}

bool
Exchange::BodyTooLarge(std::uint64_t aBytes) const
{
  const std::uint64_t limit = core_.Bounds().bodyBytes_;
  return limit > 0 && aBytes > limit;
}

bool
Exchange::Authenticate()
{
  if (entry_->route_->open_) {
    workspace_ = entry_->openWorkspace_;
    return true;
  }
  if (!head_.hasAuthorization_) {
    Refuse(ErrorCode::MissingKey, "the route needs an API key");
    return false;
  }
  if (!core_.View().configurationCurrent_) {
    Refuse(ErrorCode::ConfigurationStale, "the configuration is not confirmed to be current");
    return false;
  }
  const CallerKey* key = core_.Credentials().Find(head_.apiKey_);
  const Workspace* workspace = key == nullptr ? nullptr : routes_->FindWorkspace(key->workspace_);
  if (workspace == nullptr) {
    Refuse(ErrorCode::InvalidKey, "the API key is unknown");
    return false;
  }
  key_ = key;
  workspace_ = workspace;
  if (!RouteTable::Allows(*entry_, workspace->id_)) {
    Refuse(ErrorCode::KeyNotAllowed, "the workspace may not use this route");
    return false;
  }
  return true;
}

bool
Exchange::FindShard()
{
  const Service& service = *entry_->service_;
  if (service.mode_ != ServiceMode::Keyed) {
    return true;
  }
  const Route& route = *entry_->route_;
  std::optional<std::string> key;
  if (route.keySource_ == KeySource::PathSegment) {
    key = PathSegment(head_.Path(), route.keySegment_);
  } else if (route.keySource_ == KeySource::Header) {
    if (const std::string* value = FindHeader(head_.headers_, route.keyHeader_)) {
      key = *value;
    }
  }
  if (!key || key->empty()) {
    Refuse(ErrorCode::MissingRoutingKey, "the request has no routing key");
    return false;
  }
  if (service.shards_ == 0) {
    Refuse(ErrorCode::NoOwner, "the service has no shards");
    return false;
  }
  const auto shard = ShardOf(*key, service);
  if (!shard) {
    Refuse(ErrorCode::MissingRoutingKey, "the routing key is not a number in the range of keys");
    return false;
  }
  start_.shard_ = ShardTarget{ *shard, 0 };
  return true;
}

void
Exchange::BuildStart(std::optional<std::uint64_t> aContentLength)
{
  const Route& route = *entry_->route_;
  start_.requestId_ = requestId_;
  start_.service_ = route.service_;
  start_.class_ = route.id_;
  if (workspace_ != nullptr) {
    start_.workspace_ = workspace_->id_;
    start_.weight_ = workspace_->weight_;
  }
  start_.method_ = head_.method_;
  start_.target_ = head_.target_;
  start_.headers_ = std::move(head_.headers_);
  const IntakeSettings& settings = core_.Settings();
  if (!settings.protocol_.originHeader_.empty()) {
    start_.headers_.push_back({ settings.protocol_.originHeader_, settings.originService_ });
  }
  start_.deadline_ = deadline_;
  start_.targetTime_ = route.targetLatency_.count() > 0
                         ? std::min(deadline_, arrived_ + route.targetLatency_)
                         : deadline_;
  start_.priority_ = route.priority_;
  if (workspace_ != nullptr && workspace_->priority_) {
    start_.priority_ = *workspace_->priority_;
  }
  // Without workspaces in the configuration, the serving instance tells calls by their origin.
  const bool call =
    workspace_ == nullptr && !routes_->Revision().configuration_.workspaces_.empty();
  constexpr int kLowest = std::numeric_limits<std::uint8_t>::max();
  if (settings.callsFirst_) {
    start_.priority_ =
      call ? 0 : static_cast<std::uint8_t>(std::min(start_.priority_ + 1, kLowest));
  }
  if (settings.returningLast_ && !call && head_.timeout_ &&
      core_.Returning().Returns(route.id_, *head_.timeout_, arrived_)) {
    constexpr int kBehindAllOthers = 128;
    start_.priority_ =
      static_cast<std::uint8_t>(std::min(start_.priority_ + kBehindAllOthers, kLowest));
  }
  if (settings.weighsByRate_ && workspace_ != nullptr) {
    start_.weight_ = static_cast<std::uint32_t>(std::max(1.0, workspace_->rate_));
  }
  start_.idempotent_ = route.idempotent_;
  start_.idempotencyKey_ = head_.idempotencyKey_;
  start_.contentLength_ = aContentLength;
  start_.configurationRevision_ = routes_->Revision().revision_;
  if (key_ != nullptr) {
    start_.keyId_ = key_->id_;
  }
  // The API key is of no use from here on.
  head_.apiKey_.clear();
}

bool
Exchange::OnRateDecision(const RateAnswer& aAnswer)
{
  if (finished_ || admitted_) {
    return false;
  }
  if (!aAnswer.admitted_) {
    Refuse(ErrorCode::RateLimited,
           "the workspace is over its rate",
           Outcome::NotRun,
           aAnswer.retryAfterMs_);
    return false;
  }
  admitted_ = true;
  token_ = aAnswer.token_;
  if (!bodyDone_ && head_.expectsContinue_ && connection_.SpeaksHttp11()) {
    connection_.Out().append("HTTP/1.1 100 Continue\r\n\r\n");
    connection_.Flush(0);
  }
  BeginWhenReady();
  return true;
}

void
Exchange::OnBody(std::string&& aBytes, bool aLast)
{
  bodyDone_ = aLast;
  bodyBytes_ += aBytes.size();
  if (BodyTooLarge(bodyBytes_)) {
    EndTooLarge();
    return;
  }
  if (pending_.empty() && pending_.capacity() < aBytes.size()) {
    pending_ = std::move(aBytes);
  } else {
    pending_.append(aBytes);
  }
  if (!started_) {
    BeginWhenReady();
  } else {
    SendBody();
  }
}

void
Exchange::OnMalformedBody()
{
  if (responding_) {
    AbortResponse();
    return;
  }
  const bool mayHaveRun = !attempts_.empty() || unknownCount_ > 0;
  Refuse(ErrorCode::BadRequest,
         "the request body is malformed",
         mayHaveRun ? Outcome::Unknown : Outcome::NotRun);
}

bool
Exchange::WantsBody() const
{
  return !finished_ && pending_.size() < core_.Settings().bufferedBodyBytes_;
}

void
Exchange::BeginWhenReady()
{
  // Waiting for the body keeps a slow upload from holding a slot and makes small bodies replayable.
  const std::size_t buffered = core_.Settings().bufferedBodyBytes_;
  if (finished_ || !admitted_ || started_ || (!bodyDone_ && pending_.size() < buffered)) {
    return;
  }
  started_ = true;
  streamed_ = !bodyDone_ || pending_.size() > buffered;
  const std::size_t eager = core_.Settings().eagerBodyBytes_;
  deferred_ = !streamed_ && eager > 0 && pending_.size() > eager;
  if (streamed_) {
    start_.body_ = pending_.substr(0, kMaxChunkBytes);
    pending_.erase(0, kMaxChunkBytes);
  } else if (deferred_) {
    start_.contentLength_ = pending_.size();
  } else {
    start_.body_ = std::move(pending_);
    pending_.clear();
    start_.contentLength_ = start_.body_.size();
  }
  start_.last_ = !streamed_ && !deferred_;
  bodySent_ = start_.last_;
  requestOutstanding_ = start_.body_.size();
  start_.fingerprint_ =
    Combine(Combine(Combine(HashBytes(start_.workspace_), start_.method_), start_.target_),
            deferred_ ? pending_ : start_.body_);
  core_.Retries().OnRequest(start_.workspace_, start_.service_);
  core_.RetriesOfOverload().OnRequest(start_.class_);
  SendAttempt("first");
}

void
Exchange::Refuse(ErrorCode aCode,
                 std::string aDetail,
                 Outcome aOutcome,
                 std::optional<std::uint32_t> aRetryAfterMs)
{
  if (finished_) {
    return;
  }
  CancelAttempts(0);
  Finish();
  if (aOutcome == Outcome::NotRun) {
    ReturnToken();
  }
  core_.Outcomes().OnRefusal(WorkspaceId(), aCode, aOutcome);
  core_.Log().Write(
    { requestId_,
      WorkspaceId(),
      entry_ == nullptr ? std::string_view() : std::string_view(entry_->route_->id_),
      ToText(aCode),
      ToText(aOutcome),
      aDetail,
      attemptCount_,
      core_.Now() - arrived_,
      core_.Routes()->Revision().revision_ });
  if (!aRetryAfterMs && IsTemporary(aCode)) {
    aRetryAfterMs = static_cast<std::uint32_t>(core_.Settings().defaultRetryAfter_.count());
  }
  Refusal refusal;
  refusal.outcome_ = aOutcome;
  refusal.code_ = aCode;
  refusal.detail_ = std::move(aDetail);
  refusal.retryAfterMs_ = aRetryAfterMs;
  keepsConnection_ = connection_.KeepsAlive();
  AppendRefusal(connection_.Out(),
                core_.Settings().protocol_,
                refusal,
                requestId_,
                head_.method_ == "HEAD",
                !keepsConnection_);
  connection_.Flush(0);
  connection_.EndResponse();
}

void
Exchange::ReturnToken()
{
  if (admitted_ && workspace_ != nullptr && core_.Dependencies().returnToken_) {
    core_.Dependencies().returnToken_(*workspace_, token_);
  }
}

const std::string&
Exchange::WorkspaceId() const
{
  static const std::string kNone;
  return workspace_ == nullptr ? kNone : workspace_->id_;
}

const std::string&
Exchange::ServiceId() const
{
  return entry_->route_->service_;
}

void
Exchange::Finish()
{
  if (finished_) {
    return;
  }
  finished_ = true;
  core_.Timers().Remove(deadlineTimer_);
  core_.Timers().Remove(retryTimer_);
  core_.Timers().Remove(hedgeTimer_);
  core_.RemoveExchange(id_);
}

void
Exchange::OnCallerGone()
{
  if (finished_) {
    return;
  }
  const bool routed = attemptCount_ > 0;
  core_.AbandonedCounter(routed).Add();
  core_.Log().Write(
    { requestId_,
      WorkspaceId(),
      entry_ == nullptr ? std::string_view() : std::string_view(entry_->route_->id_),
      attemptCount_,
      core_.Now() - arrived_,
      connection_.IsFirstOfConnection() });
  CancelAttempts(0);
  Finish();
  if (!routed) {
    ReturnToken();
  }
}

} // namespace redwing::Detail
