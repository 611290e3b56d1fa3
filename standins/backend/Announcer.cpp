#include "backend/Announcer.hpp"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>

namespace redwing::standins {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

/// Interval of announcements; the instance considers a server gone after 3 s without one.
constexpr std::chrono::milliseconds kInterval{ 1000 };

struct Call
{
  explicit Call(asio::io_context& aIo)
    : socket_(aIo)
    , timeout_(aIo)
  {
  }
  Tcp::socket socket_;
  asio::steady_timer timeout_;
  std::string text_;
  std::array<char, 512> answer_{};
};

} // namespace

Announcer::Announcer(asio::io_context& aIo, Address aInstance, std::string aBody)
  : io_(aIo)
  , instance_(std::move(aInstance))
  , body_(std::move(aBody))
  , timer_(aIo)
{
  Tick();
}

void
Announcer::Leave()
{
  leaving_ = true;
  Post("/v1/leave");
}

void
Announcer::Tick()
{
  if (leaving_) {
    return;
  }
  Post("/v1/announce");
  timer_.expires_after(kInterval);
  timer_.async_wait([this](Error aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
Announcer::Post(const std::string& aPath)
{
  auto call = std::make_shared<Call>(io_);
  call->text_ = "POST " + aPath + " HTTP/1.1\r\nHost: " + instance_.ToString() +
                "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
                std::to_string(body_.size()) + "\r\n\r\n" + body_;
  call->timeout_.expires_after(kInterval);
  call->timeout_.async_wait([call](Error aError) {
    if (!aError) {
      Error ignored;
      call->socket_.close(ignored);
    }
  });
  Tcp::endpoint endpoint(asio::ip::make_address(instance_.ip_), instance_.port_);
  call->socket_.async_connect(endpoint, [call](Error aError) {
    if (aError) {
      call->timeout_.cancel();
      return;
    }
    asio::async_write(call->socket_, asio::buffer(call->text_), [call](Error, std::size_t) {
      asio::async_read(call->socket_, asio::buffer(call->answer_), [call](Error, std::size_t) {
        call->timeout_.cancel();
      });
    });
  });
}

} // namespace redwing::standins
