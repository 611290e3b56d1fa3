#include "backend/Backend.hpp"

#include "core/Hash.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

namespace redwing::standins {

using Json = nlohmann::json;

namespace {

constexpr std::int64_t kNsPerMs = 1'000'000;
/// A collapsed server takes this many times longer for each request.
constexpr double kCollapseFactor = 20;
constexpr std::int64_t kReportSampleMs = 10;
constexpr std::size_t kReportsKept = 1000;
/// Requests beyond this multiple of the slots are shed.
constexpr std::size_t kShedMultiple = 4;
constexpr std::size_t kStreamChunkBytes = 16384;
/// The load generator's caller keys start with this text.
constexpr std::string_view kCallerKeyText = "demo-";

std::uint64_t
ToNumber(std::string_view aText)
{
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

} // namespace

Backend::Backend(boost::asio::io_context& aIo, BackendSettings aSettings)
  : io_(aIo)
  , settings_(std::move(aSettings))
  , recorder_(settings_.recordFile_)
  , grants_(recorder_)
  , random_(settings_.seed_)
  , reportTimer_(aIo)
  , coldFromNs_(MonotonicNs())
  , coldMs_(settings_.coldMs_)
  , server_(
      aIo,
      settings_.address_,
      [this](const auto& aExchange) { Handle(aExchange); },
      settings_.connections_)
{
  server_.Listen();
  if (settings_.control_) {
    control_.emplace(
      aIo, *settings_.control_, [this](const auto& aExchange) { HandleControl(aExchange); });
    control_->Listen();
  }
  if (settings_.instance_) {
    Json body{ { "service", settings_.service_ },
               { "address", settings_.address_.ToString() },
               { "slots", settings_.slots_ },
               { "connections", settings_.connections_ },
               { "labels", settings_.labels_ } };
    announcer_.emplace(aIo, *settings_.instance_, body.dump());
  }
  SampleReport();
}

void
Backend::Shutdown()
{
  if (announcer_) {
    announcer_->Leave();
  }
  grants_.RecordOpen();
  recorder_.Write({ { "t", "end-of-record" }, { "at", MonotonicNs() } });
}

void
Backend::SampleReport()
{
  auto now = MonotonicNs();
  bool cold = ColdLimit(now) < settings_.slots_;
  reports_.push_back({ now, settings_.reportIdle_ ? 0 : runs_.size(), cold });
  if (reports_.size() > kReportsKept) {
    reports_.pop_front();
  }
  reportTimer_.expires_after(std::chrono::milliseconds(kReportSampleMs));
  reportTimer_.async_wait([this](auto) { SampleReport(); });
}

void
Backend::Handle(const HttpExchangePtr& aExchange)
{
  const auto& path = aExchange->Request().path_;
  if (path.starts_with("/redwing/")) {
    if (!HandleRouter(aExchange)) {
      aExchange->Respond({ 404, "{}" });
    }
  } else if (!settings_.control_ && path.starts_with("/control/")) {
    HandleControl(aExchange);
  } else {
    Start(aExchange);
  }
}

void
Backend::Health(const HttpExchangePtr& aExchange)
{
  auto until = MonotonicNs() - settings_.reportLagMs_ * kNsPerMs;
  Report report = reports_.front();
  for (const auto& sample : reports_) {
    if (sample.atNs_ > until) {
      break;
    }
    report = sample;
  }
  Json body{ { "ready", true },
             { "draining", draining_ },
             { "outstanding", report.outstanding_ },
             { "slots", settings_.slots_ },
             { "cold", report.cold_ && !settings_.reportIdle_ } };
  aExchange->Respond({ 200, body.dump() });
}

bool
Backend::HandleRouter(const HttpExchangePtr& aExchange)
{
  const auto& request = aExchange->Request();
  if (request.path_ == "/redwing/health") {
    Health(aExchange);
    return true;
  }
  Json body = Json::parse(request.body_, nullptr, false);
  if (!body.is_object()) {
    aExchange->Respond({ 400, R"({"error":"not a JSON object"})" });
  } else if (request.path_ == "/redwing/grants") {
    try {
      bool accepted = grants_.Replace(body, MonotonicNs());
      aExchange->Respond({ accepted ? 200U : 409U, "{}" });
    } catch (const Json::exception& error) {
      aExchange->Respond({ 400, Json{ { "error", error.what() } }.dump() });
    }
  } else if (request.path_ == "/redwing/cancel") {
    auto id = body.value("request_id", "");
    auto found = std::find_if(
      runs_.begin(), runs_.end(), [&](const auto& aRun) { return aRun.second->requestId_ == id; });
    bool running = found != runs_.end();
    if (running) {
      auto run = found->second;
      Finish(run, false);
    }
    aExchange->Respond({ 200, Json{ { "cancelled", running } }.dump() });
  } else {
    return false;
  }
  return true;
}

bool
Backend::GrantHolds(const HttpRequest& aRequest) const
{
  return !settings_.checkTokens_ || grants_.Allows(aRequest.Header("Redwing-Shard"),
                                                   ToNumber(aRequest.Header("Redwing-Token")),
                                                   MonotonicNs());
}

void
Backend::CheckForCallerKey(const HttpRequest& aRequest)
{
  bool seen =
    !aRequest.Header("Authorization").empty() ||
    aRequest.target_.find(kCallerKeyText) != std::string::npos ||
    aRequest.body_.find(kCallerKeyText) != std::string::npos ||
    std::any_of(aRequest.headers_.begin(), aRequest.headers_.end(), [](const auto& aItem) {
      return aItem.value_.find(kCallerKeyText) != std::string::npos;
    });
  if (seen) {
    ++keysSeen_;
    recorder_.Write({ { "t", "caller-key" }, { "load_id", aRequest.Header("Load-Id") } });
  }
}

std::size_t
Backend::ColdLimit(std::int64_t aNowNs) const
{
  auto elapsedMs = (aNowNs - coldFromNs_) / kNsPerMs;
  if (elapsedMs >= coldMs_) {
    return std::max<std::size_t>(settings_.slots_, 1) * kShedMultiple;
  }
  return 1 + settings_.slots_ * elapsedMs / coldMs_;
}

std::chrono::nanoseconds
Backend::ServiceTime()
{
  auto now = MonotonicNs();
  double factor = 1;
  if (settings_.exponential_) {
    factor = -std::log(1 - random_.Unit());
  }
  if (now < slowUntilNs_) {
    factor *= slowFactor_;
  }
  if (runs_.size() > ColdLimit(now) && !collapsed_) {
    collapsed_ = true;
    ++collapses_;
    recorder_.Write({ { "t", "collapse" }, { "at", now } });
  }
  if (collapsed_) {
    factor *= kCollapseFactor;
  }
  // Beyond the slots the requests share the capacity of the server.
  factor *= std::max(1.0, static_cast<double>(runs_.size()) / std::max(settings_.slots_, 1U));
  return std::chrono::nanoseconds(
    static_cast<std::int64_t>(static_cast<double>(settings_.serviceTimeUs_) * 1000 * factor));
}

void
Backend::Start(const HttpExchangePtr& aExchange)
{
  const auto& request = aExchange->Request();
  if (!request.Header("Poison").empty()) {
    recorder_.Write({ { "t", "crash" },
                      { "at", MonotonicNs() },
                      { "load_id", request.Header("Load-Id") },
                      { "request_id", request.Header("Redwing-Request-Id") } });
    ::_exit(70);
  }
  CheckForCallerKey(request);
  if (!GrantHolds(request) || runs_.size() >= settings_.slots_ * kShedMultiple) {
    ++shed_;
    aExchange->Respond(
      { 503, R"({"error":"shed"})", "application/json", { { "Redwing-Shed", "not-run" } } });
    return;
  }
  auto now = MonotonicNs();
  auto deadlineMs = ToNumber(request.Header("Redwing-Deadline-Ms"));
  RunPtr run(new Run{ nextRun_++,
                      std::string(request.Header("Redwing-Request-Id")),
                      std::string(request.Header("Load-Id")),
                      deadlineMs == 0 ? 0 : now + static_cast<std::int64_t>(deadlineMs) * kNsPerMs,
                      false,
                      aExchange,
                      boost::asio::steady_timer(io_) });
  recorder_.Write({ { "t", "run" },
                    { "n", run->number_ },
                    { "request_id", run->requestId_ },
                    { "load_id", run->loadId_ },
                    { "idempotency_key", request.Header("Idempotency-Key") },
                    { "workspace", request.Header("Redwing-Workspace") },
                    { "shard", request.Header("Redwing-Shard") },
                    { "token", ToNumber(request.Header("Redwing-Token")) },
                    { "start", now } });
  runs_.emplace(run->number_, run);
  auto time = ServiceTime();
  bool late = run->deadlineNs_ != 0 && now + time.count() > run->deadlineNs_;
  run->timer_.expires_after(late ? std::chrono::nanoseconds(run->deadlineNs_ - now) : time);
  run->timer_.async_wait([this, run, late](auto) { Finish(run, !late); });
}

void
Backend::Finish(const RunPtr& aRun, bool aComplete)
{
  if (aRun->ended_) {
    return;
  }
  aRun->ended_ = true;
  aRun->timer_.cancel();
  recorder_.Write({ { "t", "end" },
                    { "n", aRun->number_ },
                    { "end", MonotonicNs() },
                    { "complete", aComplete } });
  if (aComplete) {
    Answer(*aRun);
  } else {
    aRun->exchange_->Respond({ 504, R"({"error":"cancelled or past its deadline"})" });
  }
  runs_.erase(aRun->number_);
  if (runs_.empty()) {
    collapsed_ = false;
  }
}

void
Backend::Answer(const Run& aRun)
{
  const auto& request = aRun.exchange_->Request();
  auto length = static_cast<std::size_t>(request.Query("bytes", 0));
  std::string body = ExpectedBody(aRun.loadId_, length);
  HttpResponse response;
  response.headers_ = { { "Load-Id", aRun.loadId_ },
                        { "Load-Checksum", std::to_string(HashBytes(body)) } };
  bool binary = request.Query("binary", 0) != 0;
  if (binary) {
    response.contentType_ = "application/octet-stream";
    response.body_ = std::move(body);
  } else {
    Json head{ { "load_id", aRun.loadId_ },
               { "request_id", aRun.requestId_ },
               { "path", request.path_ },
               { "workspace", request.Header("Redwing-Workspace") },
               { "server", settings_.address_.ToString() },
               { "request_bytes", request.body_.size() },
               { "request_checksum", std::to_string(HashBytes(request.body_)) } };
    response.body_ = head.dump(-1, ' ', false, Json::error_handler_t::replace);
    response.body_.pop_back();
    response.body_ += R"(,"body":")" + body + "\"}";
  }
  if (request.Query("stream", 0) == 0) {
    aRun.exchange_->Respond(std::move(response));
    return;
  }
  std::string whole = std::move(response.body_);
  response.body_.clear();
  aRun.exchange_->StartStream(std::move(response));
  for (std::size_t at = 0; at < whole.size(); at += kStreamChunkBytes) {
    aRun.exchange_->Write(whole.substr(at, kStreamChunkBytes));
  }
  aRun.exchange_->Finish();
}

void
Backend::Freeze(std::int64_t aMs)
{
  // Blocking the only thread stops answers, announcements and health reports at once, as a frozen
  // server does; the delay lets the response of the command leave first.
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(5));
  timer->async_wait([timer, aMs](auto) { //
    std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
  });
}

void
Backend::HandleControl(const HttpExchangePtr& aExchange)
{
  const auto& request = aExchange->Request();
  auto now = MonotonicNs();
  if (request.path_ == "/control/cold") {
    coldMs_ = request.Query("ms", settings_.coldMs_ > 0 ? settings_.coldMs_ : 5000);
    coldFromNs_ = now;
  } else if (request.path_ == "/control/slow") {
    slowFactor_ = static_cast<double>(request.Query("factor", 20));
    slowUntilNs_ = now + request.Query("ms", 2000) * kNsPerMs;
  } else if (request.path_ == "/control/freeze") {
    Freeze(request.Query("ms", 1000));
  } else if (request.path_ == "/control/drain") {
    draining_ = true;
  } else if (request.path_ == "/control/stall-connections") {
    server_.StallConnections();
  } else if (request.path_ == "/control/records") {
    aExchange->Respond({ 200, recorder_.All() });
    return;
  } else if (request.path_ != "/control/counts") {
    aExchange->Respond({ 404, "{}" });
    return;
  }
  aExchange->Respond({ 200,
                       Json{ { "runs", nextRun_ },
                             { "running", runs_.size() },
                             { "shed", shed_ },
                             { "collapses", collapses_ },
                             { "caller_keys_seen", keysSeen_ } }
                         .dump() });
}

} // namespace redwing::standins
