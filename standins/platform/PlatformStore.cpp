#include "platform/PlatformStore.hpp"

#include "core/Base64.hpp"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace redwing::standins {

using Json = nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kExpiryInterval{ 20 };
constexpr std::int64_t kNsPerMs = 1'000'000;

std::string
Parameter(const HttpRequest& aRequest, const std::string& aName)
{
  const std::string query = "&" + aRequest.target_.substr(aRequest.target_.find('?') + 1);
  const auto at = query.find("&" + aName + "=");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aName.size() + 2;
  return query.substr(begin, query.find('&', begin) - begin);
}

KeyRange
Prefix(const std::string& aPrefix)
{
  std::string end = aPrefix;
  if (!end.empty()) {
    ++end.back();
  }
  return { aPrefix, end };
}

Json
ToJson(const KeyValue& aItem)
{
  return { { "key", aItem.key_ },
           { "value", EncodeBase64(aItem.value_) },
           { "revision", aItem.modRevision_ },
           { "created", aItem.createRevision_ },
           { "lease", aItem.lease_ } };
}

HttpResponse
Reply(const Json& aBody, unsigned aStatus = 200)
{
  HttpResponse response;
  response.status_ = aStatus;
  response.body_ = aBody.dump();
  return response;
}

} // namespace

PlatformStore::PlatformStore(boost::asio::io_context& aIo, Address aAddress)
  : context_(aIo)
  , store_([](const auto&) {})
  , server_(aIo, std::move(aAddress), [this](const auto& aExchange) { Handle(aExchange); })
  , timer_(aIo)
{
  server_.Listen();
  ScheduleExpiry();
}

void
PlatformStore::ScheduleExpiry()
{
  timer_.expires_after(kExpiryInterval);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      store_.ExpireLeases(MonotonicNs());
      AnswerWatches();
      ScheduleExpiry();
    }
  });
}

void
PlatformStore::Put(const std::string& aKey, const std::string& aValue)
{
  store_.Begin();
  store_.Put(aKey, aValue, 0);
  store_.Commit();
  AnswerWatches();
}

void
PlatformStore::Restore()
{
  store_ = copy_->store_;
  store_.RestartLeases(MonotonicNs());
  compacted_ = copy_->compacted_;
  ++era_;
}

void
PlatformStore::EndLeases()
{
  store_.ExpireLeases(std::numeric_limits<std::int64_t>::max());
  AnswerWatches();
}

void
PlatformStore::SetTrouble(StoreTrouble aTrouble)
{
  trouble_ = aTrouble;
  if (trouble_ == StoreTrouble::Silent) {
    for (const Watch& watch : watches_) {
      unanswered_.push_back(watch.exchange_);
    }
    watches_.clear();
  }
}

void
PlatformStore::Handle(const HttpExchangePtr& aExchange)
{
  if (trouble_ == StoreTrouble::Silent) {
    unanswered_.push_back(aExchange);
    return;
  }
  if (trouble_ == StoreTrouble::Reset) {
    aExchange->Close();
    return;
  }
  if (trouble_ == StoreTrouble::Busy) {
    Respond(*aExchange, Reply({ { "errorMessage", "busy" } }, 503));
    return;
  }
  if (longestDelay_.count() == 0) {
    Serve(aExchange);
    return;
  }
  const std::chrono::milliseconds delay(
    random_.Below(static_cast<std::uint64_t>(longestDelay_.count())));
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
  timer->async_wait([this, timer, aExchange](const boost::system::error_code& aError) {
    if (!aError) {
      Serve(aExchange);
    }
  });
}

void
PlatformStore::Serve(const HttpExchangePtr& aExchange)
{
  if (aExchange->Request().path_ == "/-/kv-watch" && StartWatch(aExchange)) {
    return;
  }
  HttpResponse response = Dispatch(aExchange->Request());
  if (trouble_ == StoreTrouble::LosesAnswers) {
    aExchange->Close();
  } else {
    Respond(*aExchange, std::move(response));
  }
  AnswerWatches();
}

void
PlatformStore::Respond(HttpExchange& aExchange, HttpResponse aResponse) const
{
  aResponse.headers_.push_back({ "Store-Era", std::to_string(era_) });
  aExchange.Respond(std::move(aResponse));
}

bool
PlatformStore::StartWatch(const HttpExchangePtr& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const std::int64_t after = request.Query("after", 0);
  if (after < compacted_ || after > store_.Revision()) {
    return false;
  }
  watches_.push_back({ aExchange,
                       Parameter(request, "pathPrefix"),
                       after,
                       MonotonicNs() + request.Query("waitMs", 0) * kNsPerMs });
  AnswerWatches();
  return true;
}

void
PlatformStore::AnswerWatches()
{
  watches_.remove_if([this](const Watch& aWatch) {
    Json events = Json::array();
    for (const StoreEvent& event : store_.History(Prefix(aWatch.prefix_), aWatch.after_ + 1)) {
      if (event.deleted_) {
        events.push_back({ { "key", event.kv_.key_ },
                           { "revision", event.kv_.modRevision_ },
                           { "tombstone", true } });
      } else {
        events.push_back(ToJson(event.kv_));
      }
    }
    if (events.empty() && MonotonicNs() < aWatch.endNs_) {
      return !aWatch.exchange_->Open();
    }
    Respond(*aWatch.exchange_, Reply({ { "events", events }, { "at", store_.Revision() } }));
    return true;
  });
}

HttpResponse
PlatformStore::Dispatch(const HttpRequest& aRequest)
{
  const std::string& path = aRequest.path_;
  if (path == "/-/kv-key") {
    const KeyValue* item = store_.Get(Parameter(aRequest, "key"));
    if (item == nullptr) {
      return Reply({ { "errorMessage", "no such key" }, { "at", store_.Revision() } }, 404);
    }
    Json body = ToJson(*item);
    body["at"] = store_.Revision();
    return Reply(body);
  }
  if (path == "/-/kv-range") {
    return Range(aRequest);
  }
  if (path == "/-/kv-txn") {
    return Transaction(aRequest.body_);
  }
  if (path == "/-/kv-lease") {
    const Json body = Json::parse(aRequest.body_);
    const auto ttl = std::min(body["ttlMs"].get<std::int64_t>(), leaseLimit_.count());
    const auto lease = store_.GrantLease(0, ttl, MonotonicNs());
    return Reply({ { "lease", lease }, { "ttlMs", ttl } });
  }
  constexpr std::string_view kKeep = "/-/kv-keep/";
  if (path.starts_with(kKeep)) {
    const auto left = store_.KeepAlive(std::stoll(path.substr(kKeep.size())), MonotonicNs());
    return left == 0 ? Reply({ { "errorMessage", "no such lease" } }, 404)
                     : Reply({ { "ttlMs", left } });
  }
  if (path == "/-/kv-watch") {
    return Reply({ { "errorMessage", "no such history" } }, 410);
  }
  return Reply({ { "errorMessage", "no such call" } }, 400);
}

HttpResponse
PlatformStore::Range(const HttpRequest& aRequest)
{
  const std::string after = Parameter(aRequest, "after");
  Json items = Json::array();
  bool more = false;
  for (const KeyValue& item : store_.Range(Prefix(Parameter(aRequest, "pathPrefix")))) {
    if (item.key_ <= after) {
      continue;
    }
    if (items.size() == pageItems_) {
      more = true;
      break;
    }
    items.push_back(ToJson(item));
  }
  return Reply({ { "items", items }, { "hasMore", more }, { "at", store_.Revision() } });
}

HttpResponse
PlatformStore::Transaction(const std::string& aBody)
{
  const Json body = Json::parse(aBody);
  Json present = Json::array();
  bool holds = true;
  for (const Json& condition : body["precondition"]) {
    const KeyValue* item = store_.Get(condition["key"].get<std::string>());
    const std::int64_t revision = item == nullptr ? 0 : item->modRevision_;
    holds = holds && revision == condition["revision"].get<std::int64_t>();
    if (item != nullptr) {
      present.push_back(ToJson(*item));
    }
  }
  if (!holds) {
    return Reply({ { "items", present } }, 412);
  }
  for (const Json& write : body["writes"]) {
    const auto lease = write.value("lease", std::int64_t{ 0 });
    if (lease != 0 && !store_.HasLease(lease)) {
      return Reply({ { "errorMessage", "no such lease" } }, 404);
    }
  }
  store_.Begin();
  for (const Json& write : body["writes"]) {
    store_.Put(write["key"].get<std::string>(),
               DecodeBase64(write["value"].get<std::string>()).value_or(""),
               write.value("lease", std::int64_t{ 0 }));
  }
  for (const Json& key : body["deletes"]) {
    store_.Delete({ key.get<std::string>(), {} });
  }
  store_.Commit();
  return Reply({ { "revision", store_.Revision() } });
}

} // namespace redwing::standins
