#include "backend/ServerSender.hpp"

#include "backend/RequestText.hpp"

#include <utility>

namespace redwing {

ServerSender::ServerSender(std::shared_ptr<ConnectionPool> aPool,
                           const Clock& aClock,
                           HttpProtocol aProtocol,
                           Check aCheck)
  : pool_(std::move(aPool))
  , clock_(aClock)
  , protocol_(std::move(aProtocol))
  , check_(std::move(aCheck))
{
}

tl::expected<void, SendRefusal>
ServerSender::Send(ServedExchange& aExchange,
                   const std::string& aServerId,
                   const std::function<void(HttpRequest&)>& aAdjust,
                   std::shared_ptr<HttpObserver> aObserver)
{
  const TimePoint now = clock_.Now();
  if (const auto refusal = check_(aExchange, now)) {
    return tl::unexpected(*refusal);
  }
  RequestStart& start = aExchange.start_;
  auto connection = pool_->Acquire(newConnectionIds_.contains(start.requestId_));
  if (!connection) {
    return tl::unexpected(SendRefusal{ ErrorCode::Overloaded, "connection_limit" });
  }
  auto request =
    BuildRequest(protocol_, start, aExchange.token_, connection->Target(), aServerId, now);
  if (!request) {
    pool_->Release(connection);
    return tl::unexpected(SendRefusal{ ErrorCode::BadRequest, "bad_request_line" });
  }
  request->body_ = std::move(start.body_);
  request->body_.append(aExchange.pendingBody_);
  request->last_ = aExchange.bodyComplete_;
  aExchange.pendingBody_.clear();
  aExchange.phase_ = ServedPhase::Running;
  aExchange.dispatchedAt_ = now;
  aExchange.connection_ = connection;
  aAdjust(*request);
  connection->Start(std::move(*request), std::move(aObserver));
  return {};
}

void
ServerSender::UseNewConnectionFor(const std::string& aRequestId, TimePoint aUntil)
{
  newConnectionIds_[aRequestId] = aUntil;
}

void
ServerSender::Expire(TimePoint aNow)
{
  std::erase_if(newConnectionIds_, [&](const auto& aItem) { return aItem.second < aNow; });
}

} // namespace redwing
