#pragma once

#include "backend/HttpConnection.hpp"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <vector>

namespace redwing {

/// Keep-alive connections to the backend server, within its connection limit. Backend thread only.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
  ConnectionPool(boost::asio::io_context& aContext, const Clock& aClock);

  /// Sets the server's address and the maximum number of open connections. If the address changes,
  /// idle connections are closed; busy ones are closed when they are released.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  void SetTarget(const Address& aAddress, std::size_t aLimit);

  /// Bounds the number of connections, whatever SetTarget says, and what the system holds for each;
  /// 0: no bound.
  ///
  /// Preconditions: before SetTarget. Thread safety: backend thread only.
  void SetBounds(std::size_t aConnections, int aSocketBufferBytes);

  /// Opens connections until aCount are idle or the limit is reached.
  ///
  /// Preconditions: SetTarget was called. Thread safety: backend thread only.
  void Warm(std::size_t aCount);

  /// Returns an idle connection, or a new one if none is idle or aNewConnection is set; null at the
  /// limit. Prefers the most recently used connection, because it is the least likely to have been
  /// closed.
  ///
  /// Preconditions: SetTarget was called. Thread safety: backend thread only.
  std::shared_ptr<HttpConnection> Acquire(bool aNewConnection);

  /// Returns whether Acquire would succeed.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  bool Available() const { return !idle_.empty() || open_ < limit_; }

  /// Returns a connection to the pool; one that can't be reused is closed.
  ///
  /// Preconditions: aConnection is from Acquire. Thread safety: backend thread only.
  void Release(const std::shared_ptr<HttpConnection>& aConnection);

  /// Closes the idle connections.
  ///
  /// Preconditions: none. Thread safety: backend thread only.
  void Clear();

  std::size_t Open() const { return open_; }

private:
  std::shared_ptr<HttpConnection> CreateConnection();

  boost::asio::io_context& context_;
  const Clock& clock_;
  Address address_;
  std::size_t limit_ = 0;
  std::size_t mostConnections_ = 0;
  int socketBufferBytes_ = 0;
  std::size_t open_ = 0;
  std::vector<std::shared_ptr<HttpConnection>> idle_;
};

} // namespace redwing
