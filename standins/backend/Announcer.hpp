#pragma once

#include "core/Address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

namespace redwing::standins {

/// Announces the server to the instance beside it each second.
class Announcer
{
public:
  Announcer(boost::asio::io_context& aIo, Address aInstance, std::string aBody);
  /// Tells the instance that the server leaves and stops announcing.
  void Leave();

private:
  void Tick();
  void Post(const std::string& aPath);

  boost::asio::io_context& io_;
  Address instance_;
  std::string body_;
  boost::asio::steady_timer timer_;
  bool leaving_ = false;
};

} // namespace redwing::standins
