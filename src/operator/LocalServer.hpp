#pragma once

#include "core/Address.hpp"
#include "operator/LocalHandlers.hpp"
#include "operator/LocalRouter.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace redwing {

namespace Detail {
class LocalListener;
}

struct LocalServerSettings
{
  /// Port 0 takes a free port.
  Address address_;
  std::string operatorToken_;
  std::size_t connections_ = 64;
  std::size_t bodyBytes_ = 1'000'000;
  std::uint32_t headerBytes_ = 16 * 1024;
  /// Time for receiving a request, including the idle time before it, and for sending a reply.
  std::chrono::milliseconds ioTimeout_{ 10000 };
  /// Time for a handler; longer than the time limit of a configuration edit.
  std::chrono::milliseconds handlerTimeout_{ 15000 };
};

/// HTTP server on the local address: announcements of the backend server, metrics, operators.
class LocalServer
{
public:
  /// Answers one request, at once or later.
  using Handler = std::function<void(const LocalRequest&, LocalReplyCallback)>;

  /// Serves requests with aHandler instead of the product's own paths.
  ///
  /// Preconditions: aContext is run by one thread and outlives this object.
  LocalServer(boost::asio::io_context& aContext, LocalServerSettings aSettings, Handler aHandler);

  /// Preconditions: aContext is run by one thread and outlives this object.
  LocalServer(boost::asio::io_context& aContext,
              const LocalServerSettings& aSettings,
              LocalHandlers aHandlers,
              LocalRouter::Audit aAudit = {});

  /// Closes the listener and all connections. Replies of handlers that are still running are
  /// dropped.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  ~LocalServer();
  LocalServer(const LocalServer&) = delete;
  LocalServer& operator=(const LocalServer&) = delete;

  /// Binds the address and starts to accept; returns the bound address or what failed.
  ///
  /// Preconditions: called once. Thread safety: before the context runs, or on its thread.
  tl::expected<Address, std::string> Start();

private:
  std::shared_ptr<Detail::LocalListener> listener_;
};

} // namespace redwing
