#include "common/HttpServer.hpp"

#include "core/Hash.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <iostream>
#include <optional>
#include <set>

namespace redwing::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

namespace Detail {

class HttpSession;

class HttpServerState : public std::enable_shared_from_this<HttpServerState>
{
public:
  HttpServerState(asio::io_context& aIo,
                  Address aAddress,
                  HttpServer::Handler aHandler,
                  std::size_t aLimit)
    : io_(aIo)
    , acceptor_(aIo)
    , address_(std::move(aAddress))
    , handler_(std::move(aHandler))
    , limit_(aLimit)
  {
  }
  void Listen();
  void Accept();
  void CloseAll();
  void StallAll();

  asio::io_context& io_;
  Tcp::acceptor acceptor_;
  Address address_;
  HttpServer::Handler handler_;
  std::size_t limit_;
  std::set<std::shared_ptr<HttpSession>> sessions_;
};

class HttpSession final
  : public HttpExchange
  , public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(Tcp::socket aSocket, std::shared_ptr<HttpServerState> aServer)
    : socket_(std::move(aSocket))
    , server_(std::move(aServer))
  {
  }

  void Read()
  {
    parser_.emplace();
    parser_->body_limit(std::uint64_t{ 1 } << 30);
    http::async_read(
      socket_, buffer_, *parser_, [self = shared_from_this()](Error aError, std::size_t) {
        if (self->stalled_) {
          return;
        }
        if (aError) {
          self->Close();
          return;
        }
        self->Dispatch();
      });
  }

  const HttpRequest& Request() const override { return request_; }

  void Respond(HttpResponse aResponse) override
  {
    if (!awaiting_) {
      return;
    }
    awaiting_ = false;
    std::string text = Head(aResponse);
    text += "Content-Length: " + std::to_string(aResponse.body_.size()) + "\r\n\r\n";
    text += aResponse.body_;
    finishing_ = true;
    Send(std::move(text));
  }

  void StartStream(HttpResponse aHead) override
  {
    if (!awaiting_) {
      return;
    }
    awaiting_ = false;
    Send(Head(aHead) + "Transfer-Encoding: chunked\r\n\r\n");
    Write(std::move(aHead.body_));
    WatchForClose();
  }

  void Write(std::string aChunk) override
  {
    if (aChunk.empty()) {
      return;
    }
    char size[20];
    auto end = std::to_chars(size, size + sizeof size, aChunk.size(), 16).ptr;
    Send(std::string(size, end) + "\r\n" + aChunk + "\r\n");
  }

  void Finish() override
  {
    finishing_ = true;
    // A read for the end of the connection is pending after StartStream, so the connection is not
    // used for another request.
    keepAlive_ = false;
    Send("0\r\n\r\n");
  }

  void Close() override
  {
    if (closed_) {
      return;
    }
    closed_ = true;
    Error ignored;
    socket_.close(ignored);
    server_->sessions_.erase(shared_from_this());
  }

  bool Open() const override { return !closed_; }

  void Stall() { stalled_ = true; }

private:
  void Dispatch()
  {
    auto message = parser_->release();
    keepAlive_ = message.keep_alive();
    request_.method_ = std::string(message.method_string());
    request_.target_ = std::string(message.target());
    request_.path_ = request_.target_.substr(0, request_.target_.find('?'));
    request_.headers_.clear();
    for (const auto& field : message) {
      request_.headers_.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    request_.body_ = std::move(message.body());
    awaiting_ = true;
    finishing_ = false;
    server_->handler_(shared_from_this());
  }

  std::string Head(const HttpResponse& aResponse) const
  {
    std::string text = "HTTP/1.1 " + std::to_string(aResponse.status_) + " ";
    text += std::string(http::obsolete_reason(http::int_to_status(aResponse.status_)));
    text += "\r\nContent-Type: " + aResponse.contentType_ + "\r\n";
    for (const auto& header : aResponse.headers_) {
      text += header.name_ + ": " + header.value_ + "\r\n";
    }
    if (!keepAlive_) {
      text += "Connection: close\r\n";
    }
    return text;
  }

  void Send(std::string aText)
  {
    if (closed_) {
      return;
    }
    output_.push_back(std::move(aText));
    if (output_.size() == 1) {
      Flush();
    }
  }

  void Flush()
  {
    if (stalled_) {
      return;
    }
    asio::async_write(socket_,
                      asio::buffer(output_.front()),
                      [self = shared_from_this()](Error aError, std::size_t) {
                        if (aError) {
                          self->Close();
                          return;
                        }
                        self->output_.pop_front();
                        if (!self->output_.empty()) {
                          self->Flush();
                        } else if (self->finishing_) {
                          self->AfterResponse();
                        }
                      });
  }

  void AfterResponse()
  {
    if (keepAlive_) {
      Read();
    } else {
      Close();
    }
  }

  void WatchForClose()
  {
    socket_.async_read_some(asio::buffer(&probe_, 1),
                            [self = shared_from_this()](Error aError, std::size_t) {
                              if (aError && !self->stalled_) {
                                self->Close();
                              }
                            });
  }

  Tcp::socket socket_;
  std::shared_ptr<HttpServerState> server_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  HttpRequest request_;
  std::deque<std::string> output_;
  char probe_ = 0;
  bool keepAlive_ = true;
  bool awaiting_ = false;
  bool finishing_ = false;
  bool closed_ = false;
  bool stalled_ = false;
};

void
HttpServerState::Listen()
{
  if (acceptor_.is_open()) {
    return;
  }
  Tcp::endpoint endpoint(asio::ip::make_address(address_.ip_), address_.port_);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(1024);
  Accept();
}

void
HttpServerState::Accept()
{
  acceptor_.async_accept([self = shared_from_this()](Error aError, Tcp::socket aSocket) {
    if (!self->acceptor_.is_open() || aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError && (self->limit_ == 0 || self->sessions_.size() < self->limit_)) {
      Error ignored;
      aSocket.set_option(Tcp::no_delay(true), ignored);
      auto session = std::make_shared<HttpSession>(std::move(aSocket), self);
      self->sessions_.insert(session);
      session->Read();
    }
    self->Accept();
  });
}

void
HttpServerState::CloseAll()
{
  Error ignored;
  acceptor_.close(ignored);
  auto sessions = sessions_;
  for (const auto& session : sessions) {
    session->Close();
  }
}

void
HttpServerState::StallAll()
{
  for (const auto& session : sessions_) {
    session->Stall();
  }
}

} // namespace Detail

std::string_view
HttpRequest::Header(std::string_view aName) const
{
  for (const auto& header : headers_) {
    if (boost::beast::iequals(header.name_, aName)) {
      return header.value_;
    }
  }
  return {};
}

std::int64_t
HttpRequest::Query(std::string_view aName, std::int64_t aDefault) const
{
  auto position = target_.find('?');
  while (position != std::string::npos) {
    auto end = target_.find('&', position + 1);
    std::string_view pair = std::string_view(target_).substr(
      position + 1, end == std::string::npos ? std::string::npos : end - position - 1);
    if (pair.size() > aName.size() && pair.starts_with(aName) && pair[aName.size()] == '=') {
      std::int64_t value = aDefault;
      std::from_chars(pair.data() + aName.size() + 1, pair.data() + pair.size(), value);
      return value;
    }
    position = end;
  }
  return aDefault;
}

HttpServer::HttpServer(asio::io_context& aIo,
                       Address aAddress,
                       Handler aHandler,
                       std::size_t aConnectionLimit)
  : state_(std::make_shared<Detail::HttpServerState>(aIo,
                                                     std::move(aAddress),
                                                     std::move(aHandler),
                                                     aConnectionLimit))
{
}

HttpServer::~HttpServer()
{
  state_->CloseAll();
}

void
HttpServer::Listen()
{
  state_->Listen();
}

void
HttpServer::StopListening()
{
  Error ignored;
  state_->acceptor_.close(ignored);
}

void
HttpServer::Close()
{
  state_->CloseAll();
}

void
HttpServer::StallConnections()
{
  state_->StallAll();
}

std::int64_t
MonotonicNs()
{
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return std::int64_t{ now.tv_sec } * 1'000'000'000 + now.tv_nsec;
}

std::string
ExpectedBody(std::string_view aLoadId, std::size_t aLength)
{
  std::string body(aLength, 'a');
  std::uint64_t state = HashBytes(aLoadId);
  for (std::size_t i = 0; i < aLength; ++i) {
    if (i % 16 == 0) {
      state = state * 6364136223846793005U + 1442695040888963407U;
    }
    body[i] = static_cast<char>('a' + ((state >> (4 * (i % 16))) & 15U));
  }
  return body;
}

Address
RequireAddress(const std::string& aText, std::string_view aFlag)
{
  auto address = Address::Parse(aText);
  if (!address) {
    std::cerr << aFlag << ": \"" << aText << "\" is not IP:PORT\n";
    std::exit(2);
  }
  return *address;
}

} // namespace redwing::standins
