#include "tests/integration/crowd/CrowdServer.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace redwing::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// One connection, which serves requests until the other side closes it.
class CrowdServer::Session : public std::enable_shared_from_this<Session>
{
public:
  Session(CrowdServer& aServer, tcp::socket aSocket)
    : server_(aServer)
    , socket_(std::move(aSocket))
    , timer_(socket_.get_executor())
    , scratch_(kScratchBytes)
  {
  }

  void ReadHead()
  {
    parser_.emplace();
    parser_->body_limit(boost::none);
    http::async_read_header(
      socket_, buffer_, *parser_, [self = shared_from_this()](error_code aError, std::size_t) {
        if (!aError) {
          self->ReadBody();
        }
      });
  }

private:
  static constexpr std::size_t kScratchBytes = 64 * 1024;
  static constexpr std::size_t kSlowBytes = 4 * 1024;

  void ReadBody()
  {
    if (parser_->is_done()) {
      server_.Record(std::string(parser_->get()["X-Request-Id"]));
      timer_.expires_after(kWork);
      timer_.async_wait([self = shared_from_this()](error_code) { self->Answer(); });
      return;
    }
    const auto target = parser_->get().target();
    if (target.starts_with("/stuck/")) {
      // Keeps the session alive until the server ends.
      timer_.expires_at(asio::steady_timer::time_point::max());
      timer_.async_wait([self = shared_from_this()](error_code) {});
    } else if (target.starts_with("/slow/")) {
      timer_.expires_after(kSlowRead);
      timer_.async_wait([self = shared_from_this()](error_code) { self->ReadPart(kSlowBytes); });
    } else {
      ReadPart(kScratchBytes);
    }
  }

  void ReadPart(std::size_t aMost)
  {
    parser_->get().body().data = scratch_.data();
    parser_->get().body().size = aMost;
    http::async_read(
      socket_, buffer_, *parser_, [self = shared_from_this()](error_code aError, std::size_t) {
        if (!aError || aError == http::error::need_buffer) {
          self->ReadBody();
        }
      });
  }

  void Answer()
  {
    const auto& request = parser_->get();
    std::string body = R"({"ready":true})";
    if (request.target().starts_with("/large/")) {
      body.assign(kLargeBytes, 'x');
    } else if (request.target().starts_with("/kept/")) {
      body.assign(kKeptBytes, 'x');
    }
    text_ = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Request-Id: " +
            std::string(request["X-Request-Id"]) +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::async_write(
      socket_, asio::buffer(text_), [self = shared_from_this()](error_code aError, std::size_t) {
        if (!aError) {
          self->ReadHead();
        }
      });
  }

  CrowdServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::buffer_body>> parser_;
  std::vector<char> scratch_;
  std::string text_;
};

CrowdServer::CrowdServer()
  : acceptor_(context_, { asio::ip::make_address("127.0.0.1"), 0 })
  , port_(acceptor_.local_endpoint().port())
{
  Accept();
  thread_ = std::thread([this] { context_.run(); });
}

CrowdServer::~CrowdServer()
{
  context_.stop();
  thread_.join();
}

void
CrowdServer::Record(std::string aRequestId)
{
  const std::lock_guard lock(mutex_);
  ran_.insert(std::move(aRequestId));
}

bool
CrowdServer::Ran(const std::string& aRequestId) const
{
  const std::lock_guard lock(mutex_);
  return ran_.contains(aRequestId);
}

void
CrowdServer::Accept()
{
  acceptor_.async_accept([this](error_code aError, tcp::socket aSocket) {
    if (!aError) {
      std::make_shared<Session>(*this, std::move(aSocket))->ReadHead();
    }
    Accept();
  });
}

} // namespace redwing::test
