#include "load/Worker.hpp"

#include "common/HttpServer.hpp"

#include <algorithm>

namespace redwing::standins {

namespace {

constexpr std::int64_t kNsPerMs = 1'000'000;
constexpr std::chrono::milliseconds kSweepInterval{ 20 };
/// How many targets are tried when no connection can be opened.
constexpr std::uint16_t kConnectAttempts = 4;

bool
BodyIsExpected(const LoadRequest& aRequest, const std::string& aLoadId, const std::string& aBody)
{
  std::string expected = ExpectedBody(aLoadId, aRequest.bytes_);
  if (aRequest.binary_) {
    return aBody == expected;
  }
  return aBody.starts_with('{') && aBody.ends_with("\"body\":\"" + expected + "\"}") &&
         aBody.find("\"load_id\":\"" + aLoadId + "\"") != std::string::npos;
}

} // namespace

Worker::Worker(const LoadPlan& aPlan,
               std::span<LoadItem> aItems,
               std::size_t aFirst,
               std::size_t aStride,
               std::int64_t aStartNs)
  : plan_(aPlan)
  , items_(aItems)
  , next_(aFirst)
  , stride_(aStride)
  , startNs_(aStartNs)
  , targets_(aPlan.targets_.size())
{
  for (std::size_t i = aFirst; i < items_.size(); i += stride_) {
    ++open_;
  }
}

void
Worker::Run()
{
  Pump();
  Sweep();
  io_.run();
}

void
Worker::Pump()
{
  auto now = MonotonicNs() - startNs_;
  while (next_ < items_.size() && items_[next_].scheduledNs_ <= now) {
    auto& item = items_[next_];
    next_ += stride_;
    Dispatch(item, item.target_);
  }
  if (next_ < items_.size()) {
    // The steady clock of libstdc++ is CLOCK_MONOTONIC.
    std::chrono::nanoseconds due(startNs_ + items_[next_].scheduledNs_);
    arrivals_.expires_at(std::chrono::steady_clock::time_point(due));
    arrivals_.async_wait([this](auto) { Pump(); });
  }
}

void
Worker::Sweep()
{
  auto now = MonotonicNs();
  for (auto& active : active_) {
    if (active.deadlineNs_ <= now) {
      active.connection_->Abort();
    }
  }
  if (open_ > 0) {
    sweep_.expires_after(kSweepInterval);
    sweep_.async_wait([this](auto) { Sweep(); });
  }
}

void
Worker::Dispatch(LoadItem& aItem, std::size_t aTarget)
{
  auto& target = targets_[aTarget];
  if (target.busy_ >= plan_.connections_) {
    target.waiting_.push_back(&aItem);
    return;
  }
  std::shared_ptr<Connection> connection;
  if (target.idle_.empty()) {
    connection = Connection::Create(io_, plan_.targets_[aTarget]);
  } else {
    connection = std::move(target.idle_.back());
    target.idle_.pop_back();
  }
  ++target.busy_;
  ++aItem.attempts_;
  aItem.target_ = static_cast<std::uint16_t>(aTarget);
  auto active = active_.insert(
    active_.end(), { connection, MonotonicNs() + plan_.timeoutMs_ * kNsPerMs, aTarget });
  connection->Send(RequestText(aItem),
                   [this, &aItem, active](const Reply& aReply) { OnReply(aItem, active, aReply); });
}

void
Worker::OnReply(LoadItem& aItem, std::list<Active>::iterator aActive, const Reply& aReply)
{
  auto at = aActive->target_;
  auto& target = targets_[at];
  auto connection = std::move(aActive->connection_);
  active_.erase(aActive);
  --target.busy_;
  if (connection->Usable()) {
    target.idle_.push_back(std::move(connection));
  }
  Classify(aItem, aReply);
  if (!Retry(aItem, at, aReply.kind_)) {
    aItem.doneNs_ = MonotonicNs() - startNs_;
    --open_;
  }
  if (!target.waiting_.empty()) {
    auto& waiting = *target.waiting_.front();
    target.waiting_.pop_front();
    Dispatch(waiting, at);
  }
}

bool
Worker::Retry(LoadItem& aItem, std::size_t aTarget, ReplyKind aKind)
{
  const auto& request = plan_.requests_[aItem.request_];
  bool connect = aKind == ReplyKind::NotConnected && aItem.attempts_ < kConnectAttempts;
  bool resend = aItem.outcome_ == LoadOutcome::Unknown && aItem.attempts_ <= request.resend_;
  if (!connect && !resend) {
    return false;
  }
  aItem.unknownBefore_ += resend ? 1 : 0;
  Dispatch(aItem, (aTarget + 1) % targets_.size());
  return true;
}

void
Worker::Classify(LoadItem& aItem, const Reply& aReply) const
{
  aItem.status_ = static_cast<std::uint16_t>(aReply.status_);
  aItem.code_ = aReply.error_;
  if (aReply.kind_ == ReplyKind::NotConnected) {
    aItem.outcome_ = LoadOutcome::ConnectError;
  } else if (aReply.kind_ == ReplyKind::Broken) {
    aItem.outcome_ = LoadOutcome::Unknown;
    aItem.code_ = "broken_connection";
  } else if (aReply.outcome_ == "not-run" || aReply.shed_ == "not-run") {
    aItem.outcome_ = LoadOutcome::RefusedNotRun;
  } else if (aReply.outcome_ == "unknown" || aReply.status_ != 200) {
    aItem.outcome_ = LoadOutcome::Unknown;
  } else if (BodyIsExpected(plan_.requests_[aItem.request_], LoadId(plan_, aItem), aReply.body_)) {
    aItem.outcome_ = LoadOutcome::Ok;
  } else {
    aItem.outcome_ = LoadOutcome::WrongAnswer;
  }
}

std::string
Worker::RequestText(const LoadItem& aItem) const
{
  const auto& request = plan_.requests_[aItem.request_];
  const auto& workspace = plan_.workspaces_[aItem.workspace_];
  std::string loadId = LoadId(plan_, aItem);
  std::string path = request.path_;
  if (auto at = path.find("{key}"); at != std::string::npos) {
    path.replace(at, 5, workspace.id_ + "-" + std::to_string(aItem.key_));
  }
  path += "?bytes=" + std::to_string(request.bytes_);
  path += request.binary_ ? "&binary=1" : "";
  path += request.stream_ ? "&stream=1" : "";
  std::string text = request.method_ + " " + path + " HTTP/1.1\r\nHost: redwing\r\nLoad-Id: ";
  text += loadId + "\r\n";
  if (!workspace.key_.empty()) {
    text += "Authorization: Bearer " + workspace.key_ + "\r\n";
  }
  if (request.idempotencyKey_) {
    text += "Idempotency-Key: " + loadId + "\r\n";
  }
  for (const auto& header : request.headers_) {
    text += header + "\r\n";
  }
  if (request.requestBytes_ > 0 || request.method_ != "GET") {
    text += "Content-Type: application/octet-stream\r\nContent-Length: " +
            std::to_string(request.requestBytes_) + "\r\n";
  }
  return text + "\r\n" + ExpectedBody(loadId, request.requestBytes_);
}

} // namespace redwing::standins
