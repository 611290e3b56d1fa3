#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace redwing::test {

/// A backend server on one thread that discards the bodies of requests and answers each after
/// kWork: /large/ with kLargeBytes, /kept/ with kKeptBytes, all other paths with a report that it
/// is ready. It reads bodies for /slow/ a little at a time, and bodies for /stuck/ not at all.
class CrowdServer
{
public:
  static constexpr std::size_t kLargeBytes = 200 * 1024;
  /// Small enough to be kept for repeated requests.
  static constexpr std::size_t kKeptBytes = 60 * 1024;
  static constexpr std::chrono::milliseconds kWork{ 20 };
  /// Pause after each read of a body for /slow/.
  static constexpr std::chrono::milliseconds kSlowRead{ 200 };

  CrowdServer();
  ~CrowdServer();
  CrowdServer(const CrowdServer&) = delete;
  CrowdServer& operator=(const CrowdServer&) = delete;

  std::uint16_t Port() const { return port_; }

  /// Returns whether a request with this X-Request-Id arrived to its end.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  bool Ran(const std::string& aRequestId) const;

private:
  class Session;

  void Accept();
  void Record(std::string aRequestId);

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_;
  mutable std::mutex mutex_;
  std::set<std::string> ran_;
  std::thread thread_;
};

} // namespace redwing::test
