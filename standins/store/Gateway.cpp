#include "store/Gateway.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace redwing::standins {

using Json = nlohmann::json;

namespace {

namespace base64 = boost::beast::detail::base64;

constexpr std::int64_t kMsPerSecond = 1000;

std::string
Encode(const std::string& aText)
{
  std::string result(base64::encoded_size(aText.size()), '\0');
  result.resize(base64::encode(result.data(), aText.data(), aText.size()));
  return result;
}

std::string
Decode(std::string aText)
{
  // The decoder stops at padding.
  std::string result(base64::decoded_size(aText.size()), '\0');
  result.resize(base64::decode(result.data(), aText.data(), aText.size()).first);
  return result;
}

/// The gateway accepts field names in snake case and in lower camel case.
const Json*
Field(const Json& aObject, const std::string& aSnake)
{
  auto found = aObject.find(aSnake);
  if (found == aObject.end()) {
    std::string camel;
    for (std::size_t i = 0; i < aSnake.size(); ++i) {
      camel += aSnake[i] == '_' ? static_cast<char>(std::toupper(aSnake[++i])) : aSnake[i];
    }
    found = aObject.find(camel);
  }
  return found == aObject.end() ? nullptr : &*found;
}

std::string
Bytes(const Json& aObject, const std::string& aName)
{
  const auto* field = Field(aObject, aName);
  return field == nullptr ? std::string() : Decode(field->get<std::string>());
}

std::int64_t
Number(const Json& aObject, const std::string& aName)
{
  const auto* field = Field(aObject, aName);
  if (field == nullptr) {
    return 0;
  }
  return field->is_string() ? std::stoll(field->get<std::string>()) : field->get<std::int64_t>();
}

KeyRange
RangeOf(const Json& aObject)
{
  return { Bytes(aObject, "key"), Bytes(aObject, "range_end") };
}

/// Fields with default values are absent, as in the gateway.
Json
ToJson(const KeyValue& aKv)
{
  Json result{ { "key", Encode(aKv.key_) }, { "mod_revision", std::to_string(aKv.modRevision_) } };
  if (aKv.version_ > 0) {
    result["create_revision"] = std::to_string(aKv.createRevision_);
    result["version"] = std::to_string(aKv.version_);
  }
  if (!aKv.value_.empty()) {
    result["value"] = Encode(aKv.value_);
  }
  if (aKv.lease_ != 0) {
    result["lease"] = std::to_string(aKv.lease_);
  }
  return result;
}

Json
ToJson(const StoreEvent& aEvent)
{
  Json result{ { "kv", ToJson(aEvent.kv_) } };
  if (aEvent.deleted_) {
    result["type"] = "DELETE";
  }
  return result;
}

} // namespace

Gateway::Gateway(boost::asio::io_context& aIo, Address aAddress, Address aControl)
  : io_(aIo)
  , store_([this](const auto& aEvents) { Notify(aEvents); })
  , server_(aIo, std::move(aAddress), [this](const auto& aExchange) { Handle(aExchange); })
  , control_(aIo, std::move(aControl), [this](const auto& aExchange) { Control(aExchange); })
  , expiry_(aIo)
{
  server_.Listen();
  control_.Listen();
  ScheduleExpiry();
}

void
Gateway::ScheduleExpiry()
{
  expiry_.expires_after(std::chrono::milliseconds(50));
  expiry_.async_wait([this](auto) {
    store_.ExpireLeases(MonotonicNs());
    watches_.remove_if([](const Watch& aWatch) { return !aWatch.exchange_->Open(); });
    ScheduleExpiry();
  });
}

Json
Gateway::Header() const
{
  return { { "cluster_id", "1" },
           { "member_id", "1" },
           { "revision", std::to_string(store_.Revision()) },
           { "raft_term", "1" } };
}

void
Gateway::Handle(const HttpExchangePtr& aExchange)
{
  if (slowMs_ == 0) {
    Dispatch(aExchange);
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(slowMs_));
  timer->async_wait([this, timer, aExchange](auto) { Dispatch(aExchange); });
}

void
Gateway::Reply(const HttpExchangePtr& aExchange, HttpResponse aResponse, bool aWrite)
{
  if (aWrite && loseReplies_ > 0) {
    --loseReplies_;
    ++lostReplies_;
    aExchange->Close();
    return;
  }
  aExchange->Respond(std::move(aResponse));
}

void
Gateway::Dispatch(const HttpExchangePtr& aExchange)
{
  const auto& path = aExchange->Request().path_;
  ++counts_[path];
  try {
    Json body = Json::parse(aExchange->Request().body_);
    Json result{ { "header", Header() } };
    bool write = true;
    if (path == "/v3/kv/range") {
      write = false;
      result = Range(body);
    } else if (path == "/v3/kv/txn") {
      result = Transaction(body);
    } else if (path == "/v3/kv/put" || path == "/v3/kv/deleterange") {
      store_.Begin();
      Json inner = Operation(
        { { path == "/v3/kv/put" ? "request_put" : "request_delete_range", std::move(body) } });
      store_.Commit();
      result = inner.begin().value();
      result["header"] = Header();
    } else if (path == "/v3/lease/grant") {
      auto ttl = Number(body, "TTL");
      result["ID"] =
        std::to_string(store_.GrantLease(Number(body, "ID"), ttl * kMsPerSecond, MonotonicNs()));
      result["TTL"] = std::to_string(ttl);
    } else if (path == "/v3/lease/keepalive") {
      auto ttl = store_.KeepAlive(Number(body, "ID"), MonotonicNs()) / kMsPerSecond;
      result["ID"] = std::to_string(Number(body, "ID"));
      if (ttl > 0) {
        result["TTL"] = std::to_string(ttl);
      }
      result = { { "result", result } };
    } else if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
      store_.RevokeLease(Number(body, "ID"));
    } else if (path == "/v3/watch") {
      StartWatch(aExchange, body);
      return;
    } else {
      aExchange->Respond({ 404, R"({"code":5,"message":"Not Found"})" });
      return;
    }
    Reply(aExchange, { 200, result.dump() }, write);
  } catch (const std::exception& error) {
    aExchange->Respond({ 400, Json{ { "code", 3 }, { "message", error.what() } }.dump() });
  }
}

Json
Gateway::Range(const Json& aBody) const
{
  auto entries = store_.Range(RangeOf(aBody));
  auto limit = static_cast<std::size_t>(Number(aBody, "limit"));
  Json result{ { "header", Header() } };
  if (!entries.empty()) {
    result["count"] = std::to_string(entries.size());
  }
  if (limit > 0 && entries.size() > limit) {
    entries.resize(limit);
    result["more"] = true;
  }
  for (const auto& entry : entries) {
    result["kvs"].push_back(ToJson(entry));
  }
  return result;
}

bool
Gateway::Compare(const Json& aCompare) const
{
  if (aCompare.value("target", "VERSION") != "MOD" ||
      aCompare.value("result", "EQUAL") != "EQUAL") {
    throw std::invalid_argument("only MOD EQUAL comparisons are supported");
  }
  const auto* entry = store_.Get(Bytes(aCompare, "key"));
  return (entry == nullptr ? 0 : entry->modRevision_) == Number(aCompare, "mod_revision");
}

Json
Gateway::Operation(const Json& aOperation)
{
  Json header{ { "header", { { "revision", std::to_string(store_.Revision() + 1) } } } };
  if (const auto* put = Field(aOperation, "request_put")) {
    auto lease = Number(*put, "lease");
    if (lease != 0 && !store_.HasLease(lease)) {
      throw std::invalid_argument("etcdserver: requested lease not found");
    }
    store_.Put(Bytes(*put, "key"), Bytes(*put, "value"), lease);
    return { { "response_put", header } };
  }
  if (const auto* remove = Field(aOperation, "request_delete_range")) {
    header["deleted"] = std::to_string(store_.Delete(RangeOf(*remove)));
    return { { "response_delete_range", header } };
  }
  if (const auto* range = Field(aOperation, "request_range")) {
    return { { "response_range", Range(*range) } };
  }
  throw std::invalid_argument("unknown operation");
}

Json
Gateway::Transaction(const Json& aBody)
{
  bool holds = true;
  if (const auto* compares = Field(aBody, "compare")) {
    for (const auto& compare : *compares) {
      holds = Compare(compare) && holds;
    }
  }
  Json responses = Json::array();
  const auto* operations = Field(aBody, holds ? "success" : "failure");
  // The lease check precedes all changes, so that a refused transaction changes nothing.
  for (const auto& operation : operations == nullptr ? Json::array() : *operations) {
    const auto* put = Field(operation, "request_put");
    if (put != nullptr && Number(*put, "lease") != 0 && !store_.HasLease(Number(*put, "lease"))) {
      throw std::invalid_argument("etcdserver: requested lease not found");
    }
  }
  store_.Begin();
  for (const auto& operation : operations == nullptr ? Json::array() : *operations) {
    responses.push_back(Operation(operation));
  }
  store_.Commit();
  Json result{ { "header", Header() }, { "responses", responses } };
  if (holds) {
    result["succeeded"] = true;
  }
  return result;
}

void
Gateway::StartWatch(const HttpExchangePtr& aExchange, const Json& aBody)
{
  const auto* create = Field(aBody, "create_request");
  if (create == nullptr) {
    throw std::invalid_argument("create_request is missing");
  }
  auto start = Number(*create, "start_revision");
  Watch watch{ aExchange, RangeOf(*create), start == 0 ? store_.Revision() + 1 : start };
  Json created{ { "result", { { "header", Header() }, { "created", true } } } };
  aExchange->StartStream({ 200, created.dump() + "\n" });
  auto missed = store_.History(watch.range_, watch.from_);
  if (!missed.empty()) {
    Json line{ { "result", { { "header", Header() }, { "events", Json::array() } } } };
    for (const auto& event : missed) {
      line["result"]["events"].push_back(ToJson(event));
    }
    aExchange->Write(line.dump() + "\n");
  }
  watches_.push_back(std::move(watch));
}

void
Gateway::Notify(const std::vector<StoreEvent>& aEvents)
{
  for (auto& watch : watches_) {
    Json events = Json::array();
    for (const auto& event : aEvents) {
      if (watch.range_.Contains(event.kv_.key_) && event.kv_.modRevision_ >= watch.from_) {
        events.push_back(ToJson(event));
      }
    }
    if (!events.empty() && watch.exchange_->Open()) {
      Json line{ { "result", { { "header", Header() }, { "events", std::move(events) } } } };
      watch.exchange_->Write(line.dump() + "\n");
    }
  }
}

Json
Gateway::Dump() const
{
  Json entries = Json::object();
  for (const auto& entry : store_.Range({ std::string(), std::string(1, '\0') })) {
    entries[entry.key_] = { { "value", entry.value_ },
                            { "mod_revision", entry.modRevision_ },
                            { "lease", entry.lease_ } };
  }
  return { { "revision", store_.Revision() }, { "entries", entries } };
}

void
Gateway::Control(const HttpExchangePtr& aExchange)
{
  const auto& request = aExchange->Request();
  Json result = Json::object();
  if (request.path_ == "/down") {
    server_.Close();
    watches_.clear();
  } else if (request.path_ == "/up") {
    server_.Listen();
  } else if (request.path_ == "/slow") {
    slowMs_ = request.Query("ms", 0);
  } else if (request.path_ == "/lose-replies") {
    loseReplies_ = request.Query("count", 1);
  } else if (request.path_ == "/expire-leases") {
    store_.ExpireLeases(std::numeric_limits<std::int64_t>::max());
  } else if (request.path_ == "/counts") {
    std::uint64_t total = 0;
    for (const auto& [path, count] : counts_) {
      result[path] = count;
      total += count;
    }
    result["total"] = total;
    result["lost_replies"] = lostReplies_;
    result["open_watches"] = watches_.size();
  } else if (request.path_ == "/dump") {
    result = Dump();
  } else {
    aExchange->Respond({ 404, "{}" });
    return;
  }
  aExchange->Respond({ 200, result.dump(-1, ' ', false, Json::error_handler_t::replace) });
}

} // namespace redwing::standins
