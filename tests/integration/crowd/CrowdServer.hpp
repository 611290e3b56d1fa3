#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <thread>

namespace redwing::test {

/// A backend server on one thread that discards the bodies of requests and answers each after
/// kWork: /large/ with kLargeBytes, all other paths with a short text.
class CrowdServer
{
public:
  static constexpr std::size_t kLargeBytes = 200 * 1024;
  static constexpr std::chrono::milliseconds kWork{ 20 };

  CrowdServer();
  ~CrowdServer();
  CrowdServer(const CrowdServer&) = delete;
  CrowdServer& operator=(const CrowdServer&) = delete;

  std::uint16_t Port() const { return port_; }

private:
  class Session;

  void Accept();

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::thread thread_;
};

} // namespace redwing::test
