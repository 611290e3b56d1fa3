#pragma once

#include "common/HttpServer.hpp"
#include "store/KeyValueStore.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <string>

namespace redwing::standins {

/// Serves the part of etcd's v3 JSON gateway that the router uses, and the control interface of the
/// test server. Not thread-safe.
class Gateway
{
public:
  Gateway(boost::asio::io_context& aIo, Address aAddress, Address aControl);

private:
  struct Watch
  {
    HttpExchangePtr exchange_;
    KeyRange range_;
    std::int64_t from_ = 0;
  };

  void Handle(const HttpExchangePtr& aExchange);
  void Control(const HttpExchangePtr& aExchange);
  void Dispatch(const HttpExchangePtr& aExchange);
  void Reply(const HttpExchangePtr& aExchange, HttpResponse aResponse, bool aWrite);
  void StartWatch(const HttpExchangePtr& aExchange, const nlohmann::json& aBody);
  void Notify(const std::vector<StoreEvent>& aEvents);
  nlohmann::json Range(const nlohmann::json& aBody) const;
  nlohmann::json Operation(const nlohmann::json& aOperation);
  nlohmann::json Transaction(const nlohmann::json& aBody);
  bool Compare(const nlohmann::json& aCompare) const;
  nlohmann::json Header() const;
  nlohmann::json Dump() const;
  void ScheduleExpiry();

  boost::asio::io_context& io_;
  KeyValueStore store_;
  HttpServer server_;
  HttpServer control_;
  boost::asio::steady_timer expiry_;
  std::list<Watch> watches_;
  std::map<std::string, std::uint64_t> counts_;
  std::int64_t slowMs_ = 0;
  std::int64_t loseReplies_ = 0;
  std::uint64_t lostReplies_ = 0;
};

} // namespace redwing::standins
