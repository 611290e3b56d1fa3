#include "core/ConnectionAcceptor.hpp"

#include "core/Log.hpp"

#include <utility>

namespace redwing {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Connections accepted in a row, so that a flood of them does not hold up the event loop.
constexpr int kMaxAtOnce = 256;
/// Pause after a failed accept, such as when no file descriptor is free.
constexpr std::chrono::milliseconds kFailurePause{ 50 };

} // namespace

ConnectionAcceptor::ConnectionAcceptor(boost::asio::io_context& aContext, OnAccepted aOnAccepted)
  : onAccepted_(std::move(aOnAccepted))
  , acceptor_(aContext)
  , pauseTimer_(aContext)
{
}

tl::expected<Address, std::string>
ConnectionAcceptor::Listen(const Address& aAddress)
{
  error_code error;
  const auto ip = boost::asio::ip::make_address_v4(aAddress.ip_, error);
  const tcp::endpoint endpoint(ip, aAddress.port_);
  if (!error) {
    acceptor_.open(endpoint.protocol(), error);
  }
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (!error) {
    acceptor_.non_blocking(true, error);
  }
  if (error) {
    return tl::unexpected(error.message());
  }
  Wait();
  return Address{ aAddress.ip_, acceptor_.local_endpoint().port() };
}

void
ConnectionAcceptor::Close()
{
  error_code ignored;
  acceptor_.close(ignored);
  pauseTimer_.cancel();
}

void
ConnectionAcceptor::Wait()
{
  acceptor_.async_wait(tcp::acceptor::wait_read,
                       [this, alive = std::weak_ptr<void>(alive_)](const error_code& aError) {
                         if (!aError && !alive.expired()) {
                           AcceptWaiting();
                         }
                       });
}

void
ConnectionAcceptor::AcceptWaiting()
{
  // A handler that was due when Close ran is still called.
  for (int accepted = 0; accepted < kMaxAtOnce && IsOpen(); ++accepted) {
    Socket socket(acceptor_.get_executor());
    error_code error;
    acceptor_.accept(socket, error);
    if (error == boost::asio::error::would_block) {
      break;
    }
    if (error == boost::asio::error::connection_aborted) {
      continue;
    }
    if (error) {
      LogLine(LogLevel::Warning, "accept_failed").With("error", error.message());
      Pause();
      return;
    }
    onAccepted_(std::move(socket));
  }
  if (IsOpen()) {
    Wait();
  }
}

void
ConnectionAcceptor::Pause()
{
  pauseTimer_.expires_after(kFailurePause);
  pauseTimer_.async_wait([this, alive = std::weak_ptr<void>(alive_)](const error_code& aError) {
    if (!aError && !alive.expired()) {
      AcceptWaiting();
    }
  });
}

} // namespace redwing
