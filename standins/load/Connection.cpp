#include "load/Connection.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace redwing::standins {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

class BeastConnection final
  : public Connection
  , public std::enable_shared_from_this<BeastConnection>
{
public:
  BeastConnection(asio::io_context& aIo, const Address& aTarget)
    : socket_(aIo)
    , endpoint_(asio::ip::make_address(aTarget.ip_), aTarget.port_)
  {
  }

  void Send(std::string aText, Handler aHandler) override
  {
    text_ = std::move(aText);
    handler_ = std::move(aHandler);
    if (connected_) {
      Write();
      return;
    }
    socket_.async_connect(endpoint_, [self = shared_from_this()](Error aError) {
      if (aError) {
        self->Fail(ReplyKind::NotConnected);
        return;
      }
      Error ignored;
      self->socket_.set_option(Tcp::no_delay(true), ignored);
      self->connected_ = true;
      self->Write();
    });
  }

  void Abort() override
  {
    usable_ = false;
    Error ignored;
    socket_.close(ignored);
  }

  bool Usable() const override { return usable_; }

private:
  void Write()
  {
    asio::async_write(
      socket_, asio::buffer(text_), [self = shared_from_this()](Error aError, std::size_t) {
        if (aError) {
          self->Fail(ReplyKind::Broken);
          return;
        }
        self->Read();
      });
  }

  void Read()
  {
    parser_.emplace();
    parser_->body_limit(std::uint64_t{ 1 } << 30);
    http::async_read(
      socket_, buffer_, *parser_, [self = shared_from_this()](Error aError, std::size_t) {
        // A body that ends with the connection has no length, so its end proves nothing.
        if (aError || self->parser_->need_eof()) {
          self->Fail(ReplyKind::Broken);
          return;
        }
        self->Complete();
      });
  }

  void Complete()
  {
    auto message = parser_->release();
    Reply reply{ ReplyKind::Complete,
                 message.result_int(),
                 std::string(message["Redwing-Outcome"]),
                 std::string(message["Redwing-Error"]),
                 std::string(message["Redwing-Shed"]),
                 std::string(message["Load-Id"]),
                 std::move(message.body()) };
    if (!message.keep_alive()) {
      Abort();
    }
    Deliver(std::move(reply));
  }

  void Fail(ReplyKind aKind)
  {
    Abort();
    Reply reply;
    reply.kind_ = aKind;
    Deliver(std::move(reply));
  }

  void Deliver(Reply aReply)
  {
    auto handler = std::move(handler_);
    handler_ = nullptr;
    if (handler) {
      handler(std::move(aReply));
    }
  }

  Tcp::socket socket_;
  Tcp::endpoint endpoint_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string text_;
  Handler handler_;
  bool connected_ = false;
  bool usable_ = true;
};

} // namespace

std::shared_ptr<Connection>
Connection::Create(asio::io_context& aIo, const Address& aTarget)
{
  return std::make_shared<BeastConnection>(aIo, aTarget);
}

} // namespace redwing::standins
