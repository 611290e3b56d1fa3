#include "KeyedServer.hpp"

#include "bench/HttpCall.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <span>
#include <utility>

namespace redwing::test {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::uint32_t kKeys = 65536;
/// A heartbeat without a reply in this time was not confirmed.
constexpr milliseconds kReplyLimit{ 1000 };
/// Pause before the heartbeat that tells of released keys.
constexpr milliseconds kReleasePause{ 50 };
constexpr milliseconds kPoll{ 5 };

std::uint64_t
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

bool
Contains(const HeldRow& aRow, std::uint32_t aKey)
{
  return aRow.first_ <= aKey && aKey <= aRow.last_;
}

/// Returns the parts of aRow that no row of aOthers covers.
std::vector<HeldRow>
Without(const HeldRow& aRow, std::span<const HeldRow> aOthers)
{
  std::vector<HeldRow> parts;
  std::uint32_t key = aRow.first_;
  while (key <= aRow.last_) {
    std::uint32_t last = aRow.last_;
    const HeldRow* covering = nullptr;
    for (const HeldRow& other : aOthers) {
      if (Contains(other, key)) {
        covering = &other;
      } else if (other.first_ > key) {
        last = std::min(last, other.first_ - 1);
      }
    }
    if (covering == nullptr) {
      parts.push_back({ key, last, aRow.token_ });
    }
    key = (covering == nullptr ? last : covering->last_) + 1;
  }
  return parts;
}

} // namespace

KeyedServer::KeyedServer(boost::asio::io_context& aIo,
                         KeyedServerSettings aSettings,
                         OwnerJudge& aJudge)
  : io_(aIo)
  , settings_(std::move(aSettings))
  , judge_(aJudge)
  , startedAt_(UnixMs())
  , run_(settings_.id_ + "@" + std::to_string(startedAt_))
  , seen_(kKeys, 0)
{
  OnContext([this] {
    server_ = std::make_unique<standins::HttpServer>(
      io_, settings_.address_, [this](const standins::HttpExchangePtr& aExchange) {
        Handle(aExchange);
      });
    server_->Listen();
  });
  beats_ = std::thread([this] { Beat(); });
}

void
KeyedServer::End()
{
  {
    std::lock_guard lock(mutex_);
    if (ended_.exchange(true)) {
      return;
    }
  }
  OnContext([this] {
    *alive_ = false;
    server_.reset();
  });
  judge_.OnEnd(run_, steady_clock::now());
}

KeyedServer::~KeyedServer()
{
  End();
  beats_.join();
  for (std::thread& thread : aside_) {
    thread.join();
  }
}

void
KeyedServer::OnContext(const std::function<void()>& aTask)
{
  std::promise<void> done;
  boost::asio::post(io_, [&] {
    aTask();
    done.set_value();
  });
  done.get_future().wait();
}

std::vector<HeldRow>
KeyedServer::Holds() const
{
  std::lock_guard lock(mutex_);
  return Holding() ? rows_ : std::vector<HeldRow>();
}

void
KeyedServer::Refuse()
{
  OnContext([this] { server_->Close(); });
}

void
KeyedServer::StopListening()
{
  OnContext([this] { server_->StopListening(); });
}

void
KeyedServer::Accept()
{
  OnContext([this] { server_->Listen(); });
}

void
KeyedServer::Mute(milliseconds aTime)
{
  std::lock_guard lock(mutex_);
  muteUntil_ = steady_clock::now() + aTime;
}

void
KeyedServer::DelayHeartbeat(milliseconds aTime)
{
  std::lock_guard lock(mutex_);
  delay_ = aTime;
}

bool
KeyedServer::Leave()
{
  return bench::Call(settings_.heartbeats_, "DELETE", "/-/instances/" + settings_.id_).Ok();
}

void
KeyedServer::Beat()
{
  auto next = steady_clock::now();
  while (!ended_) {
    const auto now = steady_clock::now();
    const bool muted = [&] {
      std::lock_guard lock(mutex_);
      return now < muteUntil_;
    }();
    if (now < next || muted) {
      std::this_thread::sleep_for(kPoll);
      continue;
    }
    next = steady_clock::now() + (SendHeartbeat() ? kReleasePause : settings_.interval_);
  }
}

std::string
KeyedServer::MakeHeartbeat()
{
  FinishDropped();
  Json holds = Json::array();
  for (const HeldRow& row : Holding() ? rows_ : std::vector<HeldRow>()) {
    holds.push_back({ row.first_, row.last_, row.token_ });
  }
  for (const RunningRequest& request : running_) {
    if (!Holding() || RowOf(request.key_) == nullptr) {
      holds.push_back({ request.key_, request.key_, request.token_ });
    }
  }
  Json freed = Json::array();
  for (const Released& released : released_) {
    freed.push_back({ released.row_.first_, released.row_.last_, released.handover_ });
  }
  return Json{
    { "service", settings_.service_ },
    { "address", settings_.address_.ToString() },
    { "zone", "a" },
    { "version", settings_.version_ },
    { "slots", 12 },
    { "state", draining_ ? "draining" : "ready" },
    { "coldRemainingMs", 0 },
    { "born", startedAt_ },
    { "seq", ++sequence_ },
    { "holds", std::move(holds) },
    { "freed", std::move(freed) }
  }.dump();
}

void
KeyedServer::SendAside(std::string aBody, milliseconds aDelay)
{
  aside_.emplace_back([this, body = std::move(aBody), aDelay] {
    std::this_thread::sleep_for(aDelay);
    bench::Call(settings_.heartbeats_, "PUT", "/-/instances/" + settings_.id_, body);
  });
}

bool
KeyedServer::SendHeartbeat()
{
  std::string body;
  std::size_t told = 0;
  milliseconds delay{ 0 };
  {
    std::lock_guard lock(mutex_);
    body = MakeHeartbeat();
    told = released_.size();
    delay = std::exchange(delay_, milliseconds::zero());
  }
  if (delay > milliseconds::zero()) {
    SendAside(std::move(body), delay);
    return false;
  }
  if (twice_) {
    SendAside(body, milliseconds::zero());
  }
  const auto sentAt = steady_clock::now();
  const auto reply = bench::Call(settings_.heartbeats_,
                                 "PUT",
                                 "/-/instances/" + settings_.id_,
                                 body,
                                 {},
                                 static_cast<int>(kReplyLimit.count()));
  std::lock_guard lock(mutex_);
  if (ended_ || !reply.Ok() || steady_clock::now() - sentAt > kReplyLimit) {
    return false;
  }
  released_.erase(released_.begin(), released_.begin() + static_cast<std::ptrdiff_t>(told));
  Take(reply.body_, sentAt);
  return !dropped_.empty() || !released_.empty();
}

bool
KeyedServer::Acceptable(const HeldRow& aRow) const
{
  return std::all_of(seen_.begin() + aRow.first_,
                     seen_.begin() + aRow.last_ + 1,
                     [&](std::uint64_t aSeen) { return aSeen <= aRow.token_; });
}

void
KeyedServer::Take(const std::string& aReply, JudgeTime aSentAt)
{
  const Json reply = Json::parse(aReply, nullptr, false);
  if (!reply.is_object() || !reply.contains("holds")) {
    return;
  }
  std::vector<HeldRow> next;
  for (const Json& item : reply["holds"]) {
    const HeldRow row{ item[0].get<std::uint32_t>(),
                       item[1].get<std::uint32_t>(),
                       item[2].get<std::uint64_t>() };
    if (Acceptable(row)) {
      std::fill(seen_.begin() + row.first_, seen_.begin() + row.last_ + 1, row.token_);
      next.push_back(row);
    }
  }
  const auto now = steady_clock::now();
  if (Holding()) {
    for (const HeldRow& row : rows_) {
      const auto parts = Without(row, next);
      dropped_.insert(dropped_.end(), parts.begin(), parts.end());
    }
  }
  rows_ = std::move(next);
  const auto hold = std::chrono::duration<double, std::milli>(
    static_cast<double>(reply["holdDurationMs"].get<std::int64_t>()) * settings_.drift_);
  heldUntil_ = aSentAt + std::chrono::duration_cast<steady_clock::duration>(hold);
  judge_.OnHolds(run_, rows_, now, heldUntil_);
  FinishDropped();
}

void
KeyedServer::FinishDropped()
{
  std::erase_if(dropped_, [this](const HeldRow& aRow) {
    const bool runs = std::any_of(running_.begin(), running_.end(), [&](const auto& aRequest) {
      return Contains(aRow, aRequest.key_);
    });
    if (!runs) {
      released_.push_back({ aRow, run_ + "-" + std::to_string(++handovers_) });
    }
    return !runs;
  });
}

const HeldRow*
KeyedServer::RowOf(std::uint32_t aKey) const
{
  const auto row = std::find_if(
    rows_.begin(), rows_.end(), [aKey](const HeldRow& aRow) { return Contains(aRow, aKey); });
  return row == rows_.end() ? nullptr : &*row;
}

void
KeyedServer::Handle(const standins::HttpExchangePtr& aExchange)
{
  const auto& request = aExchange->Request();
  const std::string id(request.Header("X-Request-Id"));
  const std::string expected(request.Header("X-Expected-Instance"));
  const std::string key(request.Header("X-Shard-Key"));
  standins::HttpResponse response;
  response.headers_ = { { "X-Request-Id", id } };
  std::size_t number = 0;
  bool runs = false;
  if (!key.empty() && (expected.empty() || expected == settings_.id_)) {
    std::lock_guard lock(mutex_);
    const auto number16 = static_cast<std::uint32_t>(std::stoul(key));
    const HeldRow* row = Holding() ? RowOf(number16) : nullptr;
    if (row != nullptr) {
      number = judge_.OnBegin(run_, number16, steady_clock::now());
      running_.push_back({ number, number16, row->token_ });
      runs = true;
    }
  }
  ServerReply reply{ 200, settings_.work_ };
  if (settings_.begin_) {
    reply = settings_.begin_(request, runs);
  }
  if (!runs) {
    response.status_ = 421;
    response.headers_.push_back({ "X-Not-Executed", "1" });
    aExchange->Respond(std::move(response));
    return;
  }
  response.headers_.push_back({ "X-Server-Signature", run_ });
  response.status_ = reply.status_;
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, reply.work_);
  timer->async_wait([this, timer, alive = alive_, aExchange, response, number, reply](const auto&) {
    if (*alive) {
      EndRequest(number);
      if (settings_.end_) {
        settings_.end_(reply);
      }
      aExchange->Respond(response);
    }
  });
}

void
KeyedServer::EndRequest(std::size_t aNumber)
{
  std::lock_guard lock(mutex_);
  judge_.OnDone(aNumber, steady_clock::now());
  std::erase_if(running_, [&](const auto& aRequest) { return aRequest.number_ == aNumber; });
}

} // namespace redwing::test
