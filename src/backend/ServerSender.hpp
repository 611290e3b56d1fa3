#pragma once

#include "backend/ConnectionPool.hpp"
#include "backend/ServedExchange.hpp"
#include "exchange/Events.hpp"
#include "exchange/HttpProtocol.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>

namespace redwing {

/// Why a request may not be written to the backend server. It did not run.
struct SendRefusal
{
  ErrorCode code_ = ErrorCode::Overloaded;
  std::string_view detail_;
};

/// Writes requests to the backend server. It owns all connections that carry requests, so that none
/// reaches the server without the check that it was constructed with. Backend thread only.
class ServerSender
{
public:
  /// Returns why the request may not be written at a time; nothing if it may.
  using Check = std::function<std::optional<SendRefusal>(const ServedExchange&, TimePoint)>;

  ServerSender(std::shared_ptr<ConnectionPool> aPool,
               const Clock& aClock,
               HttpProtocol aProtocol,
               Check aCheck);

  /// Builds the HTTP request of aExchange for the run aServerId of the server, moving its body, and
  /// adjusts it by aAdjust before it is written. aExchange has its connection and time of dispatch
  /// when aAdjust is called.
  ///
  /// Preconditions: aExchange has no connection. Thread safety: backend thread only, like all
  /// functions here.
  tl::expected<void, SendRefusal> Send(ServedExchange& aExchange,
                                       const std::string& aServerId,
                                       const std::function<void(HttpRequest&)>& aAdjust,
                                       std::shared_ptr<HttpObserver> aObserver);

  /// Uses a new connection for a later request with the id aRequestId that is sent before aUntil.
  /// By the id alone, a late copy of the earlier response could not be told from the later one.
  void UseNewConnectionFor(const std::string& aRequestId, TimePoint aUntil);

  /// Forgets the ids whose time has passed.
  void Expire(TimePoint aNow);

  /// Returns whether a connection is available now.
  bool Available() const { return pool_->Available(); }

  /// Sets the server's address and the maximum number of connections; see ConnectionPool.
  void SetTarget(const Address& aAddress, std::size_t aLimit)
  {
    pool_->SetTarget(aAddress, aLimit);
  }

  /// Opens connections in advance; see ConnectionPool.
  void Warm(std::size_t aCount) { pool_->Warm(aCount); }

  /// Closes the idle connections.
  void Clear() { pool_->Clear(); }

  /// Takes back the connection of an exchange that has got its whole response.
  void Release(const std::shared_ptr<HttpConnection>& aConnection) { pool_->Release(aConnection); }

private:
  std::shared_ptr<ConnectionPool> pool_;
  const Clock& clock_;
  HttpProtocol protocol_;
  Check check_;
  /// Ids of requests that need a new connection, and until when.
  std::unordered_map<std::string, TimePoint> newConnectionIds_;
};

} // namespace redwing
