#pragma once

#include "core/Address.hpp"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace redwing::test {

/// HTTP server on a free local port that answers each request with bytes chosen by the test.
class ScriptedHttpServer
{
public:
  struct Request
  {
    std::string target_;
    std::string body_;
    /// Connections are numbered from 1.
    int connection_ = 0;
  };

  struct Reply
  {
    /// Sent as it is; may be cut anywhere.
    std::string bytes_;
    /// Close the connection after the bytes; otherwise wait for the next request.
    bool close_ = false;
    /// Pause before each 64 KiB; no pauses if it is zero.
    std::chrono::milliseconds pause_{ 0 };
  };

  using Script = std::function<Reply(const Request&)>;

  ScriptedHttpServer(boost::asio::io_context& aContext, Script aScript)
    : acceptor_(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , script_(std::move(aScript))
  {
    Accept();
  }

  Address Where() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }
  int Connections() const { return connections_; }
  void Stop() { acceptor_.close(); }

  /// Returns a complete reply with a JSON body.
  static Reply Json(const std::string& aBody, const std::string& aStatus = "200 OK")
  {
    return { "HTTP/1.1 " + aStatus + "\r\nContent-Length: " + std::to_string(aBody.size()) +
               "\r\n\r\n" + aBody,
             false };
  }

private:
  struct Connection
  {
    explicit Connection(boost::asio::ip::tcp::socket aSocket)
      : stream_(std::move(aSocket))
    {
    }

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::request<boost::beast::http::string_body> request_;
    Reply reply_;
    std::size_t sent_ = 0;
    int number_ = 0;
    boost::asio::steady_timer timer_{ stream_.get_executor() };
  };

  void Accept()
  {
    acceptor_.async_accept(
      [this](boost::system::error_code aError, boost::asio::ip::tcp::socket aSocket) {
        if (aError) {
          return;
        }
        auto connection = std::make_shared<Connection>(std::move(aSocket));
        connection->number_ = ++connections_;
        Read(connection);
        Accept();
      });
  }

  void Read(const std::shared_ptr<Connection>& aConnection)
  {
    aConnection->request_ = {};
    boost::beast::http::async_read(
      aConnection->stream_,
      aConnection->buffer_,
      aConnection->request_,
      [this, aConnection](boost::system::error_code aError, std::size_t) {
        if (!aError) {
          Answer(aConnection);
        }
      });
  }

  void Answer(const std::shared_ptr<Connection>& aConnection)
  {
    aConnection->reply_ = script_({ std::string(aConnection->request_.target()),
                                    aConnection->request_.body(),
                                    aConnection->number_ });
    aConnection->sent_ = 0;
    Send(aConnection);
  }

  void Send(const std::shared_ptr<Connection>& aConnection)
  {
    constexpr std::size_t kPieceBytes = std::size_t{ 64 } * 1024;
    const Reply& reply = aConnection->reply_;
    const std::size_t left = reply.bytes_.size() - aConnection->sent_;
    const std::size_t size = reply.pause_.count() > 0 ? std::min(left, kPieceBytes) : left;
    aConnection->timer_.expires_after(reply.pause_);
    aConnection->timer_.async_wait([this, aConnection, size](boost::system::error_code) {
      boost::asio::async_write(
        aConnection->stream_,
        boost::asio::buffer(aConnection->reply_.bytes_.data() + aConnection->sent_, size),
        [this, aConnection](boost::system::error_code aError, std::size_t aBytes) {
          aConnection->sent_ += aBytes;
          if (aError) {
            return;
          }
          if (aConnection->sent_ < aConnection->reply_.bytes_.size()) {
            Send(aConnection);
          } else if (!aConnection->reply_.close_) {
            Read(aConnection);
          }
        });
    });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  Script script_;
  int connections_ = 0;
};

} // namespace redwing::test
